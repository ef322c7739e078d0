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
    """A value with its revisions and lease."""

    value: str
    revision: int
    lease: str = ""
    created: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredChange:
    """One change; ``stored`` is None for a removal."""

    key: str
    revision: int
    stored: StoredValue | None


class _Watch:
    """A watch that waits for a change below a prefix."""

    __slots__ = ("after", "done", "prefix", "reply")

    def __init__(
        self, *, prefix: str, after: int, reply: Callable[[], None]
    ) -> None:
        self.prefix = prefix
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
        revision: Revision of the last change.
        counts: Calls since the start.
    """

    __slots__ = (
        "_before_by_key",
        "_changes",
        "_clock",
        "_history_from",
        "_lease_count",
        "_lease_end_by_id",
        "_lease_ttl_by_id",
        "_member_history",
        "_value_by_key",
        "_watches",
        "counts",
        "faults",
        "revision",
    )

    def __init__(self, *, clock: base.Clock) -> None:
        self.faults = PlatformFaults()
        self.counts = CallCounts()
        self._clock = clock
        self.revision = 0
        self._history_from = 0
        self._changes: list[StoredChange] = []
        self._value_by_key: dict[str, StoredValue] = {}
        self._before_by_key: dict[str, StoredValue] = {}
        self._watches: list[_Watch] = []
        self._lease_count = 0
        self._lease_end_by_id: dict[str, float] = {}
        self._lease_ttl_by_id: dict[str, float] = {}
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
        self, key: str, value: str, expect: int | None, lease: str
    ) -> StoredValue | None:
        """Writes a value; None when its revision is not ``expect``."""
        self.counts.writes += 1
        self._count_prefix(key)
        before = self._current(key)
        if expect is not None and before.revision != expect:
            return None
        self.revision += 1
        stored = StoredValue(
            value=value,
            revision=self.revision,
            lease=lease,
            created=before.created or self.revision,
        )
        self._before_by_key[key] = before
        self._value_by_key[key] = stored
        self._changed(key, stored)
        return stored

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self._value_by_key.pop(key, None) is not None:
            self.revision += 1
            self._changed(key, None)

    def _changed(self, key: str, stored: StoredValue | None) -> None:
        self._changes.append(
            StoredChange(key=key, revision=self.revision, stored=stored)
        )
        for watch in list(self._watches):
            if key.startswith(watch.prefix):
                self._fire(watch)

    def drop_history(self) -> None:
        """Forgets all changes so far."""
        self._history_from = self.revision
        self._changes.clear()

    def items(self, prefix: str) -> dict[str, StoredValue]:
        """Returns the values below a prefix, by key."""
        self.counts.reads += 1
        keys = [key for key in self._value_by_key if key.startswith(prefix)]
        found = {key: self._current(key) for key in sorted(keys)}
        return {key: each for key, each in found.items() if each.revision}

    def changes(self, prefix: str, after: int) -> list[StoredChange] | None:
        """Returns the changes after a revision; None if forgotten."""
        if after < self._history_from:
            return None
        return [
            change
            for change in self._changes
            if change.revision > after and change.key.startswith(prefix)
        ]

    def watch_prefix(
        self, prefix: str, after: int, wait: float, reply: Callable[[], None]
    ) -> None:
        """Replies once there is a change after a revision, or at the end."""
        self.counts.watches += 1
        if self.changes(prefix, after) != []:
            reply()
            return
        watch = _Watch(prefix=prefix, after=after, reply=reply)
        self._watches.append(watch)
        self.counts.watches_waiting += 1
        self._clock.call_later(wait, self._fire, watch)

    def watch(
        self,
        key: str,
        after: int,
        wait: float,
        reply: Callable[[StoredValue], None],
    ) -> None:
        """Replies once a key's revision is above ``after``, or at the end."""
        current = self._current(key)
        if self.faults.stale_reads and key in self._before_by_key:
            current = self._before_by_key[key]
        if current.revision != after and current.revision:
            self.counts.watches += 1
            reply(current)
            return
        self.watch_prefix(
            key, self.revision, wait, lambda: reply(self._current(key))
        )

    def grant(self, ttl: float) -> str:
        """Makes a lease."""
        self.counts.writes += 1
        self._lease_count += 1
        lease = str(self._lease_count)
        self._lease_ttl_by_id[lease] = ttl
        self._lease_end_by_id[lease] = self._clock.monotonic() + ttl
        return lease

    def keep(self, lease: str) -> bool:
        """Renews a lease; False if it has ended."""
        if not self._lease_lives(lease):
            return False
        ttl = self._lease_ttl_by_id[lease]
        self._lease_end_by_id[lease] = self._clock.monotonic() + ttl
        return True

    def end_lease(self, lease: str) -> None:
        """Ends a lease and removes its keys."""
        self._lease_end_by_id.pop(lease, None)
        for key, stored in list(self._value_by_key.items()):
            if stored.lease == lease:
                self.delete(key)

    def _lease_lives(self, lease: str) -> bool:
        end = self._lease_end_by_id.get(lease)
        return end is not None and end >= self._clock.monotonic()

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
        if stored.lease and not self._lease_lives(stored.lease):
            self.delete(key)
            return StoredValue(value="", revision=0)
        return stored

    def _fire(self, watch: _Watch) -> None:
        if watch.done:
            return
        watch.done = True
        self._watches.remove(watch)
        self.counts.watches_waiting -= 1
        watch.reply()

    def _count_prefix(self, key: str) -> None:
        prefix = key.split("/", 1)[0]
        by_prefix = self.counts.by_prefix
        by_prefix[prefix] = by_prefix.get(prefix, 0) + 1
