"""The evacuated zones, from the store and from peers.

An evacuation must hold everywhere within seconds, so that it is taken from
whoever knows of it first: the store's watch, the state of a peer, or a peer's
copy of the store. Its end is believed only of a source that is not behind.
"""

from collections.abc import Callable, Iterable
from typing import Any

from trefoilpier import base, platform, store
from trefoilpier.tier import store_items

# A restored store may lack an evacuation. Operators write again what the copy
# lacks; until then, sending to leaves that may be down or harmful is worse than
# leaving them idle.
_RESTORE_GRACE_S = 5.0
# Of an evacuation that is only kept for that time; the store counts from 1.
_KEPT_REVISION = 0


class EvacuationSync(store_items.ItemFollower):
    """Set of evacuated zones, each with the revision of its key.

    Attributes:
        generation: Counter of changes of the set.
    """

    __slots__ = (
        "_clock",
        "_get_position",
        "_keep_until",
        "_log",
        "_malformed_keys",
        "_merged",
        "_on_change",
        "_reports",
        "_revision_by_zone",
        "generation",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        get_position: Callable[[], store_items.StorePosition],
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        """Create it without evacuated zones.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            get_position: Returns up to where this VM knows the store.
            on_change: Called with the evacuated zones when they have changed.
        """
        self._clock = clock
        self._log = log
        self._get_position = get_position
        self._on_change = on_change
        self._revision_by_zone: dict[str, int] = {}
        self._malformed_keys: set[str] = set()
        self._keep_until = 0.0
        # Up to where peers' reports have told all about evacuations.
        self._merged = store_items.StorePosition()
        # States tell of evacuations only once there has been one.
        self._reports = False
        self.generation = 0

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self._revision_by_zone)

    def replace_all(
        self, items: list[store.Item], *, from_peer: bool, revision: int | None
    ) -> None:
        """Apply all keys; one that is missing may only be unknown to a peer.

        Args:
            items: Items of all keys.
            from_peer: Whether the list is another VM's copy.
            revision: Revision up to which the list is complete; None if it may
                be out of date.
        """
        listed = {}
        for item in items:
            for zone in self._decode(item.key):
                listed[zone] = item.revision
        in_grace = self._clock.monotonic() < self._keep_until
        for zone, known in self._revision_by_zone.items():
            if zone in listed:
                listed[zone] = max(known, listed[zone])
            elif in_grace:
                listed[zone] = _KEPT_REVISION
            elif revision is None or revision < known:
                # A peer has told of it since the list was made.
                listed[zone] = known
        self._replace(listed)

    def put(self, item: store.Item) -> None:
        """Apply the evacuation of a zone, unless a later one is known."""
        for zone in self._decode(item.key):
            if item.revision > self._revision_by_zone.get(zone, _KEPT_REVISION):
                self._replace({**self._revision_by_zone, zone: item.revision})

    def remove(self, key: str, revision: int) -> None:
        """Apply the end of an evacuation, unless a later one is known."""
        self._malformed_keys.discard(key)
        zone = key.removeprefix(platform.EVACUATION_PREFIX)
        if self._revision_by_zone.get(zone, _KEPT_REVISION) > revision:
            return
        self._replace(
            {
                each: revision
                for each, revision in self._revision_by_zone.items()
                if each != zone
            }
        )

    def handle_store_restore(self) -> None:
        """Keep evacuations that the copy lacks until operators have acted.

        Their revisions cannot be compared with those of the restored store.
        """
        self._revision_by_zone = dict.fromkeys(
            self._revision_by_zone, _KEPT_REVISION
        )
        self._keep_until = self._clock.monotonic() + _RESTORE_GRACE_S
        self._clock.call_later(_RESTORE_GRACE_S, self._drop_kept)

    def _drop_kept(self) -> None:
        if self._clock.monotonic() < self._keep_until:
            return
        self._replace(
            {
                zone: revision
                for zone, revision in self._revision_by_zone.items()
                if revision != _KEPT_REVISION
            }
        )

    def report(self) -> dict[str, Any] | None:
        """Return what the state tells peers; None if there was nothing yet."""
        if not self._reports:
            return None
        return {
            "revision": self._known_revision(),
            "zones": dict(self._revision_by_zone),
        }

    def _known_revision(self) -> int:
        """Return up to which revision this VM knows all evacuations."""
        position = self._get_position()
        if self._merged.era != position.era:
            return position.revision
        return max(position.revision, self._merged.revision)

    def handle_report(
        self, report: dict[str, Any] | None, *, era: int | None
    ) -> bool:
        """Apply what a peer knows of evacuations and this VM does not yet.

        This VM may follow the store and yet not know of it, since a watch
        whose connection hangs is noticed after seconds only. If it does not
        follow the store, its peers may not do so either.

        Args:
            report: What the peer's state tells.
            era: Era in which the peer reads the store; None if unknown.

        Returns:
            Whether the set has changed.
        """
        if report is None:
            return False
        self._reports = True
        position = self._get_position()
        if position.is_later_era_than(era):
            return False
        # Who lacks an evacuation has seen its end if it began before the
        # revision up to which that VM knows the store.
        same_era = era is None or era == position.era
        known_here = self._known_revision() if same_era else 0
        known_there = report["revision"] if same_era else 0
        zones = {
            zone: revision
            for zone, revision in self._revision_by_zone.items()
            if zone in report["zones"]
            or revision == _KEPT_REVISION
            or revision > known_there
        }
        for zone, revision in report["zones"].items():
            if revision > known_here:
                zones[zone] = max(revision, zones.get(zone, _KEPT_REVISION))
        changed = self._replace(zones)
        if same_era:
            # Only now, as this VM's own reports state it.
            self._merged = store_items.StorePosition(
                era=position.era, revision=max(known_here, known_there)
            )
        return changed

    def add_missing_items(self, items: list[store.Item]) -> list[store.Item]:
        """Return the items for a peer, with evacuations that they lack."""
        keys = {item.key for item in items}
        return items + [
            store.Item(key=key, value=b"", revision=revision)
            for zone, revision in self._revision_by_zone.items()
            if (key := platform.EVACUATION_PREFIX + zone) not in keys
        ]

    def _replace(self, revision_by_zone: dict[str, int]) -> bool:
        before, self._revision_by_zone = (
            self._revision_by_zone,
            revision_by_zone,
        )
        if before.keys() == revision_by_zone.keys():
            return False
        self._reports = True
        self.generation += 1
        self._on_change(self.zones)
        return True

    def _decode(self, key: str) -> Iterable[str]:
        """Return the zone of a key, or log a malformed key once."""
        decoded = platform.decode_evacuation(key)
        if decoded.is_ok():
            return (decoded.ok,)
        if key not in self._malformed_keys:
            self._malformed_keys.add(key)
            self._log.emit(
                base.Event.ENTRY_MALFORMED, key=key, problem=decoded.error
            )
        return ()
