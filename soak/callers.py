"""Load generator behind a simulated load balancer."""

import random
from dataclasses import dataclass

from twisted.internet import reactor

from standins import published_protocol, tier_world
from trefoilpier import base, http1

_TIMEOUT_MS = 1500
_PROBE_PERIOD_S = 0.5
_NEW_CONNECTION_SHARE = 0.7  # Of the requests to a VM out of rotation.
_FAILED_PROBES_MAX = 2  # Consecutive failures that remove a VM from rotation.
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
        environment: tier_world.TierEnvironment,
        rate: float,
    ) -> None:
        self._rng = rng
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
        request = RequestRecord(
            id=f"{kind}{len(self.requests)}",
            kind=kind,
            vm=name,
            sent_at=self._clock.monotonic(),
            crashing=bool(target),
            headers=[],
        )
        self.requests.append(request)
        client = self._client_by_vm[name]
        if vm and self._rng.random() < _NEW_CONNECTION_SHARE:
            port = self._environment.vm_by_name[name].ports.caller_port
            client = self._make_client(self._environment.vm_by_name[name], port)
        client.send_request(
            method,
            (target or f"/{kind}/{len(self.requests)}").encode(),
            timeout_s=_TIMEOUT_MS / 1000 + 1.0,
            headers=[
                (b"host", b"soak.example"),
                *published_protocol.request_headers(request.id, _TIMEOUT_MS),
            ],
            body=b"x" if method == b"POST" else b"",
        ).addCallback(self._on_outcome, request, client)

    def _on_outcome(
        self, outcome: object, request: RequestRecord, client: http1.HttpClient
    ) -> None:
        if client is not self._client_by_vm[request.vm]:
            client.close()
        request.ended_at = self._clock.monotonic()
        if not isinstance(outcome, http1.ResponseReceived):
            request.status = 0
            return
        request.status = outcome.response.status
        request.headers = outcome.response.headers
        request.body = outcome.response.body
