"""Assembly of the components of one VM."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from trefoilpier import (
    base,
    fleet,
    forward,
    http1,
    platform,
    quarantine,
    routes,
)
from trefoilpier.tier import (
    account_confirmation,
    components,
    crash_guard,
    dispatcher,
    evacuation_sync,
    leaf_settings,
    peer_sync,
    quarantine_sync,
    store_sync,
)

if TYPE_CHECKING:
    from trefoilpier.tier import shared_limits

_TRIAL_TURN_S = 1.5  # Of one VM, for a request that is barred.
_WARM_PAUSE_S = 0.5  # Between rounds of opening connections in advance.
_READY_WAIT_MAX_S = 1.5  # Longest wait for leaves after the first load.


class TierVm:
    """All components of a VM except its listening sockets and signals.

    Attributes:
        ledger: Evidence against requests that may crash leaves.
        request_dispatcher: Handler of callers' requests.
        relay_handler: Handler of requests that other VMs relay.
        state_handler: Handler of other VMs' polls for the state.
        stopping: Whether the VM is shutting down.
    """

    __slots__ = (
        "_boot",
        "_clock",
        "_components",
        "_confirmation",
        "_detour",
        "_directory",
        "_engine",
        "_evacuation_sync",
        "_evidence_sync",
        "_guard",
        "_leaf_reports",
        "_peer_sync",
        "_leaf_registry",
        "_log",
        "_on_limits",
        "_policy",
        "_reach",
        "_registration",
        "_reactor",
        "_relay",
        "_rng",
        "_selection",
        "_shared_limits",
        "_store",
        "_store_sync",
        "_used_services",
        "_vm_count",
        "ledger",
        "request_dispatcher",
        "relay_handler",
        "state_handler",
        "stopping",
    )

    def __init__(
        self,
        *,
        boot: platform.BootSettings,
        clock: base.Clock,
        log: base.EventLog,
        reactor: Any,
        on_limits: Callable[[http1.CallerLimits], None],
        policy: forward.ForwardPolicy,
        rng: random.Random,
    ) -> None:
        """Create the components; none runs before `start`.

        Args:
            boot: Settings of the VM.
            clock: Source of time and timers.
            log: Log of events.
            reactor: Reactor that opens connections.
            on_limits: Called when the limits on callers' requests change.
            policy: Settings of the decisions on requests.
            rng: Source of jitter.
        """
        self._policy = policy
        self._boot = boot
        self._clock = clock
        self._log = log
        self._reactor = reactor
        self._on_limits = on_limits
        self._rng = rng
        self._vm_count = fleet.VmCount(
            clock=clock, on_change=self._set_vm_count
        )
        self.stopping = False
        self._store = platform.PlatformStore(
            reactor=reactor,
            clock=clock,
            host=boot.store_address.host,
            port=boot.store_address.port,
        )
        self._directory = fleet.VmDirectory()
        self._selection = fleet.GathererSelection(vm_directory=self._directory)
        wire = platform.PlatformWire()
        self._guard = crash_guard.CrashGuard(
            clock=clock, log=log, rng=rng, vm_id=boot.node_id
        )
        self._guard.gate.owns_trial = self._owns_trial
        self._guard.early.on_news = lambda: self.state_handler.notify_waiting()
        self.ledger = self._guard.ledger
        self._evidence_sync = quarantine_sync.QuarantineSync(
            clock=clock,
            log=log,
            rng=rng,
            store_client=self._store,
            ledger=self.ledger,
            vm_id=boot.node_id,
            on_unsent=lambda: self.state_handler.notify_waiting(),
        )
        self._components = components.ComponentFactory(
            boot=boot,
            clock=clock,
            log=log,
            reactor=reactor,
            policy=policy,
            rng=rng,
            store_client=self._store,
        )
        self._engine, self._leaf_registry = self._components.make_engine(
            wire,
            boot.budget,
            gate=self._guard.gate,
            end_observer=self._guard.end_observer,
        )
        self._guard.set_registry(self._leaf_registry)
        self._leaf_registry.limit_news.on_change = lambda: (
            self.state_handler.notify_waiting()
        )
        self._used_services: frozenset[str] = frozenset()
        self._confirmation = account_confirmation.AccountConfirmation(
            clock=clock, log=log, revoke_s=boot.revoke_s
        )
        self._engine.accounts_confirmed = self._confirmation.is_confirmed
        self._relay = self._components.make_relay(
            wire,
            zone=boot.zone,
            tracks_leaves=lambda: False,
            on_state=self._handle_gatherer_state,
        )
        self._evacuation_sync = evacuation_sync.EvacuationSync(
            clock=clock,
            log=log,
            get_position=lambda: self._store_sync.position,
            on_change=self._leaf_registry.set_evacuated_zones,
        )
        self._store_sync = store_sync.StoreSync(
            clock=clock,
            log=log,
            rng=self._rng,
            store_client=self._store,
            registry=self._leaf_registry,
            directory=self._directory,
            on_routes=self._apply_routes,
            on_members=self._apply_members,
            follower_by_prefix={
                quarantine_sync.KEY_PREFIX: self._evidence_sync,
                platform.EVACUATION_PREFIX: self._evacuation_sync,
            },
            on_confirmed=self._confirmation.confirm,
            watch_wait_s=self._confirmation.limit_watch(
                store_sync.compute_watch_wait_s(boot.contact_s)
            ),
        )
        self._engine.route_read_failed = lambda: (
            self._store_sync.last_call_failed or self._relay.watch.read_failed
        )
        self._registration: fleet.VmRegistration | None = None
        self._peer_sync = peer_sync.PeerSync(
            clock=clock, log=log, reactor=reactor, local_sync=self._store_sync
        )
        self._detour = self._components.make_relay(
            wire,
            zone="",
            # The store reports them, unless it fails.
            tracks_leaves=lambda: not self._store_sync.current,
            on_state=self._handle_peer_state,
            reads_suspicions=True,
        )
        self._detour.watch.on_confirmed = lambda version, at: (
            self._confirmation.confirm_from_peer(
                own_version=self._store_sync.version,
                peer_version=version,
                at=at,
            )
        )
        self.state_handler = fleet.StateHandler(
            clock=clock,
            make_state=self._make_state,
            make_snapshot=self._make_snapshot,
        )
        self.state_handler.get_confirmed_at = self._confirmation.for_peers
        self._reach = fleet.ServiceReach(
            clock=clock,
            log=log,
            registry=self._leaf_registry,
            get_services=lambda: self._used_services,
            on_change=self.state_handler.notify_waiting,
        )
        self._leaf_reports: fleet.LeafReports | None = None
        if (
            policy.leaves.share_slowness
            and policy.leaves.estimate_slowness
            and self.can_gather
        ):
            self._leaf_reports = fleet.LeafReports(
                clock=clock,
                registry=self._leaf_registry,
                vm_id=boot.node_id,
                on_change=self.state_handler.notify_waiting,
            )
            self._detour.watch.reads_reports = True
        self._shared_limits: shared_limits.SharedLimits | None = None
        if boot.quotas is not None and self.can_gather:
            self._shared_limits = self._make_shared_limits(boot.quotas)
        self.relay_handler = fleet.RelayHandler(engine=self._engine)
        self.request_dispatcher = dispatcher.RequestDispatcher(
            clock=clock,
            engine=self._engine,
            relay=self._relay,
            detour=self._detour,
            reach=self._reach,
            is_gatherer=self.is_gatherer,
            start_store_sync=self._store_sync.start,
        )

    def _make_shared_limits(
        self, bounds: platform.QuotaBounds
    ) -> "shared_limits.SharedLimits":
        """Create the limits that all VMs share, and use them for quotas."""
        # Imported only where the settings ask for it.
        from trefoilpier.tier import shared_limits  # noqa: PLC0415

        limits = shared_limits.SharedLimits(
            clock=self._clock,
            log=self._log,
            reactor=self._reactor,
            vm_id=self._boot.node_id,
            bounds=bounds,
            get_table=lambda: self._engine.table,
        )
        limits.listen(self.state_handler)
        self._engine.quota_gate = limits.gate
        return limits

    def _update_shared_limits(self) -> None:
        """Apply the routes and gatherers in force to shared limits.

        A VM without the capacity to gather uses them only while it asks the
        leaves itself, which is when it has a configuration.
        """
        table = self._engine.table
        if (
            self._shared_limits is None
            and self._boot.quotas is not None
            and table is not None
            and table.account_table is not None
        ):
            self._shared_limits = self._make_shared_limits(self._boot.quotas)
        if self._shared_limits is not None:
            self._shared_limits.set_gatherers(self._selection.selected)

    def start(self, record: fleet.VmRecord) -> None:
        """Start the components.

        Args:
            record: Record to register in the store if this VM can gather.
        """
        self._warm_connections()
        if not self.can_gather:
            self.request_dispatcher.start()
            return
        self._registration = fleet.VmRegistration(
            clock=self._clock,
            rng=self._rng,
            store_client=self._store,
            record=record,
            lease_ttl_min_s=self._boot.min_lease_s,
        )
        self._registration.start()
        self._store_sync.start()
        self._detour.watch.start()
        self._reach.start()
        if self._leaf_reports is not None:
            self._leaf_reports.start()

    @property
    def can_gather(self) -> bool:
        """Whether the VM has enough capacity to gather."""
        return fleet.can_gather(
            cores=self._boot.cores, link_mbps=self._boot.link_mbps
        )

    def is_gatherer(self) -> bool:
        """Return whether this VM is a gatherer and serves its callers itself.

        A VM that is able to gather does so until its record is in the
        directory.
        """
        return self.can_gather and self._selection.is_selected(
            self._boot.node_id
        )

    def _owns_trial(self, fingerprint: str, since_s: float) -> bool:
        """Return whether it is this VM's turn to try what all VMs bar.

        The request may reach some VMs only. Within a turn, all learn of a leaf
        that has ended under a trial.
        """
        order = sorted(
            self._selection.selected,
            key=lambda record: base.stable_hash(fingerprint + record.id),
        )
        if not order:
            return False
        turn = int(since_s / _TRIAL_TURN_S) % len(order)
        return order[turn].id == self._boot.node_id

    def _apply_routes(self, table: routes.RouteTable) -> None:
        self._engine.table = table
        self._used_services = table.used_services
        self._detour.update_version(table.version)
        self._on_limits(table.limits)
        leaf_settings.apply_routes(self._leaf_registry, table)
        limits = [
            service.connections_max
            for service in table.service_by_name.values()
        ]
        self._selection.count_max = fleet.gatherers_max(limits) if limits else 0
        self._update_shared_limits()
        self.state_handler.notify_waiting()

    def _apply_members(self) -> None:
        """Adapt the shares of connections and budgets to the gatherers."""
        self.state_handler.notify_waiting()
        if self._registration is not None and self._store_sync.current:
            self._registration.handle_listing(
                listed=self._boot.node_id in self._directory.record_by_id
            )
        self._update_shared_limits()
        count = len(self._selection.selected)
        if count:
            # At the first start of all VMs, no record is there yet.
            self._vm_count.update(count)
        self._share_cold_leaves()
        if self.is_gatherer():
            self._open_connections()
        else:
            self.request_dispatcher.start()

    def _set_vm_count(self, count: int) -> None:
        self._leaf_registry.set_vm_count(count)
        self._engine.set_vm_count(count)
        self._share_cold_leaves()

    def _share_cold_leaves(self) -> None:
        """Divide the rates of cold leaves, unless VMs may only be unlisted."""
        selected = self._selection.selected
        if len(selected) >= self._vm_count.value:
            self._leaf_registry.cold_leaves.set_vms(
                record.id for record in selected
            )

    def _make_state(self) -> fleet.GathererState:
        table = self._engine.table
        vms = self._selection.selected
        return fleet.GathererState(
            version=table.version if table is not None else 0,
            current=self._store_sync.current,
            leaving=self.stopping,
            limits=table.limits if table else http1.CallerLimits(),
            vm_generation=self._selection.generation,
            leaf_generation=(
                self._leaf_registry.generation + self.ledger.generation
            ),
            vms=vms,
            era=self._store_sync.era,
            lost_count=len(self._reach.lost_services),
            unsent_evidence=quarantine.to_document(
                self._evidence_sync.unsent_records()
            ),
            unsent_generation=(
                self._evidence_sync.unsent_generation
                + self._evacuation_sync.generation
                + self._leaf_registry.limit_news.generation
            ),
            rate_limits=self._leaf_registry.limit_news.encode(),
            evacuations=self._evacuation_sync.report(),
            suspicions=self._guard.early.news(),
            suspicion_generation=self._guard.early.generation,
            leaf_reports=(
                self._leaf_reports.encode() if self._leaf_reports else None
            ),
        )

    def _make_snapshot(self) -> fleet.Snapshot:
        items = self._evacuation_sync.add_missing_items(self._store_sync.items)
        position = self._store_sync.position
        return fleet.Snapshot(
            data=peer_sync.encode_items(items),
            position=fleet.SnapshotPosition(
                era=position.era,
                revision=position.revision,
                current=self._store_sync.current,
            ),
        )

    def _handle_gatherer_state(
        self, record: fleet.VmRecord, state: fleet.GathererState
    ) -> None:
        """Apply the version and the limits of a gatherer's state."""
        self._relay.update_version(state.version)
        if not self.is_gatherer() and state.version >= self._relay.version:
            self._on_limits(state.limits)

    def _handle_peer_state(
        self, record: fleet.VmRecord, state: fleet.GathererState
    ) -> None:
        """Apply a peer's state: evidence, routes, and its items if needed."""
        merged = self._guard.merge(state)
        if merged.is_error():
            self._log.emit(
                base.Event.PEER_REJECTED, peer=record.id, reason=merged.error
            )
        if self._leaf_reports is not None:
            self._leaf_reports.handle(state.leaf_reports)
        self._leaf_registry.limit_news.merge(state.rate_limits)
        if self._evacuation_sync.handle_report(
            state.evacuations, era=state.era
        ):
            self.state_handler.notify_waiting()
        self._detour.update_version(state.version)
        self._peer_sync.handle_state(record, state)

    def _warm_connections(self) -> None:
        """Keep a connection to each leaf open, checked periodically."""
        if self._store_sync.loaded and self.is_gatherer():
            self._open_connections()
        self._clock.call_later(_WARM_PAUSE_S, self._warm_connections)

    def _open_connections(self) -> None:
        """Open a connection to each leaf that has none."""
        self._leaf_registry.warm_up_leaves(
            list(self._leaf_registry.pools_by_service)
        )

    def ready(self) -> bool:
        """Return whether the balancer should send callers to this VM."""
        if self.stopping:
            return False
        if self.request_dispatcher.is_relaying:
            return True
        table = self._engine.table
        if table is None or not self._store_sync.loaded:
            return False
        if (
            self._clock.monotonic() - self._store_sync.loaded_at
            > _READY_WAIT_MAX_S
        ):
            return True
        return all(
            self._leaf_registry.can_reach(service)
            for service in table.used_services
        )

    def stop(self, times: forward.StopTimes) -> None:
        """Begin the graceful shutdown and notify the other VMs."""
        self.stopping = True
        self._engine.begin_stop(times)
        self._relay.begin_stop(times)
        self._detour.begin_stop(times)
        if self._shared_limits is not None:
            self._shared_limits.stop()
        self.state_handler.notify_waiting()
        if self._registration is not None:
            self._registration.stop()

    def refuse_all(self) -> None:
        """Refuse each further request, since the process ends."""
        for engine in self.engine_by_role.values():
            engine.refuse_all()

    @property
    def known_leaf_ids(self) -> list[str]:
        """Ids of the leaves that the VM knows."""
        return list(self._leaf_registry.pool_by_id)

    @property
    def in_flight(self) -> int:
        """Number of requests without a response."""
        engines = self.engine_by_role.values()
        return sum(engine.in_flight for engine in engines)

    @property
    def version(self) -> int:
        """Version of the routes in force; 0 for none."""
        return max(self._store_sync.version, self._relay.version)

    @property
    def engine_by_role(self) -> dict[str, forward.ForwardEngine]:
        """Forwarding engines by role, for the metrics."""
        return {
            "gather": self._engine,
            "relay": self._relay.engine,
            "detour": self._detour.engine,
        }

    @property
    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that return further metrics, by name."""
        return {
            **self._confirmation.gauges,
            "config_version": lambda: self.version,
            "store_calls_total": lambda: self._store.request_count,
            "store_current": lambda: self._store_sync.current,
            "leafs_known": lambda: len(self._leaf_registry.pool_by_id),
            **self._guard.gauges,
            "zones_evacuated": lambda: len(self._leaf_registry.evacuated_zones),
            "leafs_cold": self._leaf_registry.count_cold,
            "services_lost": lambda: len(self._reach.lost_services),
            "vms_gathering": lambda: len(self._directory.record_by_id),
            "draining": lambda: self.stopping,
            **(self._leaf_reports.gauges if self._leaf_reports else {}),
            **(self._shared_limits.gauges if self._shared_limits else {}),
        }
