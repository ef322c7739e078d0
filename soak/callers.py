"""Callers behind a balancer, and what they saw."""

import random
from dataclasses import dataclass

from twisted.internet import reactor

from standins import published, tier_world
from trefoilpier import base, http1

_WAIT_MS = 1500
_READY_S = 0.5
_MISSES = 2  # Misses in a row that take a VM out.
_KINDS = (("g", b"GET"), ("r", b"GET"), ("w", b"POST"))


@dataclass(slots=True, kw_only=True)
class Seen:
    """One request and its end.

    Attributes:
        status: 0 if the connection ended without a response, -1 before.
    """

    id: str
    kind: str
    vm: str
    sent_at: float
    ended_at: float = 0.0
    status: int = -1
    headers: http1.Headers
    body: bytes = b""


class Callers:
    """Sends requests at a steady rate, over connections that stay open.

    Attributes:
        seen: All requests so far.
        stopped: Whether no more are sent.
    """

    __slots__ = (
        "_asker_by_vm",
        "_clock",
        "_misses_by_vm",
        "_period_s",
        "_ready_by_vm",
        "_rng",
        "_world",
        "seen",
        "stopped",
    )

    def __init__(
        self, *, rng: random.Random, soak_world: tier_world.World, rate: float
    ) -> None:
        self._rng = rng
        self._world = soak_world
        self._period_s = 1 / rate
        self._clock = base.ReactorClock(reactor=reactor)
        self._asker_by_vm = {
            vm.name: self._asker(vm, vm.ports.callers) for vm in soak_world.vms
        }
        self._ready_by_vm = {
            vm.name: self._asker(vm, vm.ports.readiness)
            for vm in soak_world.vms
        }
        self._misses_by_vm = {vm.name: _MISSES for vm in soak_world.vms}
        self.seen: list[Seen] = []
        self.stopped = False

    def _asker(self, vm: tier_world.Vm, port: int) -> http1.Asker:
        return http1.Asker(
            reactor=reactor, clock=self._clock, host=vm.ports.host, port=port
        )

    def start(self) -> None:
        """Starts to send."""
        self._check_ready()
        self._send()

    @property
    def ready_vms(self) -> list[str]:
        """VMs in rotation."""
        return [
            name
            for name, misses in self._misses_by_vm.items()
            if misses < _MISSES
        ]

    def _check_ready(self) -> None:
        for name, asker in self._ready_by_vm.items():
            asker.ask(b"GET", b"/ready", timeout_s=_READY_S).addCallback(
                self._took_ready, name
            )
        reactor.callLater(_READY_S, self._check_ready)

    def _took_ready(self, outcome: object, name: str) -> None:
        good = (
            isinstance(outcome, http1.Exchanged)
            and outcome.response.status == 200
        )
        self._misses_by_vm[name] = 0 if good else self._misses_by_vm[name] + 1

    def _send(self) -> None:
        if self.stopped:
            return
        reactor.callLater(self._period_s, self._send)
        ready = self.ready_vms
        if not ready:
            return
        name = self._rng.choice(ready)
        kind, method = self._rng.choice(_KINDS)
        seen = Seen(
            id=f"{kind}{len(self.seen)}",
            kind=kind,
            vm=name,
            sent_at=self._clock.monotonic(),
            headers=[],
        )
        self.seen.append(seen)
        self._asker_by_vm[name].ask(
            method,
            f"/{kind}/{len(self.seen)}".encode(),
            timeout_s=_WAIT_MS / 1000 + 1.0,
            headers=[
                (b"host", b"soak.example"),
                *published.ask_headers(seen.id, _WAIT_MS),
            ],
            body=b"x" if method == b"POST" else b"",
        ).addCallback(self._ended, seen)

    def _ended(self, outcome: object, seen: Seen) -> None:
        seen.ended_at = self._clock.monotonic()
        if not isinstance(outcome, http1.Exchanged):
            seen.status = 0
            return
        seen.status = outcome.response.status
        seen.headers = outcome.response.headers
        seen.body = outcome.response.body
