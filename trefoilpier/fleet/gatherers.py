"""Discovery and monitoring of gatherer VMs."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from trefoilpier import base, http1, replicas, store
from trefoilpier.fleet import (
    directory,
    recent_values,
    state_handler,
    state_poller,
)

# Initial pause between reads of the store while no gatherer is usable.
_DISCOVERY_PAUSE_S = 0.25
# Upper limit of that pause, and the pause while a gatherer is usable.
_DISCOVERY_PAUSE_MAX_S = 3.0
# Upper limit of the pause while the store fails. These reads may be stale, and
# cost a tenth.
_DISCOVERY_FAILED_PAUSE_MAX_S = 0.5
# A gatherer that went down is ranked last for this time.
_DOWN_PENALTY_S = 3.0
# What a gatherer that is no longer polled has reported counts for this time.
_REPORT_LIFETIME_S = 10.0
_POLLED_GATHERERS_MAX = 2  # Gatherers that one VM polls.


class GathererWatch(state_poller.PollObserver):
    """Discovery of gatherers and polling of the preferred ones.

    A relaying VM prefers gatherers in its own availability zone and sends its
    requests to those that it polls. A gatherer polls gatherers of any zone, to
    learn of changes that it has not received from the store, and to have a way
    to leaves that it does not reach itself. While a preferred gatherer has lost
    contact with services, others are polled too, and requests go to those that
    have lost the fewest. Gatherers that are shutting down get requests only
    while no other one is up.

    Attributes:
        read_failed: Whether the last read of the list of gatherers failed.
        on_confirmed: Called with the version of a gatherer's routes and a
            monotonic time at which its accounts were known to be current.
        reads_suspicions: Whether new suspicions of requests end a long poll.
        reads_reports: Whether polls ask for reports of slow leaves.
        tracks_leaves: Returns whether a change of a gatherer's leaves ends a
            long poll.
        version: Highest version of the routes that any polled gatherer has
            had in force.
        directory: The registered gatherers, without this VM.
    """

    __slots__ = (
        "_clock",
        "_down",
        "_lost_reports",
        "_poller_by_id",
        "_log",
        "_on_state",
        "_own_id",
        "_reactor",
        "_registry",
        "_rng",
        "_store",
        "_zone",
        "directory",
        "on_confirmed",
        "read_failed",
        "reads_suspicions",
        "reads_reports",
        "tracks_leaves",
        "version",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        rng: random.Random,
        reactor: Any,
        store_client: store.KeyValueStore,
        registry: replicas.LeafRegistry,
        own_id: str,
        zone: str,
        tracks_leaves: Callable[[], bool],
        on_state: Callable[
            [directory.VmRecord, state_handler.GathererState], None
        ],
        reads_suspicions: bool = False,
    ) -> None:
        """Initialize the watch; `start` begins discovery.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            rng: Source of the jitter of pauses.
            reactor: Reactor that opens connections.
            store_client: Store in which VMs register.
            registry: Registry of the gatherers that are up, as targets of
                relayed requests.
            own_id: Name of this VM.
            zone: Availability zone whose gatherers are preferred; empty for
                no preference.
            tracks_leaves: Returns whether a change of a gatherer's leaves
                matters now.
            on_state: Called with each state received from a gatherer.
            reads_suspicions: Whether suspicions of requests matter.
        """
        self.reads_suspicions = reads_suspicions
        self.read_failed = False
        self._clock = clock
        self._log = log
        self._rng = rng
        self._reactor = reactor
        self._store = store_client
        self._registry = registry
        self._own_id = own_id
        self._zone = zone
        self.tracks_leaves = tracks_leaves
        self._on_state = on_state
        self._poller_by_id: dict[str, state_poller.StatePoller] = {}
        # Names of the gatherers that went down.
        self._down = recent_values.RecentValues[bool](
            clock=clock, lifetime_s=_DOWN_PENALTY_S
        )
        # Services that each gatherer has reported as lost.
        self._lost_reports = recent_values.RecentValues[int](
            clock=clock, lifetime_s=_REPORT_LIFETIME_S
        )
        self.directory = directory.VmDirectory()
        self.on_confirmed: Callable[[int, float], None] = lambda version, at: (
            None
        )
        self.reads_reports = False
        self.version = 0

    def start(self) -> None:
        """Start discovery, which runs until the process ends."""
        defer.ensureDeferred(self._discover())

    @property
    def usable(self) -> bool:
        """Whether any polled gatherer takes requests."""
        return self.version > 0 and any(
            poller.up or poller.leaving
            for poller in self._poller_by_id.values()
        )

    @property
    def lasting(self) -> bool:
        """Whether any polled gatherer takes requests and will go on so."""
        return self.version > 0 and any(
            poller.up for poller in self._poller_by_id.values()
        )

    @property
    def lowest_lost_count(self) -> float:
        """Services lost by the best gatherer; infinite if none is usable."""
        if not self.version:
            return float("inf")
        return min(
            (
                poller.lost_count
                for poller in self._poller_by_id.values()
                if poller.up
            ),
            default=float("inf"),
        )

    async def _discover(self) -> None:
        """Read the list of gatherers from the store while none is lasting."""
        retry_pause_s = _DISCOVERY_PAUSE_S
        while True:
            if self.lasting:
                retry_pause_s = _DISCOVERY_PAUSE_S
            else:
                retry_pause_s = min(_DISCOVERY_PAUSE_MAX_S, 1.3 * retry_pause_s)
                snapshot = await self._store.read_all(
                    directory.VM_KEY_PREFIX, allow_stale=True
                )
                self.read_failed = snapshot.is_error()
                if snapshot.is_ok():
                    self._apply_items(snapshot.ok.items)
                else:
                    retry_pause_s = min(
                        _DISCOVERY_FAILED_PAUSE_MAX_S, retry_pause_s
                    )
            pause_s = _DISCOVERY_PAUSE_MAX_S if self.lasting else retry_pause_s
            await self.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    def _apply_items(self, items: list[store.Item]) -> None:
        decoded = [directory.decode_vm_record(item.value) for item in items]
        records = [each.ok for each in decoded if each.is_ok()]
        if records:
            self._apply_records(records)

    def _apply_records(self, records: list[directory.VmRecord]) -> None:
        self.directory.replace_all(
            [record for record in records if record.id != self._own_id]
        )
        self._update_pollers()

    def _update_pollers(self) -> None:
        """Poll the preferred gatherers and stop polling the others.

        Equally preferred gatherers are ordered by a hash of both VMs' names. A
        VM that passes news on polls the one that follows it in the order of
        their names' hashes, so that news reaches all of them: otherwise one VM
        in ten is polled by none.
        """
        selected = self._select_preferred()
        preferred_is_up = any(
            poller.up
            for vm_id, poller in self._poller_by_id.items()
            if selected.get(vm_id) == poller.record
        )
        for vm_id, poller in list(self._poller_by_id.items()):
            if selected.get(vm_id) == poller.record:
                continue
            # Keep a less preferred gatherer until a preferred one is up.
            if preferred_is_up or not poller.up:
                poller.active = False
                del self._poller_by_id[vm_id]
        for vm_id, record in selected.items():
            if vm_id not in self._poller_by_id:
                poller = state_poller.StatePoller(watch=self, record=record)
                self._poller_by_id[vm_id] = poller
                defer.ensureDeferred(poller.run())
        self._update_targets()

    def _update_targets(self) -> None:
        """Send requests to the gatherers that have lost the fewest services."""
        lowest_lost_count = self.lowest_lost_count
        pollers = self._poller_by_id.values()
        targets = [
            poller
            for poller in pollers
            if poller.up and poller.lost_count <= lowest_lost_count
        ]
        self._registry.replace_all(
            poller.record.to_leaf_entry()
            for poller in targets
            or [poller for poller in pollers if poller.leaving]
        )

    def _select_preferred(self) -> dict[str, directory.VmRecord]:
        """Return the gatherers to poll.

        Preferred ones are polled even if they have lost services, to learn when
        they have regained them.
        """

        def is_down(record: directory.VmRecord) -> bool:
            return bool(self._down.get(record.id))

        def rank(record: directory.VmRecord) -> tuple[bool, bool, int]:
            other_zone = bool(self._zone) and record.zone != self._zone
            name_hash = base.stable_hash(self._own_id + record.id)
            return is_down(record), other_zone, name_hash

        def rank_by_reach(record: directory.VmRecord) -> tuple[bool, int]:
            return is_down(record), self._lost_count(record.id)

        records = self.directory.record_by_id.values()
        ranked = sorted(records, key=rank)
        if self.reads_suspicions:
            successor = directory.find_successor(
                self._own_id, [each for each in records if not is_down(each)]
            )
            ranked.sort(key=lambda record: record is not successor)
        chosen = ranked[:_POLLED_GATHERERS_MAX]
        if any(self._lost_count(record.id) for record in chosen):
            # The sort is stable and keeps the order of equal ones.
            ranked.sort(key=rank_by_reach)
            chosen += ranked[:_POLLED_GATHERERS_MAX]
        return {record.id: record for record in chosen}

    def _lost_count(self, vm_id: str) -> int:
        """Return how many services a gatherer has reported as lost."""
        poller = self._poller_by_id.get(vm_id)
        if poller is not None and poller.up:
            return poller.lost_count
        return self._lost_reports.get(vm_id) or 0

    def make_client(self, record: directory.VmRecord) -> http1.HttpClient:
        """Return an HTTP client for the state port of a gatherer."""
        return http1.HttpClient(
            reactor=self._reactor,
            clock=self._clock,
            host=record.host,
            port=record.state_port,
        )

    def handle_state(
        self,
        poller: state_poller.StatePoller,
        state: state_handler.GathererState,
    ) -> None:
        """Process a state received from a gatherer."""
        if state.version > self.version:
            self.version = state.version
        poller.leaving = False
        if not poller.up:
            poller.up = True
            self._down.remove(poller.record.id)
            self._log.emit(base.Event.PEER_CONNECTED, peer=poller.record.id)
            self._update_targets()
        if state.lost_count != poller.lost_count:
            poller.lost_count = state.lost_count
            self._lost_reports.put(poller.record.id, state.lost_count)
            self._update_pollers()
        self._on_state(poller.record, state)
        if state.vms:
            poller.vms = state.vms
            self._apply_reported_records()

    def handle_confirmation(
        self,
        poller: state_poller.StatePoller,
        outcome: http1.ResponseReceived | http1.RequestFailed,
        sent_at: float,
    ) -> None:
        """Process what an answer says about the gatherer's accounts."""
        if isinstance(outcome, http1.RequestFailed):
            return
        at = state_handler.read_confirmed_at(outcome.response, sent_at)
        if at is not None:
            self.on_confirmed(poller.version, at)

    def now(self) -> float:
        """Return the monotonic time."""
        return self._clock.monotonic()

    def _apply_reported_records(self) -> None:
        """Apply the gatherers that any polled one has reported.

        Their lists differ for a while after a change, and following each in
        turn would move the polls back and forth.
        """
        record_by_id: dict[str, directory.VmRecord] = {}
        for poller in self._poller_by_id.values():
            if poller.up:
                for record in poller.vms:
                    known = record_by_id.setdefault(record.id, record)
                    if record.started_ms > known.started_ms:
                        record_by_id[record.id] = record
        self._apply_records(list(record_by_id.values()))

    def handle_down(
        self, poller: state_poller.StatePoller, *, leaving: bool
    ) -> None:
        """Process a poll failure or the shutdown of a gatherer.

        Requests in flight to an unresponsive gatherer fail at once. A gatherer
        that is shutting down still completes them.
        """
        vm_id = poller.record.id
        self._down.put(vm_id, True)
        if not poller.up and poller.leaving is leaving:
            return
        poller.up = False
        poller.leaving = leaving
        self._log.emit(base.Event.PEER_LOST, peer=vm_id, leaving=leaving)
        pool = self._registry.pool_by_id.get(vm_id)
        if pool is not None and not leaving:
            pool.close_connections()
        self._update_pollers()

    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Return a Deferred that fires after a number of seconds."""
        elapsed: defer.Deferred[None] = defer.Deferred()
        self._clock.call_later(seconds, elapsed.callback, None)
        return elapsed
