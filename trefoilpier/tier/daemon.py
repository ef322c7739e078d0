"""Puts one process together and answers signals."""

import gc
import os
import random
import signal
import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import error, reactor

from trefoilpier import (
    base,
    fleet,
    forward,
    http1,
    platform,
    replicas,
    routes,
)
from trefoilpier.tier import (
    front_door,
    line_log,
    metrics,
    pages,
    peer_feed,
    store_sync,
)

EXIT_OK = 0
EXIT_SETTINGS = 3
EXIT_CANNOT_LISTEN = 4
_BACKLOG = 512  # Connections that wait to be accepted after a stall.
_METRICS_PORT = 9464  # Named in the deploy file as well.
_WARM_S = 0.5  # Between two rounds of opening connections ahead of use.
# The balancer asks once a second and takes a VM out after two misses.
_BALANCER_LAG_S = 2.6
_STOP_MARGIN_S = 0.6  # Left of the grace period for the last writes.
_READY_CHECK_S = 0.1
_READY_WAIT_S = 1.5  # Longest wait for leafs once the routes are known.
_SHRINK_S = 15.0  # Longer than entries of live VMs stay lapsed.
_RELAY_CONNECTIONS = 512  # To one gatherer; one for each request in flight.
# Gatherers keep idle connections for as long as callers may.
_RELAY_REUSE = replicas.ReusePolicy(idle_s=10.0, fresh_s=10.0)
# A request goes to a second gatherer only if the first has not run it.
_RELAY_BUDGET = forward.BudgetTerms(share=1.0, window_s=10.0, allowance=200.0)


class TierDaemon:
    """Owns the sockets and the controllers of one VM."""

    __slots__ = (
        "_boot",
        "_clock",
        "_directory",
        "_door",
        "_engine",
        "_feed",
        "_leafs",
        "_log",
        "_metrics",
        "_peers",
        "_presence",
        "_relay",
        "_rng",
        "_servers",
        "_state_pages",
        "_stopping",
        "_store",
        "_sync",
        "_vm_count",
    )

    def __init__(self, *, boot: platform.BootSettings) -> None:
        self._boot = boot
        self._clock = base.ReactorClock(reactor=reactor)
        self._log = line_log.LineLog(
            clock=self._clock, descriptor=sys.stdout.fileno()
        )
        self._rng = random.Random()
        self._store = platform.PlatformStore(
            reactor=reactor,
            clock=self._clock,
            host=boot.store.host,
            port=boot.store.port,
        )
        self._directory = fleet.VmDirectory()
        wire = platform.PlatformWire()
        self._engine, self._leafs = self._make_engine(wire, boot.budget, None)
        self._relay = self._make_relay(wire)
        self._sync = store_sync.StoreSync(
            clock=self._clock,
            log=self._log,
            rng=self._rng,
            store_client=self._store,
            registry=self._leafs,
            directory=self._directory,
            on_table=self._take_table,
            on_fleet=self._take_fleet,
        )
        self._presence: fleet.Presence | None = None
        self._state_pages = fleet.StatePages(
            clock=self._clock,
            make_state=self._state,
            make_snapshot=lambda: peer_feed.encode_items(self._sync.items),
        )
        self._feed = peer_feed.PeerFeed(
            clock=self._clock,
            log=self._log,
            reactor=reactor,
            sync=self._sync,
        )
        self._peers = self._make_peer_watch()
        self._metrics = self._make_metrics()
        self._door = front_door.FrontDoor(
            clock=self._clock,
            engine=self._engine,
            relay=self._relay,
            gathers=self._gathers,
            start_own=self._sync.start,
        )
        self._servers: list[http1.ServerFactory] = []
        self._stopping = False
        self._vm_count = 0

    def _make_engine(
        self,
        wire: forward.LeafWire,
        budget: forward.BudgetTerms,
        reuse: replicas.ReusePolicy | None,
    ) -> tuple[forward.ForwardEngine, replicas.LeafRegistry]:
        engine = forward.ForwardEngine(
            clock=self._clock,
            log=self._log,
            wire=wire,
            chooser=replicas.LeafChooser(rng=self._rng, zone=self._boot.zone),
            budget_terms=budget,
        )
        registry = replicas.LeafRegistry(
            clock=self._clock,
            log=self._log,
            reactor=reactor,
            id_header=wire.id_header,
            on_room=engine.room,
            reuse=reuse,
        )
        engine.registry = registry
        return engine, registry

    def _make_relay(self, wire: forward.LeafWire) -> front_door.Relay:
        relay_wire = fleet.RelayWire(wire=wire)
        engine, registry = self._make_engine(
            relay_wire, _RELAY_BUDGET, _RELAY_REUSE
        )
        registry.set_connection_limits({fleet.GATHERERS: _RELAY_CONNECTIONS})
        watch = self._make_watch(
            registry, zone=self._boot.zone, on_state=self._take_state
        )
        return front_door.Relay(engine=engine, wire=relay_wire, watch=watch)

    def _make_peer_watch(self) -> fleet.GathererWatch:
        """Makes what a VM that gathers hears of the others."""
        registry = replicas.LeafRegistry(
            clock=self._clock,
            log=base.NullEventLog(),
            reactor=reactor,
            id_header=b"",
            on_room=lambda pool: None,
        )
        return self._make_watch(
            registry, zone="", on_state=self._feed.take_state
        )

    def _make_watch(
        self,
        registry: replicas.LeafRegistry,
        *,
        zone: str,
        on_state: Callable[[fleet.VmRecord, fleet.FleetState], None],
    ) -> fleet.GathererWatch:
        return fleet.GathererWatch(
            clock=self._clock,
            log=self._log,
            rng=self._rng,
            reactor=reactor,
            store_client=self._store,
            registry=registry,
            own_id=self._boot.node_id,
            zone=zone,
            on_state=on_state,
        )

    def start(self) -> None:
        """Listens and starts; raises ``CannotListenError``."""
        boot = self._boot
        pages_by_path = {
            b"/ready": self._ready_page,
            b"/metrics": self._metrics_page,
        }
        page_server = pages.PageServer(page_by_path=pages_by_path)
        self._listen(boot.callers, self._door)
        self._listen(boot.readiness, page_server)
        self._listen_metrics(page_server)
        if self._can_gather():
            self._start_gathering()
        else:
            self._door.start()
        self._log.emit(
            base.Event.STARTED,
            node=boot.node_id,
            zone=boot.zone,
            gathers=self._gathers(),
        )
        self._warm()
        self._announce_ready()
        # The reactor installs handlers of its own when it starts to run.
        reactor.callWhenRunning(self._install_signals)

    def _listen(
        self, address: platform.Address, handler: http1.RequestHandler
    ) -> None:
        server = http1.ServerFactory(
            clock=self._clock, handler=handler, limits=http1.CallerLimits()
        )
        reactor.listenTCP(
            address.port, server, backlog=_BACKLOG, interface=address.host
        )
        self._servers.append(server)

    def _listen_metrics(self, handler: http1.RequestHandler) -> None:
        """Listens for scrapes; serving callers does not depend on it."""
        host = self._boot.callers.host
        try:
            self._listen(
                platform.Address(host=host, port=_METRICS_PORT), handler
            )
        except error.CannotListenError as failed:
            self._log.emit(base.Event.UNHANDLED, problem=str(failed))

    def _install_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        signal.signal(signal.SIGHUP, self._hung_up)

    # Gathering.

    def _can_gather(self) -> bool:
        return fleet.can_gather(
            cores=self._boot.cores, link_mbps=self._boot.link_mbps
        )

    def _gatherers(self) -> list[fleet.VmRecord]:
        table = self._engine.table
        limits = [
            service.connections_max
            for service in (table.service_by_name if table else {}).values()
        ]
        if not limits:
            return list(self._directory.vm_by_id.values())
        return self._directory.gatherers(fleet.gatherers_max(limits))

    def _gathers(self) -> bool:
        """Whether this VM serves its callers itself."""
        own_id = self._boot.node_id
        if not self._can_gather():
            return False
        if own_id not in self._directory.vm_by_id:
            return True
        return any(record.id == own_id for record in self._gatherers())

    def _start_gathering(self) -> None:
        boot = self._boot
        relay_port = boot.inner_ports[0]
        state_port = relay_port + 1
        host = boot.callers.host
        self._listen(
            platform.Address(host=host, port=relay_port),
            fleet.RelayDoor(engine=self._engine),
        )
        self._listen(
            platform.Address(host=host, port=state_port), self._state_pages
        )
        started_ms = int(self._clock.utc_now().timestamp() * 1000)
        self._presence = fleet.Presence(
            clock=self._clock,
            rng=self._rng,
            store_client=self._store,
            record=fleet.VmRecord(
                id=boot.node_id,
                zone=boot.zone,
                host=host,
                relay_port=relay_port,
                state_port=state_port,
                started_ms=started_ms,
            ),
            lease_least_s=boot.lease_least_s,
        )
        self._presence.start()
        self._sync.start()
        self._peers.start()

    def _take_table(self, table: routes.RouteTable) -> None:
        self._engine.table = table
        self._servers[0].limits = table.limits
        self._leafs.set_connection_limits(
            {
                service.name: service.connections_max
                for service in table.service_by_name.values()
            }
        )
        self._state_pages.changed()

    def _take_fleet(self) -> None:
        """Shares connections and budgets between the VMs that gather."""
        self._state_pages.changed()
        count = len(self._gatherers())
        if count > self._vm_count:
            self._set_vm_count()
        elif count < self._vm_count:
            # Entries may have lapsed while their VMs go on.
            self._clock.call_later(_SHRINK_S, self._set_vm_count)
        if not self._gathers():
            self._door.start()

    def _set_vm_count(self) -> None:
        self._vm_count = max(1, len(self._gatherers()))
        self._leafs.set_vm_count(self._vm_count)
        self._engine.set_vm_count(self._vm_count)

    def _state(self) -> fleet.FleetState:
        table = self._engine.table
        return fleet.FleetState(
            version=table.version if table is not None else 0,
            current=self._sync.current,
            leaving=self._stopping,
            limits=table.limits if table else http1.CallerLimits(),
            vm_generation=self._directory.generation,
            leaf_generation=self._leafs.generation,
            vms=self._gatherers(),
        )

    def _take_state(
        self, record: fleet.VmRecord, state: fleet.FleetState
    ) -> None:
        """Takes what a gatherer tells this VM."""
        self._relay.take_version(state.version)
        if not self._gathers() and state.version >= self._relay.version:
            self._servers[0].limits = state.limits

    def _warm(self) -> None:
        if self._sync.loaded and self._gathers():
            self._leafs.warm(list(self._leafs.pools_by_service))
        self._clock.call_later(_WARM_S, self._warm)

    # Pages.

    def ready(self) -> bool:
        """Tells whether the balancer should send callers here."""
        if self._stopping:
            return False
        if self._door.relays:
            return True
        table = self._engine.table
        if table is None or not self._sync.loaded:
            return False
        if self._clock.monotonic() - self._sync.loaded_at > _READY_WAIT_S:
            return True
        pools = self._leafs.pools_by_service
        return all(
            any(pool.connected for pool in pools.get(service, ()))
            for service in table.used_services
        )

    def _announce_ready(self) -> None:
        """Writes one line when callers can be served."""
        if self.ready():
            self._log.emit(
                base.Event.READY,
                node=self._boot.node_id,
                relays=self._door.relays,
                version=max(self._sync.version, self._relay.version),
            )
        elif not self._stopping:
            self._clock.call_later(_READY_CHECK_S, self._announce_ready)

    def _ready_page(self) -> http1.HttpResponse:
        return http1.HttpResponse(status=200 if self.ready() else 503)

    def _metrics_page(self) -> http1.HttpResponse:
        return http1.HttpResponse(
            status=200,
            headers=[(b"content-type", b"text/plain; version=0.0.4")],
            body=self._metrics.render(),
        )

    def _make_metrics(self) -> metrics.TierMetrics:
        return metrics.TierMetrics(
            engine_by_role={
                "gather": self._engine,
                "relay": self._relay.engine,
            },
            gauges={
                "config_version": lambda: max(
                    self._sync.version, self._relay.version
                ),
                "store_calls_total": lambda: self._store.calls,
                "store_current": lambda: self._sync.current,
                "leafs_known": lambda: len(self._leafs.pool_by_id),
                "vms_gathering": lambda: len(self._directory.vm_by_id),
                "log_lines_dropped_total": lambda: self._log.dropped,
                "draining": lambda: self._stopping,
            },
        )

    # Signals.

    def _signalled(self, number: int, frame: Any) -> None:
        reactor.callFromThread(self._stop)

    def _hung_up(self, number: int, frame: Any) -> None:
        reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        read = platform.read_boot(os.environ.get(platform.BOOT_VARIABLE, ""))
        if read.is_error():
            self._log.emit(base.Event.CONFIG_REJECTED, problem=read.error)
            return
        self._log.emit(base.Event.SETTINGS_READ, node=read.ok.node_id)

    def _stop(self) -> None:
        """Begins the graceful shutdown."""
        if self._stopping:
            return
        self._stopping = True
        self._engine.draining = True
        for server in self._servers:
            server.closing = True
        self._state_pages.changed()
        if self._presence is not None:
            self._presence.stop()
        self._log.emit(base.Event.DRAIN_STARTED, in_flight=self._in_flight())
        self._clock.call_later(_BALANCER_LAG_S, self._close_idle)
        self._clock.call_later(self._boot.grace_s - _STOP_MARGIN_S, self._exit)

    def _in_flight(self) -> int:
        return self._engine.in_flight + self._relay.engine.in_flight

    def _close_idle(self) -> None:
        """Ends connections without a request until none is left."""
        for server in self._servers:
            server.close_idle()
        if self._in_flight() or any(
            server.connections for server in self._servers
        ):
            self._clock.call_later(0.05, self._close_idle)
            return
        self._exit()

    def _exit(self) -> None:
        if not reactor.running:
            return
        self._log.emit(base.Event.STOPPED, node=self._boot.node_id)
        self._log.flush()
        reactor.stop()


def run() -> None:
    """Reads the settings, runs the daemon and exits with a status."""
    read = platform.read_boot(os.environ.get(platform.BOOT_VARIABLE, ""))
    if read.is_error():
        for finding in read.error:
            code = base.ResultCode.SETTINGS_INVALID
            print(f"{code} {finding}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    daemon = TierDaemon(boot=read.ok)
    try:
        daemon.start()
    except error.CannotListenError as failed:
        print(f"trefoilpier: {failed}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    # What was imported lives as long as the process; the collector need not
    # look at it again.
    gc.collect()
    gc.freeze()
    reactor.run()
    sys.exit(EXIT_OK)
