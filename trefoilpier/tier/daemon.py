"""The sockets, pages and signals around one VM."""

import gc
import os
import signal
import sys
from typing import Any

from twisted.internet import error, reactor

from trefoilpier import base, fleet, http1, platform
from trefoilpier.tier import line_log, metrics, pages, vm

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 3
EXIT_CANNOT_LISTEN = 4
_LISTEN_BACKLOG = 512  # Connections that wait to be accepted after a stall.
_METRICS_PORT = 9464  # Named in the deploy file as well.
# The balancer asks once a second and takes a VM out after two misses.
_BALANCER_DETECTION_S = 2.6
_STOP_MARGIN_S = 0.6  # Left of the grace period for the last writes.
_CLOSE_IDLE_PAUSE_S = (
    0.05  # Between two looks for connections without a request.
)
_READY_CHECK_PAUSE_S = 0.1  # Precision of the line that says ready.


class TierDaemon:
    """Listens for callers, other VMs, the balancer and scrapes."""

    __slots__ = ("_boot", "_clock", "_log", "_metrics", "_servers", "_vm")

    def __init__(self, *, boot: platform.BootSettings) -> None:
        self._boot = boot
        self._clock = base.ReactorClock(reactor=reactor)
        self._log = line_log.LineLog(
            clock=self._clock, descriptor=sys.stdout.fileno()
        )
        self._servers: list[http1.ServerFactory] = []
        self._vm = vm.TierVm(
            boot=boot,
            clock=self._clock,
            log=self._log,
            reactor=reactor,
            on_limits=self._set_caller_limits,
        )
        self._metrics = metrics.TierMetrics(
            engine_by_role=self._vm.engine_by_role,
            gauges={
                **self._vm.gauges,
                "log_lines_dropped_total": lambda: self._log.dropped,
            },
        )

    def start(self) -> None:
        """Listens and starts; raises ``CannotListenError``."""
        boot = self._boot
        page_server = pages.PageHandler(
            page_by_path={
                b"/ready": self._ready_page,
                b"/metrics": self._metrics_page,
            }
        )
        self._listen(boot.callers, self._vm.request_dispatcher)
        self._listen(boot.readiness, page_server)
        self._listen_metrics(page_server)
        record = self._own_record()
        if self._vm.can_gather:
            self._listen_for_peers(record)
        self._vm.start(record)
        self._log.emit(
            base.Event.STARTED,
            node=boot.node_id,
            zone=boot.zone,
            gathers=self._vm.gathers(),
        )
        self._log_when_ready()
        # The reactor installs handlers of its own when it starts to run.
        reactor.callWhenRunning(self._install_signal_handlers)

    def _own_record(self) -> fleet.VmRecord:
        first_port = self._boot.inner_ports[0]
        return fleet.VmRecord(
            id=self._boot.node_id,
            zone=self._boot.zone,
            host=self._boot.callers.host,
            relay_port=first_port,
            state_port=first_port + 1,
            started_ms=int(self._clock.utc_now().timestamp() * 1000),
        )

    def _listen(
        self, address: platform.Address, handler: http1.RequestHandler
    ) -> None:
        server = http1.ServerFactory(
            clock=self._clock, handler=handler, limits=http1.CallerLimits()
        )
        reactor.listenTCP(
            address.port,
            server,
            backlog=_LISTEN_BACKLOG,
            interface=address.host,
        )
        self._servers.append(server)

    def _listen_for_peers(self, record: fleet.VmRecord) -> None:
        for port, handler in (
            (record.relay_port, self._vm.relay_handler),
            (record.state_port, self._vm.state_handler),
        ):
            self._listen(platform.Address(host=record.host, port=port), handler)

    def _listen_metrics(self, handler: http1.RequestHandler) -> None:
        """Listens for scrapes; serving callers does not depend on it."""
        host = self._boot.callers.host
        try:
            self._listen(
                platform.Address(host=host, port=_METRICS_PORT), handler
            )
        except error.CannotListenError as failed:
            self._log.emit(base.Event.UNHANDLED, problem=str(failed))

    def _set_caller_limits(self, limits: http1.CallerLimits) -> None:
        self._servers[0].limits = limits

    def _log_when_ready(self) -> None:
        """Writes one line when callers can be served."""
        if self._vm.ready():
            self._log.emit(
                base.Event.READY,
                node=self._boot.node_id,
                relays=self._vm.request_dispatcher.relays,
                version=self._vm.version,
            )
        elif not self._vm.stopping:
            self._clock.call_later(_READY_CHECK_PAUSE_S, self._log_when_ready)

    def _ready_page(self) -> http1.HttpResponse:
        return http1.HttpResponse(status=200 if self._vm.ready() else 503)

    def _metrics_page(self) -> http1.HttpResponse:
        return http1.HttpResponse(
            status=200,
            headers=[(b"content-type", b"text/plain; version=0.0.4")],
            body=self._metrics.render(),
        )

    def _install_signal_handlers(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_hangup_signal)

    def _on_stop_signal(self, number: int, frame: Any) -> None:
        reactor.callFromThread(self._stop)

    def _on_hangup_signal(self, number: int, frame: Any) -> None:
        reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        """Reads the settings again; addresses hold until the next start."""
        read = platform.read_boot(os.environ.get(platform.BOOT_VARIABLE, ""))
        if read.is_error():
            self._log.emit(base.Event.CONFIG_REJECTED, problem=read.error)
            return
        self._log.emit(base.Event.SETTINGS_READ, node=read.ok.node_id)

    def _stop(self) -> None:
        """Begins the graceful shutdown."""
        if self._vm.stopping:
            return
        self._vm.stop()
        for server in self._servers:
            server.closing = True
        self._log.emit(base.Event.DRAIN_STARTED, in_flight=self._vm.in_flight)
        self._clock.call_later(_BALANCER_DETECTION_S, self._close_idle)
        self._clock.call_later(self._boot.grace_s - _STOP_MARGIN_S, self._exit)

    def _close_idle(self) -> None:
        """Ends connections without a request until none is left."""
        for server in self._servers:
            server.close_idle()
        connected = any(server.connections for server in self._servers)
        if self._vm.in_flight or connected:
            self._clock.call_later(_CLOSE_IDLE_PAUSE_S, self._close_idle)
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
        sys.exit(EXIT_INVALID_SETTINGS)
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
