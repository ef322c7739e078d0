"""Requests that crash leaves, repeated until the run ends, and their checks."""

import random
from collections.abc import Callable, Iterable, Iterator

import orjson
from twisted.internet import reactor

from soak import callers
from standins import leaf_rules, tier_world
from trefoilpier import base

_GAP_RANGE_S = (0.4, 2.5)  # Between two repeats of a request.


class CrashingCallers:
    """Callers that repeat requests which crash leaves, at any VM."""

    __slots__ = ("_callers", "_rng", "_targets")

    def __init__(self, *, load: callers.Callers, rng: random.Random) -> None:
        """Create it without such requests.

        Args:
            load: Callers whose connections it uses.
            rng: Source of random numbers.
        """
        self._callers = load
        self._rng = rng
        self._targets: list[str] = []

    def add(self) -> str:
        """Repeat one more request until the run ends; return its target."""
        kind, method = self._rng.choice(callers.REQUEST_KINDS)
        target = f"/{kind}{tier_world.CRASH_PREFIX}{len(self._targets)}"
        self._targets.append(target)
        self._send(kind, method, target)
        return target

    def _send(self, kind: str, method: bytes, target: str) -> None:
        if self._callers.stopped:
            return
        self._callers.send(kind, method, target)
        reactor.callLater(
            self._rng.uniform(*_GAP_RANGE_S), self._send, kind, method, target
        )

    def violations(
        self,
        environment: tier_world.TierEnvironment,
        is_judged: Callable[[float], bool],
    ) -> Iterator[str]:
        """Return which of the requests were sent on.

        Args:
            environment: The leaves that saw them.
            is_judged: Returns whether what was sent at a time counts.
        """
        for target in self._targets:
            record = environment.crash_record(target, is_judged)
            yield from leaf_rules.crash_violations(target.encode(), record)


def check_only_crashing_are_barred(
    vms: Iterable[tier_world.Vm],
) -> Iterator[str]:
    """Return which other requests the VMs' logs say were barred."""
    for vm in vms:
        for line in b"".join(vm.output).splitlines():
            if base.Event.QUARANTINE_BARRED.number.encode() not in line:
                continue
            request = orjson.loads(line)["request"]
            if tier_world.CRASH_PREFIX not in request:
                yield f"{vm.name} bars {request}"
