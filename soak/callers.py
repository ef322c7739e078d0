"""Load generator behind a simulated load balancer."""

import random
from dataclasses import dataclass

from twisted.internet import reactor

from standins import kept_caller, published_protocol, tier_world
from trefoilpier import base, http1

_TIMEOUT_MS = 1500
_PROBE_PERIOD_S = 0.5
_NEW_CONNECTION_SHARE = 0.7  # Of the requests to a VM out of rotation.
_FAILED_PROBES_MAX = 2  # Consecutive failures that remove a VM from rotation.
_KEPT_SHARE = 0.2  # Of the requests that are sent over kept connections, too.
_KEPT_REQUESTS_MAX = 3  # Sent at once on one of them.
REQUEST_KINDS = (("g", b"GET"), ("r", b"GET"), ("w", b"POST"))


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """One request and its outcome.

    Attributes:
        status: HTTP status; -1 while the request is in flight, 0 if the
            connection ended without a response.
        crashing: Whether it crashes the leaves that run it.
    """

    id: str
    kind: str
    vm: str
    sent_at: float
    ended_at: float = 0.0
    status: int = -1
    crashing: bool = False
    headers: http1.Headers
    body: bytes = b""


class Callers:
    """Callers that send at a constant rate over persistent connections.

    Attributes:
        requests: All requests sent so far.
        stopped: Whether sending has stopped.
        loyal_vm: VM that gets as many requests again, ready or not, over
            connections that stay open and over new ones; none if empty.
    """

    __slots__ = (
        "_client_by_vm",
        "_clock",
        "_failed_probes_by_vm",
        "_kept_caller_by_vm",
        "_kept_rng",
        "_period_s",
        "_probe_client_by_vm",
        "_rng",
        "_environment",
        "loyal_vm",
        "requests",
        "stopped",
    )

    def __init__(
        self,
        *,
        rng: random.Random,
        kept_rng: random.Random,
        environment: tier_world.TierEnvironment,
        rate: float,
    ) -> None:
        self._rng = rng
        self._kept_rng = kept_rng
        self._environment = environment
        self._period_s = 1 / rate
        self._clock = base.ReactorClock(reactor=reactor)
        self._client_by_vm = {
            vm.name: self._make_client(vm, vm.ports.caller_port)
            for vm in environment.vms
        }
        self._probe_client_by_vm = {
            vm.name: self._make_client(vm, vm.ports.readiness_port)
            for vm in environment.vms
        }
        self._kept_caller_by_vm = {
            vm.name: kept_caller.KeptCaller(
                reactor=reactor,
                clock=self._clock,
                rng=kept_rng,
                host=vm.ports.host,
                port=vm.ports.caller_port,
                headers=_make_headers,
            )
            for vm in environment.vms
        }
        self._failed_probes_by_vm = {
            vm.name: _FAILED_PROBES_MAX for vm in environment.vms
        }
        self.requests: list[RequestRecord] = []
        self.stopped = False
        self.loyal_vm = ""

    def _make_client(self, vm: tier_world.Vm, port: int) -> http1.HttpClient:
        return http1.HttpClient(
            reactor=reactor, clock=self._clock, host=vm.ports.host, port=port
        )

    def start(self) -> None:
        """Start sending requests and readiness probes."""
        self._probe_readiness()
        self._send()

    @property
    def ready_vms(self) -> list[str]:
        """Names of the VMs in rotation."""
        return [
            name
            for name, failures in self._failed_probes_by_vm.items()
            if failures < _FAILED_PROBES_MAX
        ]

    def _probe_readiness(self) -> None:
        for name, client in self._probe_client_by_vm.items():
            client.send_request(
                b"GET", b"/ready", timeout_s=_PROBE_PERIOD_S
            ).addCallback(self._on_probe_result, name)
        reactor.callLater(_PROBE_PERIOD_S, self._probe_readiness)

    def _on_probe_result(self, outcome: object, name: str) -> None:
        is_ready = (
            isinstance(outcome, http1.ResponseReceived)
            and outcome.response.status == 200
        )
        self._failed_probes_by_vm[name] = (
            0 if is_ready else self._failed_probes_by_vm[name] + 1
        )

    def _send(self) -> None:
        if self.stopped:
            return
        reactor.callLater(self._period_s, self._send)
        kind, method = self._rng.choice(REQUEST_KINDS)
        self.send(kind, method)
        if self.loyal_vm:
            kind, method = self._rng.choice(REQUEST_KINDS)
            self.send(kind, method, vm=self.loyal_vm)
        if self._kept_rng.random() < _KEPT_SHARE and self.ready_vms:
            self._send_kept(self._kept_rng.choice(self.ready_vms))

    def _send_kept(self, name: str) -> None:
        """Send some requests at once over the kept connection to a VM."""
        sent = []
        for _ in range(self._kept_rng.randint(1, _KEPT_REQUESTS_MAX)):
            kind, method = self._kept_rng.choice(REQUEST_KINDS)
            request = self._add_record(kind, name)
            sent.append(
                kept_caller.KeptRequest(
                    id=request.id.encode(),
                    method=method,
                    target=f"/{kind}/{len(self.requests)}".encode(),
                    on_end=lambda response, request=request: self._end(
                        request, response
                    ),
                )
            )
        self._kept_caller_by_vm[name].send(*sent)

    @property
    def kept_violations(self) -> list[str]:
        """What VMs sent over kept connections that answers no request."""
        return [
            f"{name}: {line}"
            for name, caller in self._kept_caller_by_vm.items()
            for line in caller.violations
        ]

    def _add_record(
        self, kind: str, vm: str, *, crashing: bool = False
    ) -> RequestRecord:
        request = RequestRecord(
            id=f"{kind}{len(self.requests)}",
            kind=kind,
            vm=vm,
            sent_at=self._clock.monotonic(),
            crashing=crashing,
            headers=[],
        )
        self.requests.append(request)
        return request

    def send(
        self, kind: str, method: bytes, target: str = "", vm: str = ""
    ) -> None:
        """Send one request to a VM in rotation, if there is one.

        Args:
            kind: Kind of the request.
            method: Its method.
            target: Its target if it crashes leaves; otherwise a new one.
            vm: A VM that gets it, in rotation or not; empty for any.
        """
        ready = self.ready_vms
        if not ready and not vm:
            return
        name = vm or self._rng.choice(ready)
        request = self._add_record(kind, name, crashing=bool(target))
        client = self._client_by_vm[name]
        if vm and self._rng.random() < _NEW_CONNECTION_SHARE:
            port = self._environment.vm_by_name[name].ports.caller_port
            client = self._make_client(self._environment.vm_by_name[name], port)
        client.send_request(
            method,
            (target or f"/{kind}/{len(self.requests)}").encode(),
            timeout_s=_TIMEOUT_MS / 1000 + 1.0,
            headers=_make_headers(request.id.encode()),
            body=b"x" if method == b"POST" else b"",
        ).addCallback(self._on_outcome, request, client)

    def _on_outcome(
        self, outcome: object, request: RequestRecord, client: http1.HttpClient
    ) -> None:
        if client is not self._client_by_vm[request.vm]:
            client.close()
        response = None
        if isinstance(outcome, http1.ResponseReceived):
            response = outcome.response
        self._end(request, response)

    def _end(
        self, request: RequestRecord, response: http1.HttpResponse | None
    ) -> None:
        """Record the end of a request; without a response, it was lost."""
        request.ended_at = self._clock.monotonic()
        if response is None:
            request.status = 0
            return
        request.status = response.status
        request.headers = response.headers
        request.body = response.body


def _make_headers(request_id: bytes) -> http1.Headers:
    return [
        (b"host", b"soak.example"),
        *published_protocol.request_headers(request_id.decode(), _TIMEOUT_MS),
    ]
