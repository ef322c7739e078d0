"""Which leafs there are, kept true across outages of the store.

An entry that goes while the store is sound means that the leaf has left. One
that goes during an outage may only have lapsed: it is held for a short time
after the store's return, within which a live leaf writes it again.
"""

from collections.abc import Callable, Iterable
from typing import Any

from trefoilpier import base
from trefoilpier.replicas import entry as entries
from trefoilpier.replicas import pool

# Entries of live leafs are back within about two seconds of a store's return.
_HOLD_S = 2.2
# So many entries never go in one moment for any other reason.
_LAPSE_COUNT = 4
_LAPSE_SHARE = 0.25
# VMs that share a leaf's connections until the fleet's size is known.
_VMS_ASSUMED = 12
_VMS_SPARE = 2  # VMs that may be replaced at one time.


class LeafRegistry:
    """The leafs of all services, by service.

    Attributes:
        generation: Grows with each change.
        pool_by_id: One pool for each leaf that is known.
        pools_by_service: The pools that may get requests.
    """

    __slots__ = (
        "_clock",
        "_connections_max_by_service",
        "_held_until_by_id",
        "_hold_until",
        "_id_header",
        "_log",
        "_on_room",
        "_reactor",
        "_reuse",
        "_vm_count",
        "generation",
        "pool_by_id",
        "pools_by_service",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        id_header: bytes,
        on_room: Callable[[pool.LeafPool], None],
        reuse: pool.ReusePolicy | None = None,
    ) -> None:
        self._reuse = reuse
        self._clock = clock
        self._log = log
        self._reactor = reactor
        self._id_header = id_header
        self._on_room = on_room
        self._connections_max_by_service: dict[str, int] = {}
        self._vm_count = _VMS_ASSUMED
        self._hold_until = 0.0
        self._held_until_by_id: dict[str, float] = {}
        self.generation = 0
        self.pool_by_id: dict[str, pool.LeafPool] = {}
        self.pools_by_service: dict[str, list[pool.LeafPool]] = {}

    def set_connection_limits(self, limit_by_service: dict[str, int]) -> None:
        """Takes the connections that a leaf of each service accepts."""
        self._connections_max_by_service.update(limit_by_service)
        for known in self.pool_by_id.values():
            known.connections_max = self._share(known.entry.service)

    def set_vm_count(self, count: int) -> None:
        """Takes the number of VMs that share each leaf's connections."""
        # Room for the connections of VMs that are being replaced.
        self._vm_count = count + _VMS_SPARE
        for known in self.pool_by_id.values():
            known.connections_max = self._share(known.entry.service)

    def _share(self, service: str) -> int:
        limit = self._connections_max_by_service.get(service, _VMS_ASSUMED)
        return max(1, limit // self._vm_count)

    def store_lost(self) -> None:
        """Notes that the store does not answer."""
        self._hold_until = float("inf")

    def store_back(self) -> None:
        """Notes that the store answers again after an outage."""
        self._hold_until = self._clock.monotonic() + _HOLD_S
        for leaf_id in self._held_until_by_id:
            self._held_until_by_id[leaf_id] = self._hold_until
        self._clock.call_later(_HOLD_S, self._end_hold)

    def _hold(self, leaf_id: str, until: float) -> None:
        """Keeps a leaf whose entry is missing, for a while."""
        self._held_until_by_id.setdefault(leaf_id, until)
        if until < float("inf"):
            pause_s = until - self._clock.monotonic()
            self._clock.call_later(pause_s, self._end_hold)

    def _end_hold(self) -> None:
        """Removes the leafs whose entries have not come back."""
        now = self._clock.monotonic()
        over = [
            leaf_id
            for leaf_id, until in self._held_until_by_id.items()
            if until <= now
        ]
        for leaf_id in over:
            del self._held_until_by_id[leaf_id]
            self._remove(leaf_id, "not back after the store's outage")

    def replace_all(
        self, listed: Iterable[entries.LeafEntry], *, from_peer: bool = False
    ) -> None:
        """Takes the whole list; those that are missing have gone.

        Args:
            listed: The entries.
            from_peer: Whether the list comes from another VM. Its store may
                just have returned with entries that have lapsed.
        """
        by_id = {entry.id: entry for entry in listed}
        for entry in by_id.values():
            self.put(entry)
        for leaf_id in set(self.pool_by_id) - set(by_id):
            if from_peer:
                self._hold(leaf_id, self._clock.monotonic() + _HOLD_S)
            else:
                self.gone(leaf_id)

    def put(self, entry: entries.LeafEntry) -> None:
        """Takes a leaf's entry as written."""
        self._held_until_by_id.pop(entry.id, None)
        known = self.pool_by_id.get(entry.id)
        if known is not None and not known.entry.same_process(entry):
            self._remove(entry.id, "started again")
            known = None
        if known is None:
            if entry.phase is entries.LeafPhase.LEAVING:
                return
            self._add(entry)
            return
        if known.entry.phase is not entry.phase:
            self.generation += 1
        known.entry = entry
        if entry.phase is entries.LeafPhase.LEAVING and not known.leaving:
            self._log.emit(
                base.Event.LEAF_DRAINING, leaf=entry.id, service=entry.service
            )
            self._unlist(known)
            known.leave()
        elif entry.phase is entries.LeafPhase.READY and known.leaving:
            known.rejoin()
            self.pools_by_service.setdefault(entry.service, []).append(known)
            self._on_room(known)

    def gone(self, leaf_id: str) -> None:
        """Takes the removal of a leaf's entry."""
        if leaf_id not in self.pool_by_id:
            return
        if self._clock.monotonic() < self._hold_until:
            self._hold(leaf_id, self._hold_until)
            return
        self._remove(leaf_id, "entry removed")

    def gone_together(self, leaf_ids: list[str]) -> None:
        """Takes removals that came at once.

        Many at a time look like entries that lapsed while the store was
        away and this VM did not notice.
        """
        known = [leaf_id for leaf_id in leaf_ids if leaf_id in self.pool_by_id]
        share = len(known) / max(1, len(self.pool_by_id))
        if len(known) >= _LAPSE_COUNT and share >= _LAPSE_SHARE:
            self.store_back()
        for leaf_id in known:
            self.gone(leaf_id)

    def _add(self, entry: entries.LeafEntry) -> None:
        added = pool.LeafPool(
            entry=entry,
            connections_max=self._share(entry.service),
            clock=self._clock,
            reactor=self._reactor,
            id_header=self._id_header,
            on_room=self._on_room,
            reuse=self._reuse,
        )
        self.generation += 1
        self.pool_by_id[entry.id] = added
        self.pools_by_service.setdefault(entry.service, []).append(added)
        self._log.emit(
            base.Event.LEAF_UP,
            leaf=entry.id,
            service=entry.service,
            zone=entry.zone,
        )
        self._on_room(added)

    def _remove(self, leaf_id: str, reason: str) -> None:
        removed = self.pool_by_id.pop(leaf_id, None)
        if removed is None:
            return
        self.generation += 1
        self._unlist(removed)
        removed.leave()
        self._log.emit(
            base.Event.LEAF_DOWN,
            leaf=leaf_id,
            service=removed.entry.service,
            reason=reason,
        )

    def _unlist(self, removed: pool.LeafPool) -> None:
        listed = self.pools_by_service.get(removed.entry.service, [])
        if removed in listed:
            listed.remove(removed)

    def disown(self, leaf_id: str) -> None:
        """Takes word that another leaf answers at a leaf's address."""
        self._remove(leaf_id, "another leaf has its address")

    def warm(self, services: Iterable[str]) -> None:
        """Opens a first connection to each leaf of the services."""
        for service in services:
            for listed in self.pools_by_service.get(service, ()):
                listed.warm()
