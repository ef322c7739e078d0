"""Leaves of services, without those that leave or are in evacuated zones."""

from collections.abc import Callable, Collection, Iterable

from trefoilpier import base
from trefoilpier.replicas import pool

_REASON = "zone is evacuated"


class UsableLeaves:
    """Which leaves may receive requests, by service.

    Operators evacuate a zone before its leaves are stopped, or since they
    endanger others: nothing may be sent to them until the zone is taken back.

    Attributes:
        pools_by_service: Pools that may receive requests.
        evacuated_zones: Zones whose leaves get nothing.
    """

    __slots__ = (
        "_evacuated_by_service",
        "_log",
        "_on_capacity",
        "_on_taken_back",
        "evacuated_zones",
        "pools_by_service",
    )

    def __init__(
        self,
        *,
        log: base.EventLog,
        on_capacity: Callable[[pool.LeafPool], None],
        on_taken_back: Callable[[pool.LeafPool], None],
    ) -> None:
        """Create it without leaves and evacuated zones.

        Args:
            log: Log of events.
            on_capacity: Called with a leaf for whose service queued calls may
                have become possible, or impossible.
            on_taken_back: Called with each leaf of a zone that is taken back,
                before any of them can get requests.
        """
        self._log = log
        self._on_capacity = on_capacity
        self._on_taken_back = on_taken_back
        self._evacuated_by_service: dict[str, list[pool.LeafPool]] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.pools_by_service: dict[str, list[pool.LeafPool]] = {}

    def add(self, added: pool.LeafPool) -> None:
        """Use a leaf that accepts calls, unless its zone is evacuated."""
        service = added.entry.service
        added.evacuated = added.entry.zone in self.evacuated_zones
        by_service = (
            self._evacuated_by_service
            if added.evacuated
            else self.pools_by_service
        )
        by_service.setdefault(service, []).append(added)
        if added.evacuated:
            added.end_waiting_calls(_REASON)
        else:
            self._on_capacity(added)

    def remove(self, removed: pool.LeafPool) -> None:
        """Use a leaf no longer; without effect if it is not used."""
        for by_service in (self.pools_by_service, self._evacuated_by_service):
            pools = by_service.get(removed.entry.service, [])
            if removed in pools:
                pools.remove(removed)

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without any leaf."""
        return bool(
            self._evacuated_by_service.get(service)
        ) and not self.pools_by_service.get(service)

    def set_evacuated_zones(self, zones: Iterable[str]) -> bool:
        """Replace the evacuated zones; return whether they have changed."""
        before, self.evacuated_zones = self.evacuated_zones, frozenset(zones)
        started = self.evacuated_zones - before
        ended = before - self.evacuated_zones
        if started:
            self._evacuate(started)
        if ended:
            self._take_back(ended)
        return bool(started or ended)

    def _evacuate(self, zones: Collection[str]) -> None:
        """Send nothing more to the leaves of zones; calls in flight go on."""
        moved = _move_pools(
            zones, self.pools_by_service, self._evacuated_by_service
        )
        for evacuated in moved:
            evacuated.evacuated = True
        self._emit(base.Event.ZONE_EVACUATED, zones, moved)
        # Only now, so that no call moves on to another of these leaves.
        for evacuated in moved:
            evacuated.end_waiting_calls(_REASON)
        # Calls that are queued for a service without leaves cannot be served.
        one_by_service = {each.entry.service: each for each in moved}
        for service, evacuated in one_by_service.items():
            if self.is_evacuated(service):
                self._on_capacity(evacuated)

    def _take_back(self, zones: Collection[str]) -> None:
        """Use the leaves of zones again.

        What failed before the evacuation tells nothing about them now.
        """
        moved = _move_pools(
            zones, self._evacuated_by_service, self.pools_by_service
        )
        for taken_back in moved:
            taken_back.stats.end_ejection()
            self._on_taken_back(taken_back)
        for taken_back in moved:
            taken_back.evacuated = False
        self._emit(base.Event.ZONE_TAKEN_BACK, zones, moved)
        for taken_back in moved:
            self._on_capacity(taken_back)

    def _emit(
        self,
        event: base.Event,
        zones: Collection[str],
        moved: list[pool.LeafPool],
    ) -> None:
        for zone in sorted(zones):
            count = sum(each.entry.zone == zone for each in moved)
            self._log.emit(event, zone=zone, leaves=count)


def _move_pools(
    zones: Collection[str],
    source: dict[str, list[pool.LeafPool]],
    target: dict[str, list[pool.LeafPool]],
) -> list[pool.LeafPool]:
    """Move the pools of zones from one mapping to another; return them."""
    moved = []
    for service, pools in source.items():
        affected = [each for each in pools if each.entry.zone in zones]
        if affected:
            pools[:] = [each for each in pools if each.entry.zone not in zones]
            target.setdefault(service, []).extend(affected)
            moved += affected
    return moved
