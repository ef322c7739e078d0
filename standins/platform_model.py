"""Model of the platform's store and membership list."""

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from trefoilpier import base


@dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Injected faults.

    Attributes:
        down: Whether all requests fail.
        slow_s: Additional delay of each answer in seconds.
        lose_answers: Number of subsequent writes that take effect but whose
            answer is lost.
        lose_writes: Number of subsequent writes that are lost before they
            take effect.
        stale_reads: Whether reads return the values before the last write.
        member_lag_s: Age in seconds of the membership list that is served.
        deaf: Whether waiting watches hear of no changes.
        silent: Whether no response is sent; a connection on which one is lost
            returns nothing further. The requests have no effect.
        silent_to: Names of the VMs to which it is silent in any case.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    stale_reads: bool = False
    member_lag_s: float = 0.0
    deaf: bool = False
    silent: bool = False
    silent_to: frozenset[str] = frozenset()


@dataclass(slots=True, kw_only=True)
class StoredValue:
    """A value with its lease and its write and creation revisions."""

    value: str
    revision: int
    lease: str = ""
    created: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredChange:
    """One change of a key; ``stored`` is None if the key was deleted."""

    key: str
    revision: int
    stored: StoredValue | None


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreCopy:
    """Contents of the store at one time, without its history."""

    revision: int
    value_by_key: dict[str, StoredValue]
    lease_count: int
    lease_ttl_by_id: dict[str, float]


class _Watch:
    """A pending watch for changes of keys with a prefix."""

    __slots__ = ("after", "completed", "prefix", "reply")

    def __init__(
        self, *, prefix: str, after: int, reply: Callable[[], None]
    ) -> None:
        self.prefix = prefix
        self.after = after
        self.reply = reply
        self.completed = False


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Number of requests since the start, by kind and by key prefix."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    watches_waiting: int = 0
    by_prefix: dict[str, int] = field(default_factory=dict)


class PlatformModel:
    """Key-value store with leases and watches, and a membership list.

    Attributes:
        faults: Injected faults.
        era: Number of restores from a copy, counted from 1.
        revision: Revision of the last change.
        counts: Number of requests since the start.
    """

    __slots__ = (
        "_previous_by_key",
        "_changes",
        "_clock",
        "_compacted_revision",
        "_lease_count",
        "_lease_expiry_by_id",
        "_lease_ttl_by_id",
        "_member_history",
        "_value_by_key",
        "_watches",
        "counts",
        "era",
        "faults",
        "revision",
    )

    def __init__(self, *, clock: base.Clock) -> None:
        self.faults = PlatformFaults()
        self.counts = CallCounts()
        self._clock = clock
        self.era = 1
        self.revision = 0
        self._compacted_revision = 0
        self._changes: list[StoredChange] = []
        self._value_by_key: dict[str, StoredValue] = {}
        self._previous_by_key: dict[str, StoredValue] = {}
        self._watches: list[_Watch] = []
        self._lease_count = 0
        self._lease_expiry_by_id: dict[str, float] = {}
        self._lease_ttl_by_id: dict[str, float] = {}
        self._member_history: list[tuple[float, list[dict[str, Any]]]] = [
            (clock.monotonic(), [])
        ]

    def get(self, key: str) -> StoredValue:
        """Return the value of a key; an absent one has revision 0."""
        self.counts.reads += 1
        self._count_prefix(key)
        if self.faults.stale_reads and key in self._previous_by_key:
            return self._previous_by_key[key]
        return self.current_value(key)

    def put(
        self, key: str, value: str, expect: int | None, lease: str
    ) -> StoredValue | None:
        """Write a value; return None if its revision is not ``expect``."""
        self.counts.writes += 1
        self._count_prefix(key)
        previous = self.current_value(key)
        if expect is not None and previous.revision != expect:
            return None
        self.revision += 1
        stored = StoredValue(
            value=value,
            revision=self.revision,
            lease=lease,
            created=previous.created or self.revision,
        )
        self._previous_by_key[key] = previous
        self._value_by_key[key] = stored
        self._record_change(key, stored)
        return stored

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._value_by_key.pop(key, None) is not None:
            self.revision += 1
            self._record_change(key, None)

    def _record_change(self, key: str, stored: StoredValue | None) -> None:
        self._changes.append(
            StoredChange(key=key, revision=self.revision, stored=stored)
        )
        for watch in list(self._watches):
            if key.startswith(watch.prefix) and not self.faults.deaf:
                self._complete_watch(watch)

    def compact_history(self) -> None:
        """Compact the history of changes up to the current revision."""
        self._compacted_revision = self.revision
        self._changes.clear()

    def compact_after_deafness(self, seconds: float) -> None:
        """Let watches hear of no changes for a time, then drop these changes.

        Watches that end meanwhile report the newest revision without changes.
        Those that wait then are told that the history is gone.
        """
        self.faults.deaf = True

        def end() -> None:
            self.faults.deaf = False
            self.compact_history()
            for watch in list(self._watches):
                self._complete_watch(watch)

        self._clock.call_later(seconds, end)

    def copy(self) -> StoreCopy:
        """Return a copy to restore later."""
        return StoreCopy(
            revision=self.revision,
            value_by_key=copy.deepcopy(self._value_by_key),
            lease_count=self._lease_count,
            lease_ttl_by_id=dict(self._lease_ttl_by_id),
        )

    def restore(self, saved: StoreCopy) -> None:
        """Replace the contents by a copy and begin a new era.

        Leases run anew. Waiting watches get no answer.
        """
        now = self._clock.monotonic()
        self.era += 1
        self.revision = saved.revision
        self._compacted_revision = saved.revision
        self._changes.clear()
        self._value_by_key = copy.deepcopy(saved.value_by_key)
        self._previous_by_key.clear()
        self._lease_count = saved.lease_count
        self._lease_ttl_by_id = dict(saved.lease_ttl_by_id)
        self._lease_expiry_by_id = {
            lease: now + ttl for lease, ttl in saved.lease_ttl_by_id.items()
        }
        for watch in self._watches:
            watch.completed = True
        self.counts.watches_waiting = 0
        self._watches.clear()

    def items(self, prefix: str) -> dict[str, StoredValue]:
        """Return the values of the keys with a prefix, by key."""
        self.counts.reads += 1
        keys = [key for key in self._value_by_key if key.startswith(prefix)]
        value_by_key = {key: self.current_value(key) for key in sorted(keys)}
        return {
            key: entry for key, entry in value_by_key.items() if entry.revision
        }

    def changes(self, prefix: str, after: int) -> list[StoredChange] | None:
        """Return the changes after a revision, or None if they are unknown.

        That is the case below the compacted revision and above the current one.
        """
        if not self._compacted_revision <= after <= self.revision:
            return None
        if self.faults.deaf:
            return []
        return [
            change
            for change in self._changes
            if change.revision > after and change.key.startswith(prefix)
        ]

    def watch_prefix(
        self, prefix: str, after: int, wait: float, reply: Callable[[], None]
    ) -> None:
        """Call ``reply`` once a key with a prefix has changed.

        Args:
            prefix: Prefix of the watched keys.
            after: Revision after which changes count.
            wait: Seconds after which ``reply`` is called without a change.
            reply: Callback; called at once if the history is compacted.
        """
        self.counts.watches += 1
        if self.changes(prefix, after) != []:
            reply()
            return
        watch = _Watch(prefix=prefix, after=after, reply=reply)
        self._watches.append(watch)
        self.counts.watches_waiting += 1
        self._clock.call_later(wait, self._complete_watch, watch)

    def watch(
        self,
        key: str,
        after: int,
        wait: float,
        reply: Callable[[StoredValue], None],
    ) -> None:
        """Call ``reply`` once the revision of a key is not ``after``.

        Args:
            key: Watched key.
            after: Revision that the caller knows.
            wait: Seconds after which ``reply`` is called without a change.
            reply: Called with the value.
        """
        current = self.current_value(key)
        if self.faults.stale_reads and key in self._previous_by_key:
            current = self._previous_by_key[key]
        if current.revision != after and current.revision:
            self.counts.watches += 1
            reply(current)
            return
        self.watch_prefix(
            key, self.revision, wait, lambda: reply(self.current_value(key))
        )

    def grant_lease(self, ttl: float) -> str:
        """Grant a lease of ``ttl`` seconds and return its id."""
        self.counts.writes += 1
        self._lease_count += 1
        lease = str(self._lease_count)
        self._lease_ttl_by_id[lease] = ttl
        self._lease_expiry_by_id[lease] = self._clock.monotonic() + ttl
        return lease

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        if not self._is_lease_live(lease):
            return False
        ttl = self._lease_ttl_by_id[lease]
        self._lease_expiry_by_id[lease] = self._clock.monotonic() + ttl
        return True

    def end_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""
        self._lease_expiry_by_id.pop(lease, None)
        for key, stored in list(self._value_by_key.items()):
            if stored.lease == lease:
                self.delete(key)

    def _is_lease_live(self, lease: str) -> bool:
        end = self._lease_expiry_by_id.get(lease)
        return end is not None and end >= self._clock.monotonic()

    def set_members(self, members: list[dict[str, Any]]) -> None:
        """Replace the membership list."""
        now = self._clock.monotonic()
        self._member_history.append((now, copy.deepcopy(members)))

    def newest_members(self) -> list[dict[str, Any]]:
        """Return the current membership list, without the lag."""
        return copy.deepcopy(self._member_history[-1][1])

    def members(self) -> list[dict[str, Any]]:
        """Return the membership list of ``member_lag_s`` seconds ago."""
        self.counts.reads += 1
        visible_until = self._clock.monotonic() - self.faults.member_lag_s
        visible = self._member_history[0][1]
        for at, members in self._member_history:
            if at <= visible_until:
                visible = members
        return visible

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, for tests."""
        return sorted(k for k in self._value_by_key if k.startswith(prefix))

    def current_value(self, key: str) -> StoredValue:
        """Return the newest value of a key, also while reads are stale."""
        stored = self._value_by_key.get(key)
        if stored is None:
            return StoredValue(value="", revision=0)
        if stored.lease and not self._is_lease_live(stored.lease):
            self.delete(key)
            return StoredValue(value="", revision=0)
        return stored

    def _complete_watch(self, watch: _Watch) -> None:
        if watch.completed:
            return
        watch.completed = True
        self._watches.remove(watch)
        self.counts.watches_waiting -= 1
        watch.reply()

    def _count_prefix(self, key: str) -> None:
        prefix = key.split("/", 1)[0]
        by_prefix = self.counts.by_prefix
        by_prefix[prefix] = by_prefix.get(prefix, 0) + 1
