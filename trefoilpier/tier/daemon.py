"""Puts one process together and answers signals."""

import gc
import os
import random
import signal
import sys
from typing import Any

from twisted.internet import error, reactor

from trefoilpier import base, forward, http1, platform, replicas
from trefoilpier.tier import line_log, pages, store_sync

EXIT_OK = 0
EXIT_SETTINGS = 3
EXIT_CANNOT_LISTEN = 4
_BACKLOG = 512  # Connections that wait to be accepted after a stall.
_METRICS_PORT = 9464  # Named in the deploy file as well.
_WARM_S = 0.5  # Between two rounds of opening connections ahead of use.
# The balancer asks once a second and takes a VM out after two misses.
_BALANCER_LAG_S = 2.6
_STOP_MARGIN_S = 0.6  # Left of the grace period for the last writes.
_READY_WAIT_S = 1.5  # Longest wait for leafs once the routes are known.


class TierDaemon:
    """Owns the sockets and the controllers of one VM."""

    __slots__ = (
        "_boot",
        "_clock",
        "_engine",
        "_log",
        "_ports",
        "_registry",
        "_server",
        "_stopping",
        "_store",
        "_sync",
        "_table_at",
    )

    def __init__(self, *, boot: platform.BootSettings) -> None:
        self._boot = boot
        self._clock = base.ReactorClock(reactor=reactor)
        self._log = line_log.LineLog(
            clock=self._clock, descriptor=sys.stdout.fileno()
        )
        rng = random.Random()
        wire = platform.PlatformWire()
        self._engine = forward.ForwardEngine(
            clock=self._clock,
            log=self._log,
            rng=rng,
            wire=wire,
            chooser=replicas.LeafChooser(rng=rng, zone=boot.zone),
            budget_terms=boot.budget,
        )
        self._registry = replicas.LeafRegistry(
            clock=self._clock,
            log=self._log,
            reactor=reactor,
            id_header=wire.id_header,
            on_room=self._engine.room,
        )
        self._engine.registry = self._registry
        self._store = platform.PlatformStore(
            reactor=reactor,
            clock=self._clock,
            host=boot.store.host,
            port=boot.store.port,
        )
        self._sync = store_sync.StoreSync(
            clock=self._clock,
            log=self._log,
            rng=rng,
            store_client=self._store,
            registry=self._registry,
            on_table=self._take_table,
        )
        self._server = http1.ServerFactory(
            clock=self._clock,
            handler=self._engine,
            limits=http1.CallerLimits(),
        )
        self._ports: list[Any] = []
        self._stopping = False
        self._table_at = 0.0

    def start(self) -> None:
        """Listens and starts; raises ``CannotListenError``."""
        boot = self._boot
        readiness = pages.PageServer(
            page_by_path={
                b"/ready": self._ready_page,
                b"/metrics": self._metrics_page,
            }
        )
        limits = http1.CallerLimits()
        page_factory = http1.ServerFactory(
            clock=self._clock, handler=readiness, limits=limits
        )
        for address, factory in (
            (boot.callers, self._server),
            (boot.readiness, page_factory),
        ):
            self._ports.append(
                reactor.listenTCP(
                    address.port,
                    factory,
                    backlog=_BACKLOG,
                    interface=address.host,
                )
            )
        self._listen_metrics(page_factory)
        self._log.emit(
            base.Event.STARTED,
            node=boot.node_id,
            zone=boot.zone,
        )
        self._sync.start()
        self._warm()
        # The reactor installs handlers of its own when it starts to run.
        reactor.callWhenRunning(self._install_signals)

    def _install_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        signal.signal(signal.SIGHUP, self._hung_up)

    def _listen_metrics(self, factory: Any) -> None:
        """Listens for scrapes; serving callers does not depend on it."""
        try:
            reactor.listenTCP(
                _METRICS_PORT, factory, interface=self._boot.callers.host
            )
        except error.CannotListenError as failed:
            self._log.emit(base.Event.UNHANDLED, problem=str(failed))

    def _take_table(self, table: Any) -> None:
        if self._engine.table is None:
            self._table_at = self._clock.monotonic()
        self._engine.table = table
        self._server.limits = table.limits
        self._registry.set_connection_limits(
            {
                service.name: service.connections_max
                for service in table.service_by_name.values()
            }
        )

    def _warm(self) -> None:
        self._registry.warm(list(self._registry.pools_by_service))
        self._clock.call_later(_WARM_S, self._warm)

    def ready(self) -> bool:
        """Tells whether the balancer should send callers here."""
        table = self._engine.table
        if table is None or self._stopping or not self._sync.loaded:
            return False
        if self._clock.monotonic() - self._table_at > _READY_WAIT_S:
            return True
        pools = self._registry.pools_by_service
        return all(
            any(pool.connected for pool in pools.get(service, ()))
            for service in table.used_services
        )

    def _ready_page(self) -> http1.HttpResponse:
        return http1.HttpResponse(status=200 if self.ready() else 503)

    def _metrics_page(self) -> http1.HttpResponse:
        return http1.HttpResponse(status=200)

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
        self._server.closing = True
        self._log.emit(
            base.Event.DRAIN_STARTED, in_flight=self._engine.in_flight
        )
        self._clock.call_later(_BALANCER_LAG_S, self._close_idle)
        self._clock.call_later(self._boot.grace_s - _STOP_MARGIN_S, self._exit)

    def _close_idle(self) -> None:
        """Ends connections without a request until none is left."""
        self._server.close_idle()
        if self._engine.in_flight or self._server.connections:
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
