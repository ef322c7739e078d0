"""The platform's store and membership list, without a network."""

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from trefoilpier import base


@dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults that are switched on.

    Attributes:
        down: Whether no call is answered.
        slow_s: Seconds by which each answer is late.
        lose_answers: Number of coming writes whose answer is lost after the
            write has taken effect.
        lose_writes: Number of coming writes that are lost before it.
        stale_reads: Whether reads show the values before the last write.
        member_lag_s: Seconds by which the membership list lags.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    stale_reads: bool = False
    member_lag_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class StoredValue:
    """A value with its revision and lease."""

    value: str
    revision: int
    lease: str = ""


class _Watch:
    """A watch that waits for a newer revision."""

    __slots__ = ("after", "done", "key", "reply")

    def __init__(
        self, *, key: str, after: int, reply: Callable[[StoredValue], None]
    ) -> None:
        self.key = key
        self.after = after
        self.reply = reply
        self.done = False


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Calls since the start."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    watches_waiting: int = 0
    by_prefix: dict[str, int] = field(default_factory=dict)


class PlatformModel:
    """Compare-and-swap, leases, watches and a lagging membership list.

    Attributes:
        faults: Faults that are on.
        counts: Calls since the start.
    """

    __slots__ = (
        "_before_by_key",
        "_clock",
        "_lease_count",
        "_lease_end_by_id",
        "_member_history",
        "_revision",
        "_value_by_key",
        "_watches_by_key",
        "counts",
        "faults",
    )

    def __init__(self, *, clock: base.Clock) -> None:
        self.faults = PlatformFaults()
        self.counts = CallCounts()
        self._clock = clock
        self._revision = 0
        self._value_by_key: dict[str, StoredValue] = {}
        self._before_by_key: dict[str, StoredValue] = {}
        self._watches_by_key: dict[str, list[_Watch]] = {}
        self._lease_count = 0
        self._lease_end_by_id: dict[str, float] = {}
        self._member_history: list[tuple[float, list[dict[str, Any]]]] = [
            (clock.monotonic(), [])
        ]

    def get(self, key: str) -> StoredValue:
        """Reads a value; an absent one has revision 0."""
        self.counts.reads += 1
        self._count_prefix(key)
        if self.faults.stale_reads and key in self._before_by_key:
            return self._before_by_key[key]
        return self._current(key)

    def put(
        self, key: str, value: str, expect: int, lease: str
    ) -> StoredValue | None:
        """Writes a value; None when its revision is not ``expect``."""
        self.counts.writes += 1
        self._count_prefix(key)
        before = self._current(key)
        if before.revision != expect:
            return None
        self._revision += 1
        stored = StoredValue(value=value, revision=self._revision, lease=lease)
        self._before_by_key[key] = before
        self._value_by_key[key] = stored
        for watch in self._watches_by_key.pop(key, []):
            self._fire(watch, stored)
        return stored

    def watch(
        self,
        key: str,
        after: int,
        wait: float,
        reply: Callable[[StoredValue], None],
    ) -> None:
        """Replies once the revision is above ``after``, or after ``wait``."""
        self.counts.watches += 1
        current = self._current(key)
        if self.faults.stale_reads and key in self._before_by_key:
            current = self._before_by_key[key]
        if current.revision != after and current.revision:
            reply(current)
            return
        watch = _Watch(key=key, after=after, reply=reply)
        self._watches_by_key.setdefault(key, []).append(watch)
        self.counts.watches_waiting += 1
        self._clock.call_later(wait, self._watch_over, watch)

    def grant(self, ttl: float) -> str:
        """Makes a lease."""
        self.counts.writes += 1
        self._lease_count += 1
        lease = f"lease-{self._lease_count}"
        self._lease_end_by_id[lease] = self._clock.monotonic() + ttl
        return lease

    def set_members(self, members: list[dict[str, Any]]) -> None:
        """Replaces the membership list."""
        now = self._clock.monotonic()
        self._member_history.append((now, copy.deepcopy(members)))

    def newest_members(self) -> list[dict[str, Any]]:
        """Returns the list as it is, without its lag."""
        return copy.deepcopy(self._member_history[-1][1])

    def members(self) -> list[dict[str, Any]]:
        """Reads the membership list as it was before the lag."""
        self.counts.reads += 1
        seen_at = self._clock.monotonic() - self.faults.member_lag_s
        shown = self._member_history[0][1]
        for at, members in self._member_history:
            if at <= seen_at:
                shown = members
        return shown

    def keys(self, prefix: str) -> list[str]:
        """Lists keys, for tests."""
        return sorted(k for k in self._value_by_key if k.startswith(prefix))

    def _current(self, key: str) -> StoredValue:
        stored = self._value_by_key.get(key)
        if stored is None:
            return StoredValue(value="", revision=0)
        end = self._lease_end_by_id.get(stored.lease)
        if end is not None and end < self._clock.monotonic():
            del self._value_by_key[key]
            return StoredValue(value="", revision=0)
        return stored

    def _fire(self, watch: _Watch, stored: StoredValue) -> None:
        if not watch.done:
            watch.done = True
            self.counts.watches_waiting -= 1
            watch.reply(stored)

    def _watch_over(self, watch: _Watch) -> None:
        if watch.done:
            return
        waiting = self._watches_by_key.get(watch.key, [])
        if watch in waiting:
            waiting.remove(watch)
        self._fire(watch, self._current(watch.key))

    def _count_prefix(self, key: str) -> None:
        prefix = key.split("/", 1)[0]
        by_prefix = self.counts.by_prefix
        by_prefix[prefix] = by_prefix.get(prefix, 0) + 1
