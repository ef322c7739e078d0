"""Registry of leaves, robust against outages of the store.

An entry removed while the store is available means that the leaf has left. An
entry removed during an outage may only have expired. Its leaf is kept for a
grace period after the store recovers, in which a live leaf registers again.

A store restored from an older copy lists leaves that have left since. Their
entries are ignored until they would have expired.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from trefoilpier import base, http1
from trefoilpier.replicas import call as calls
from trefoilpier.replicas import (
    departures,
    ends,
    evacuation,
    limit_news,
    pool,
    registration_grace,
    warm_up,
)
from trefoilpier.replicas import entry as entries
from trefoilpier.replicas import policy as policies

# VMs assumed to share a leaf until the fleet's size is known.
_ASSUMED_VM_COUNT = 12
# Memory for incomplete answers of all leaves, a fifth of a small VM's.
_BUFFERED_MAX_BYTES = 60 * 1024 * 1024
_PHASE_STEPS = 1024  # Resolution of a VM's phase among its fleet.
_REPLACED_VM_COUNT = 2  # VMs that may be replaced at the same time.


class LeafRegistry:
    """Connection pools of the leaves of all services.

    Attributes:
        cold_leaves: Leaves that are cold.
        generation: Counter of changes of the leaves and evacuated zones.
        limit_news: Limits on the rate of requests that leaves have named.
        pool_by_id: Pool of each known leaf.
        pools_by_service: Pools that may receive requests.
        slow_ids: Ids of leaves that were slow by this VM's own answers; whoever
            reads them removes those that no longer are.
    """

    __slots__ = (
        "_announcements",
        "_buffers",
        "_clock",
        "_connections_max_by_service",
        "_departures",
        "_end_observer",
        "_health_request_by_service",
        "_grace",
        "_id_header",
        "_log",
        "_on_capacity",
        "_policy",
        "_reactor",
        "_read_warm_up_s",
        "_reuse_policy",
        "_usable",
        "_vm_count",
        "_vm_id",
        "cold_leaves",
        "generation",
        "limit_news",
        "pool_by_id",
        "pools_by_service",
        "slow_ids",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        id_header: bytes,
        on_capacity: Callable[[pool.LeafPool], None],
        vm_id: str = "",
        end_observer: ends.LeafEndObserver | None = None,
        reuse: calls.ReusePolicy | None = None,
        policy: policies.LeafPolicy | None = None,
        cold_bounds: warm_up.ColdBounds | None = None,
        read_warm_up_s: Callable[
            [http1.HttpResponse], float | None
        ] = lambda response: None,
    ) -> None:
        """Create a registry without leaves.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            reactor: Reactor that opens connections.
            id_header: Name of the header in which leaves echo a request's id.
            on_capacity: Called when a leaf may have become free for a call.
            vm_id: Name of this VM, which spreads the VMs' requests to leaves
                that limit their rate.
            end_observer: Receives the calls that leaves were running when
                they ended; None if that does not matter.
            reuse: Limits on the reuse of idle connections.
            policy: Settings of the leaves' statistics.
            cold_bounds: Bounds on the requests to a cold leaf; None for its
                rate alone.
            read_warm_up_s: Returns for how long a leaf that answers a health
                check is cold, if it says so.
        """
        self._read_warm_up_s = read_warm_up_s
        self._vm_id = vm_id
        self._end_observer = end_observer
        self._reuse_policy = reuse
        self._policy = policy
        self._clock = clock
        self._log = log
        self._reactor = reactor
        self._id_header = id_header
        self._on_capacity = on_capacity
        self._connections_max_by_service: dict[str, int] = {}
        self._health_request_by_service: dict[str, bytes] = {}
        self._vm_count = _ASSUMED_VM_COUNT
        self._grace = registration_grace.RegistrationGrace(
            clock=clock, on_expired=self._remove_expired
        )
        self._departures = departures.Departures(clock=clock)
        self._buffers = http1.BufferBudget(limit_bytes=_BUFFERED_MAX_BYTES)
        self._announcements = departures.Announcements(clock=clock)
        self.generation = 0
        self.pool_by_id: dict[str, pool.LeafPool] = {}
        self.slow_ids: set[str] = set()
        self.limit_news = limit_news.LimitNews(clock=clock)
        self.limit_news.on_limit = self._apply_told_limit
        self.cold_leaves = warm_up.ColdLeaves(
            clock=clock,
            log=log,
            vm_id=vm_id,
            bounds=cold_bounds or warm_up.ColdBounds(),
        )
        self._usable = evacuation.UsableLeaves(
            log=log,
            on_capacity=on_capacity,
            on_taken_back=self.cold_leaves.handle_taken_back,
        )
        self.pools_by_service = self._usable.pools_by_service

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones to whose leaves nothing may be sent."""
        return self._usable.evacuated_zones

    def set_evacuated_zones(self, zones: Iterable[str]) -> None:
        """Replace the zones to whose leaves nothing may be sent."""
        if self._usable.set_evacuated_zones(zones):
            self.generation += 1

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without any leaf."""
        return self._usable.is_evacuated(service)

    def can_reach(self, service: str) -> bool:
        """Return whether a leaf is connected, or evacuations leave none."""
        return self.is_evacuated(service) or any(
            service_pool.connected
            for service_pool in self.pools_by_service.get(service, ())
        )

    def set_connection_limits(self, limit_by_service: dict[str, int]) -> None:
        """Set the number of connections that each leaf of a service accepts."""
        self._connections_max_by_service.update(limit_by_service)
        for leaf_pool in self.pool_by_id.values():
            leaf_pool.connections_max = self._connections_per_vm(
                leaf_pool.entry.service
            )

    def set_health_requests(self, request_by_service: dict[str, bytes]) -> None:
        """Set the encoded health check of each service's leaves."""
        self._health_request_by_service.update(request_by_service)
        for leaf_pool in self.pool_by_id.values():
            leaf_pool.health_request = self._health_request_by_service.get(
                leaf_pool.entry.service
            )

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share each leaf's connections."""
        self._vm_count = count
        for leaf_pool in self.pool_by_id.values():
            leaf_pool.connections_max = self._connections_per_vm(
                leaf_pool.entry.service
            )
            leaf_pool.set_vm_count(count)

    def _connections_per_vm(self, service: str) -> int:
        limit = self._connections_max_by_service.get(service, _ASSUMED_VM_COUNT)
        # Reserves connections for VMs that are being replaced.
        return max(1, limit // (self._vm_count + _REPLACED_VM_COUNT))

    def handle_store_loss(self) -> None:
        """Handle the loss of the store."""
        self._grace.handle_store_loss()

    def handle_store_recovery(self) -> None:
        """Handle the recovery of the store after an outage."""
        self._grace.handle_store_recovery()

    def handle_store_restore(self) -> None:
        """Handle a restore of the store, before its items are applied.

        Leaves missing from the older copy have time to register again, and
        entries of leaves that have left are ignored for a while. Changes
        that follow are new and count at once.
        """
        self.handle_store_recovery()
        self._departures.distrust_entries()

    @property
    def entries_distrusted_until(self) -> float:
        """Monotonic time until which `replace_all` ignores some entries."""
        return self._departures.distrust_until

    def _remove_expired(self, leaf_id: str) -> None:
        self._remove(leaf_id, "not registered again after a store outage")

    def replace_all(
        self, listed: Iterable[entries.LeafEntry], *, from_peer: bool = False
    ) -> None:
        """Replace all entries; leaves that are not listed are removed.

        Args:
            listed: The entries.
            from_peer: Whether the list comes from another VM. Entries may have
                expired there if its store has just recovered.
        """
        by_id = {entry.id: entry for entry in listed}
        for entry in by_id.values():
            if not self._departures.contradict(entry):
                self.put(entry)
        for leaf_id in set(self.pool_by_id) - set(by_id):
            if from_peer:
                self._grace.hold_listed_elsewhere(leaf_id)
            else:
                self.remove_leaf(leaf_id)

    def put(self, entry: entries.LeafEntry) -> None:
        """Add or update a leaf."""
        self._grace.release(entry.id)
        if self._announcements.has_announced(entry):
            entry = dataclasses.replace(entry, phase=entries.LeafPhase.LEAVING)
        current = self.pool_by_id.get(entry.id)
        if current is not None and not current.entry.is_same_process(entry):
            self._remove(entry.id, "leaf restarted", replaced=True)
            current = None
        if current is None:
            if entry.phase is entries.LeafPhase.LEAVING:
                self._departures.record(entry)
                return
            self._add(entry)
            return
        if current.entry.phase is not entry.phase:
            self.generation += 1
        previous, current.entry = current.entry, entry
        current.end_detector.entry = entry
        if self.cold_leaves.handle_entry(current, previous):
            self.generation += 1
        if previous.zone != entry.zone and not current.leaving:
            self._usable.remove(current)
            self._usable.add(current)
        if entry.phase is entries.LeafPhase.LEAVING:
            self._drain(current)
        elif entry.phase is entries.LeafPhase.READY and current.leaving:
            current.resume_accepting()
            self._usable.add(current)

    def _drain(self, drained: pool.LeafPool) -> None:
        """Send no new requests to a leaf that leaves."""
        if drained.leaving:
            return
        entry = drained.entry
        self._log.emit(
            base.Event.LEAF_DRAINING, leaf=entry.id, service=entry.service
        )
        self._departures.record(entry)
        self._usable.remove(drained)
        drained.stop_accepting()

    def handle_leaving(self, leaving: pool.LeafPool) -> None:
        """Handle an answer in which a leaf says that it leaves.

        Its entry may say so later or never.
        """
        self._announcements.record(leaving.entry)
        self._drain(leaving)

    def remove_leaf(self, leaf_id: str) -> None:
        """Handle the removal of a leaf's entry."""
        if leaf_id not in self.pool_by_id:
            return
        if self._grace.in_force:
            self._grace.hold(leaf_id)
            return
        self._remove(leaf_id, "entry removed from the store")

    def remove_leaves(self, leaf_ids: list[str]) -> None:
        """Handle entries that were removed at the same time.

        Many at once indicate that they expired during an outage of the store
        that this VM did not notice, unless the leaves had announced that they
        leave.
        """
        staying_ids = {
            leaf_id
            for leaf_id, leaf_pool in self.pool_by_id.items()
            if not leaf_pool.leaving
        }
        count = sum(leaf_id in staying_ids for leaf_id in leaf_ids)
        if registration_grace.is_mass_expiry(count, of=len(staying_ids)):
            self.handle_store_recovery()
        for leaf_id in leaf_ids:
            self.remove_leaf(leaf_id)

    def _add(self, entry: entries.LeafEntry) -> None:
        added = pool.LeafPool(
            entry=entry,
            connections_max=self._connections_per_vm(entry.service),
            vm_count=self._vm_count,
            send_phase=self._send_phase(entry.id),
            clock=self._clock,
            reactor=self._reactor,
            id_header=self._id_header,
            on_capacity=self._on_capacity,
            on_health=self._handle_health,
            end_observer=self._end_observer,
            buffers=self._buffers,
            reuse=self._reuse_policy,
            policy=self._policy,
        )
        added.health_request = self._health_request_by_service.get(
            entry.service
        )
        added.stats.leaf_id = entry.id
        added.stats.slow_ids = self.slow_ids
        added.set_rate_limit(
            self.limit_news.rate_of(limit_news.leaf_key(entry))
        )
        self.generation += 1
        self.pool_by_id[entry.id] = added
        self._log.emit(
            base.Event.LEAF_UP,
            leaf=entry.id,
            service=entry.service,
            zone=entry.zone,
        )
        self.cold_leaves.handle_added(added)
        self._usable.add(added)

    def _send_phase(self, leaf_id: str) -> float:
        """Return this VM's phase among the VMs that send to a leaf."""
        hashed = base.stable_hash(f"{self._vm_id}/{leaf_id}")
        return (hashed % _PHASE_STEPS) / _PHASE_STEPS

    def _handle_health(
        self, checked: pool.LeafPool, response: http1.HttpResponse
    ) -> None:
        """End the ejections of a service that was out of contact.

        Its leaves were not to blame: this VM had no path to them. The answer
        may also say that the leaf is cold.
        """
        warm_up_s = self._read_warm_up_s(response)
        if warm_up_s is not None:
            self.cold_leaves.mark_cold(checked, warm_up_s)
        service = checked.entry.service
        if self.is_out_of_contact(service):
            for service_pool in self.pools_by_service[service]:
                service_pool.stats.end_ejection()

    def _remove(
        self, leaf_id: str, reason: str, *, replaced: bool = False
    ) -> None:
        removed = self.pool_by_id.pop(leaf_id, None)
        if removed is None:
            return
        self.generation += 1
        self._grace.release(leaf_id)
        self.limit_news.forget(limit_news.leaf_key(removed.entry))
        self._departures.record(removed.entry)
        self._usable.remove(removed)
        removed.end_detector.record_removed(
            reason, self._clock.monotonic(), replaced=replaced
        )
        removed.stop_accepting()
        self._log.emit(
            base.Event.LEAF_DOWN,
            leaf=leaf_id,
            service=removed.entry.service,
            reason=reason,
        )

    def set_cold_services(
        self, service_by_name: Mapping[str, warm_up.ColdService]
    ) -> None:
        """Set the properties of the services' cold leaves."""
        self.cold_leaves.set_services(service_by_name, self.pool_by_id.values())

    def count_cold(self) -> int:
        """Return how many leaves are cold."""
        now = self._clock.monotonic()
        return sum(each.stats.is_cold(now) for each in self.pool_by_id.values())

    def set_rate_limit(
        self, limited: pool.LeafPool, rate: float | None
    ) -> None:
        """Apply the limit that a leaf names, or lift it with None.

        Args:
            limited: Pool of the leaf.
            rate: Requests a second that it takes from all VMs together.
        """
        if rate is not None or self.limit_news.known:
            self.limit_news.record(limit_news.leaf_key(limited.entry), rate)
        self._set_rate_limit(limited, rate)

    def _apply_told_limit(self, key: str, rate: float | None) -> None:
        """Apply a limit of which another VM has told."""
        leaf_pool = self.pool_by_id.get(key.rpartition("/")[0])
        if (
            leaf_pool is not None
            and limit_news.leaf_key(leaf_pool.entry) == key
        ):
            self._set_rate_limit(leaf_pool, rate)

    def _set_rate_limit(
        self, limited: pool.LeafPool, rate: float | None
    ) -> None:
        previous = limited.rate_limit
        limited.set_rate_limit(rate)
        if (previous is None) != (rate is None):
            self._log.emit(
                base.Event.LEAF_RATE_LIMIT,
                leaf=limited.entry.id,
                service=limited.entry.service,
                rate=rate,
            )

    def remove_replaced(self, leaf_id: str) -> None:
        """Remove a leaf whose address is now used by another leaf."""
        self._remove(
            leaf_id, "another leaf now uses the address", replaced=True
        )

    def is_out_of_contact(self, service: str) -> bool:
        """Return whether this VM reaches no leaf of a service that has any."""
        count = len(self.pools_by_service.get(service, ()))
        return count > 0 and self.count_out_of_contact(service) == count

    def count_out_of_contact(self, service: str) -> int:
        """Return how many leaves of a service this VM does not reach."""
        now = self._clock.monotonic()
        return sum(
            service_pool.is_out_of_contact(now)
            for service_pool in self.pools_by_service.get(service, ())
        )

    def check_contact(self, service: str) -> None:
        """Check the health of a service's leaves that are in contact."""
        now = self._clock.monotonic()
        for service_pool in self.pools_by_service.get(service, ()):
            if not service_pool.is_out_of_contact(now):
                service_pool.check_contact()

    def warm_up_leaves(self, services: Iterable[str]) -> None:
        """Open a connection to each leaf of the services in advance."""
        for service in services:
            for service_pool in self.pools_by_service.get(service, ()):
                service_pool.warm_up()
