"""Listening sockets, pages and signal handling of one VM."""

import gc
import hashlib
import os
import random
import signal
import sys
from collections.abc import Iterable
from typing import Any, NoReturn

from twisted.internet import error, reactor

from trefoilpier import base, fleet, forward, http1, platform
from trefoilpier.tier import (
    account_pages,
    graceful_stop,
    lazy_modules,
    line_log,
    metrics,
    pages,
    quarantine_pages,
    vm,
)

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 3
EXIT_CANNOT_LISTEN = 4
_POLICY_VARIABLE = "TREFOILPIER_POLICY"
_LISTEN_BACKLOG = 512  # Connections waiting to be accepted after a stall.
_METRICS_PORT = 9464  # Also named in the deploy file.
_READY_CHECK_PAUSE_S = 0.1  # Precision of the time of the READY event.


class TierDaemon:
    """Process that serves callers, other VMs, the balancer and scrapes."""

    __slots__ = (
        "_boot",
        "_clock",
        "_graceful_stop",
        "_log",
        "_metrics",
        "_servers",
        "_vm",
    )

    def __init__(
        self,
        *,
        boot: platform.BootSettings,
        policy: forward.ForwardPolicy,
    ) -> None:
        self._boot = boot
        base.use_monotonic_timers(reactor)
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
            policy=policy,
            rng=random.Random(),
        )
        self._graceful_stop = graceful_stop.GracefulStop(
            clock=self._clock,
            log=self._log,
            vm=self._vm,
            servers=self._servers,
            grace_s=boot.grace_s,
            on_end=self._exit,
        )
        self._metrics = metrics.TierMetrics(
            engine_by_role=self._vm.engine_by_role,
            gauges={
                **self._vm.gauges,
                "log_lines_dropped_total": lambda: self._log.dropped,
            },
        )

    def start(self) -> None:
        """Listen on all ports and start the VM.

        Raises:
            CannotListenError: A port cannot be bound.
        """
        boot = self._boot
        page_by_path = {
            b"/ready": self._ready_page,
            b"/metrics": self._metrics_page,
        }
        bars = quarantine_pages.QuarantinePages(ledger=self._vm.ledger)
        usage = account_pages.AccountPages(
            engine=self._vm.engine_by_role["gather"]
        )
        self._listen(boot.caller_address, self._vm.request_dispatcher)
        self._listen(
            boot.readiness_address, pages.PageHandler(page_by_path=page_by_path)
        )
        self._listen_metrics(
            pages.PageHandler(
                page_by_path={
                    **page_by_path,
                    quarantine_pages.LIST_PATH: bars.list_requests,
                    quarantine_pages.LIFT_PATH: bars.lift,
                    account_pages.PATH: usage.list_usage,
                }
            )
        )
        record = self._own_record()
        if self._vm.can_gather:
            # Else the first request would wait for it.
            lazy_modules.load(hashlib)
            self._listen_for_peers(record)
        self._vm.start(record)
        self._log.emit(
            base.Event.STARTED,
            node=boot.node_id,
            zone=boot.zone,
            gathers=self._vm.is_gatherer(),
        )
        self._log_when_ready()
        # The reactor installs its own handlers when it starts to run, so these
        # must replace them afterwards.
        reactor.callWhenRunning(self._install_signal_handlers)

    def _own_record(self) -> fleet.VmRecord:
        first_port = self._boot.peer_ports[0]
        return fleet.VmRecord(
            id=self._boot.node_id,
            zone=self._boot.zone,
            host=self._boot.caller_address.host,
            relay_port=first_port,
            state_port=first_port + 1,
            started_ms=int(self._clock.utc_now().timestamp() * 1000),
        )

    def _listen(
        self, address: platform.Address, handler: http1.RequestHandler
    ) -> None:
        server = http1.ServerFactory(
            clock=self._clock,
            handler=handler,
            limits=http1.CallerLimits(),
            link_s_per_byte=self._boot.link_s_per_byte,
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
        """Listen for scrapes; a failure does not prevent serving callers."""
        host = self._boot.caller_address.host
        try:
            self._listen(
                platform.Address(host=host, port=_METRICS_PORT), handler
            )
        except error.CannotListenError as failure:
            self._log.emit(base.Event.UNHANDLED, problem=str(failure))

    def _set_caller_limits(self, limits: http1.CallerLimits) -> None:
        self._servers[0].limits = limits

    def _log_when_ready(self) -> None:
        """Log one event once callers can be served."""
        if self._vm.ready():
            self._log.emit(
                base.Event.READY,
                node=self._boot.node_id,
                relays=self._vm.request_dispatcher.is_relaying,
                version=self._vm.version,
            )
        elif not self._vm.stopping:
            self._clock.call_later(_READY_CHECK_PAUSE_S, self._log_when_ready)

    def _ready_page(self, request: http1.HttpRequest) -> http1.HttpResponse:
        return http1.HttpResponse(status=200 if self._vm.ready() else 503)

    def _metrics_page(self, request: http1.HttpRequest) -> http1.HttpResponse:
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
        reactor.callFromThread(self._graceful_stop.begin)

    def _on_hangup_signal(self, number: int, frame: Any) -> None:
        reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        """Read the settings again; addresses change at the next start only."""
        read = platform.read_boot(os.environ.get(platform.BOOT_VARIABLE, ""))
        if read.is_error():
            self._log.emit(base.Event.CONFIG_REJECTED, problem=read.error)
            return
        self._log.emit(base.Event.SETTINGS_READ, node=read.ok.node_id)

    def _exit(self) -> None:
        if not reactor.running:
            return
        self._log.emit(base.Event.STOPPED, node=self._boot.node_id)
        self._log.flush()
        reactor.stop()


def _exit_invalid(findings: Iterable[object]) -> NoReturn:
    """Print what is wrong with the settings and end the process."""
    for finding in findings:
        print(f"{base.ResultCode.SETTINGS_INVALID} {finding}", file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def _read_policy() -> forward.ForwardPolicy:
    """Return the policy of the file that the environment names, if any."""
    path = os.environ.get(_POLICY_VARIABLE, "")
    if not path:
        return forward.ForwardPolicy()
    # Imported only if needed, since imports take most of the startup time.
    from trefoilpier.tier import policy_file

    read = policy_file.read_policy(path)
    if read.is_error():
        _exit_invalid(read.error)
    return read.ok


def run() -> None:
    """Read the settings, run the daemon and exit with a status."""
    read = platform.read_boot(os.environ.get(platform.BOOT_VARIABLE, ""))
    if read.is_error():
        _exit_invalid(read.error)
    daemon = TierDaemon(boot=read.ok, policy=_read_policy())
    try:
        daemon.start()
    except error.CannotListenError as failure:
        print(f"trefoilpier: {failure}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    # Imported objects live as long as the process, so exclude them from
    # garbage collection. They are not collected before, which would take a
    # tenth of the startup time and free little.
    gc.freeze()
    gc.enable()
    reactor.run()
    sys.exit(EXIT_OK)
