"""Limits on the rate of requests that leaves name, as the VMs tell each other.

A leaf names its limit in its answers, and a VM that prefers nearer leaves may
get none for a while. When the others of the shard fail, all VMs turn to the
leaf at once, and must know of its limit by then.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from trefoilpier import base
from trefoilpier.replicas import entry as entries

# Shortest time between two messages. Leaves may name another limit with each
# answer.
_NEWS_PAUSE_S = 0.25
# On each of its ways news arrives some milliseconds old, and must not pass for
# newer than what it repeats.
_AGE_MARGIN_S = 0.05
# The end of a limit is told for this time, in which each VM hears of it.
_END_KEPT_S = 10.0
_LEAVES_MAX = 256  # Leaves in one message, those with the latest news.


@dataclass(slots=True, kw_only=True, frozen=True)
class ToldLimit:
    """What is known of the limit of a leaf.

    Attributes:
        rate: Requests a second that it takes from all VMs together; None if
            the limit has ended.
        told_at: Monotonic time at which the leaf told some VM, or a bit before.
    """

    rate: float | None
    told_at: float


def leaf_key(entry: entries.LeafEntry) -> str:
    """Return the name of one process of a leaf in messages."""
    return f"{entry.id}/{entry.incarnation}"


class LimitNews:
    """The latest limits of all leaves, from own answers and from other VMs.

    Attributes:
        generation: Counter of changes that other VMs are told.
        on_change: Called when `generation` has changed.
        on_limit: Called with the key of a leaf and its limit, if another VM
            has told a different one.

    >>> clock = base.VirtualClock(start=9.0)
    >>> news = LimitNews(clock=clock)
    >>> news.record("a/1", 4.0)
    >>> other = LimitNews(clock=clock)
    >>> other.on_limit = lambda key, rate: print(key, rate)
    >>> other.merge(news.encode())
    a/1 4.0
    """

    __slots__ = (
        "_announced_at",
        "_announcing",
        "_clock",
        "_told_by_key",
        "generation",
        "on_change",
        "on_limit",
    )

    def __init__(self, *, clock: base.Clock) -> None:
        """Start without limits.

        Args:
            clock: Source of time and timers.
        """
        self._clock = clock
        self._told_by_key: dict[str, ToldLimit] = {}
        self._announced_at = -_NEWS_PAUSE_S
        self._announcing = False
        self.generation = 0
        self.on_change: Callable[[], None] = lambda: None
        self.on_limit: Callable[[str, float | None], None] = lambda key, rate: (
            None
        )

    @property
    def known(self) -> bool:
        """Whether any leaf has named a limit."""
        return bool(self._told_by_key)

    def record(self, key: str, rate: float | None) -> None:
        """Note what a leaf's answer says; most leaves have no limit."""
        if rate is None and key not in self._told_by_key:
            return
        told = ToldLimit(rate=rate, told_at=self._clock.monotonic())
        previous = self._told_by_key.get(key)
        self._told_by_key[key] = told
        if previous is None or previous.rate != rate:
            self._announce()

    def rate_of(self, key: str) -> float | None:
        """Return the known limit of a leaf; None for none."""
        told = self._told_by_key.get(key)
        return told.rate if told is not None else None

    def forget(self, key: str) -> None:
        """Drop a leaf that has left."""
        self._told_by_key.pop(key, None)

    def encode(self) -> dict[str, Any] | None:
        """Return rates and ages in ms by leaf; None if there are none."""
        now = self._clock.monotonic()
        for key, told in list(self._told_by_key.items()):
            if told.rate is None and now - told.told_at > _END_KEPT_S:
                del self._told_by_key[key]
        if not self._told_by_key:
            return None
        latest = sorted(
            self._told_by_key.items(), key=lambda item: -item[1].told_at
        )
        return {
            key: [told.rate, round(1000 * (now - told.told_at))]
            for key, told in latest[:_LEAVES_MAX]
        }

    def merge(self, rows: Mapping[str, Any] | None) -> None:
        """Take over what another VM knows, where it is newer."""
        now = self._clock.monotonic()
        for key, (rate, age_ms) in (rows or {}).items():
            told_at = now - age_ms / 1000 - _AGE_MARGIN_S
            known = self._told_by_key.get(key)
            if known is not None and known.told_at >= told_at:
                continue
            if known is None and rate is None:
                continue
            self._told_by_key[key] = ToldLimit(rate=rate, told_at=told_at)
            if known is None or known.rate != rate:
                self.on_limit(key, rate)
                self._announce()

    def _announce(self) -> None:
        """Tell other VMs of a change, at once or after a pause."""
        if self._announcing:
            return
        now = self._clock.monotonic()
        wait_s = self._announced_at + _NEWS_PAUSE_S - now
        self._announcing = True
        if wait_s <= 0.0:
            self._raise_generation()
        else:
            self._clock.call_later(wait_s, self._raise_generation)

    def _raise_generation(self) -> None:
        self._announcing = False
        self._announced_at = self._clock.monotonic()
        self.generation += 1
        self.on_change()


def decode_limits(rows: object) -> dict[str, Any] | None:
    """Check the limits in a state; VMs of earlier releases state none.

    Raises:
        ValueError: They are malformed.

    >>> decode_limits({"a/1": [4.5, 20], "b/1": [None, 7]})
    {'a/1': (4.5, 20.0), 'b/1': (None, 7.0)}
    """
    if rows is None:
        return None
    if not isinstance(rows, dict):
        raise ValueError("limits are not an object")
    decoded = {}
    for key, (rate, age_ms) in rows.items():
        age_ms = float(age_ms)
        rate = None if rate is None else float(rate)
        if not age_ms >= 0.0 or (rate is not None and not rate >= 0.0):
            raise ValueError(f"limit of {key} is not valid")
        decoded[str(key)] = (rate, age_ms)
    return decoded
