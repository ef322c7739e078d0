"""Leaves that have left, to recognize outdated entries of a restored store."""

from trefoilpier import base
from trefoilpier.replicas import entry as entries

# A restored copy is some seconds old, so that older departures are in it.
_REMEMBERED_S = 60.0
# The entry of a leaf that has gone expires after three missed heartbeats.
_OUTDATED_ENTRY_LIFETIME_S = 6.0
# A leaf that leaves may go on serving for many seconds.
_ANNOUNCED_MAX_S = 600.0


class Departures:
    """Recent departures of leaves.

    After a restore of the store, its entries may be outdated: an entry that
    contradicts a departure is not trusted until it would have expired.

    >>> clock = base.VirtualClock()
    >>> leaf = entries.LeafEntry(id="a", incarnation=1, service="s", host="h",
    ...     port=1, zone="z", slots=2, phase=entries.LeafPhase.READY)
    >>> departures = Departures(clock=clock)
    >>> departures.record(leaf)
    >>> departures.contradict(leaf)
    False
    >>> departures.distrust_entries()
    >>> departures.contradict(leaf)
    True
    >>> clock.advance(6.0)
    >>> departures.contradict(leaf)
    False
    """

    __slots__ = ("_clock", "_departure_by_id", "_distrust_until")

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._departure_by_id: dict[str, tuple[float, entries.LeafEntry]] = {}
        self._distrust_until = 0.0

    def record(self, entry: entries.LeafEntry) -> None:
        """Remember that a leaf has left or is leaving."""
        now = self._clock.monotonic()
        self._departure_by_id.pop(entry.id, None)
        self._departure_by_id[entry.id] = (now, entry)
        # Ordered by time, oldest first.
        for leaf_id, (left_at, _) in list(self._departure_by_id.items()):
            if now - left_at < _REMEMBERED_S:
                break
            del self._departure_by_id[leaf_id]

    def distrust_entries(self) -> None:
        """Distrust entries that contradict a departure, for a while."""
        self._distrust_until = (
            self._clock.monotonic() + _OUTDATED_ENTRY_LIFETIME_S
        )

    @property
    def distrust_until(self) -> float:
        """Monotonic time until which contradicting entries are distrusted."""
        return self._distrust_until

    def contradict(self, entry: entries.LeafEntry) -> bool:
        """Return whether an entry says that a departed leaf is ready."""
        if self._clock.monotonic() >= self._distrust_until:
            return False
        departure = self._departure_by_id.get(entry.id)
        return (
            departure is not None
            and entry.phase is entries.LeafPhase.READY
            and departure[1].is_same_process(entry)
        )


class Announcements:
    """Leaves that have said in an answer that they leave.

    >>> clock = base.VirtualClock()
    >>> leaf = entries.LeafEntry(id="a", incarnation=1, service="s", host="h",
    ...     port=1, zone="z", slots=2, phase=entries.LeafPhase.READY)
    >>> announcements = Announcements(clock=clock)
    >>> announcements.record(leaf)
    >>> announcements.has_announced(leaf)
    True
    """

    __slots__ = ("_clock", "_recorded_by_id")

    def __init__(self, *, clock: base.Clock) -> None:
        """Create it without announcements.

        Args:
            clock: Clock of the announcements.
        """
        self._clock = clock
        # In the order of their times.
        self._recorded_by_id: dict[str, tuple[float, entries.LeafEntry]] = {}

    def record(self, entry: entries.LeafEntry) -> None:
        """Remember that a leaf has said that it leaves."""
        now = self._clock.monotonic()
        self._recorded_by_id.pop(entry.id, None)
        self._recorded_by_id[entry.id] = (now, entry)
        while True:
            oldest_id = next(iter(self._recorded_by_id))
            if now - self._recorded_by_id[oldest_id][0] <= _ANNOUNCED_MAX_S:
                return
            del self._recorded_by_id[oldest_id]

    def has_announced(self, entry: entries.LeafEntry) -> bool:
        """Return whether the process of an entry has said that it leaves."""
        recorded = self._recorded_by_id.get(entry.id)
        return recorded is not None and recorded[1].is_same_process(entry)
