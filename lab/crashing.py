"""Requests that crash leaves, sent again and again, and what must hold."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from standins import leaf_rules, memory_fleet
from trefoilpier import base

_GAP_RANGE_S = (0.3, 2.5)  # Between two repeats of such a request.
_KINDS = ((b"/r", b"GET"), (b"/w", b"POST"), (b"/g", b"GET"))


@dataclass(slots=True, kw_only=True, frozen=True)
class _CrashingRequest:
    """A request that crashes leaves.

    Attributes:
        target: Its target.
        method: Its method.
    """

    target: bytes
    method: bytes


class CrashingRequests:
    """Callers that repeat requests which crash leaves, at any VM."""

    __slots__ = ("_fleet", "_requests", "_rng")

    def __init__(
        self, *, fleet: memory_fleet.MemoryFleet, rng: random.Random
    ) -> None:
        """Create it without such requests.

        Args:
            fleet: The fleet that gets them.
            rng: Source of random numbers.
        """
        self._fleet = fleet
        self._rng = rng
        self._requests: list[_CrashingRequest] = []

    def add(self) -> str:
        """Send one more such request until the run ends; return its target."""
        prefix, method = self._rng.choice(_KINDS)
        name = b"%d" % len(self._requests)
        target = memory_fleet.crashing_target(prefix, name)
        request = _CrashingRequest(target=target, method=method)
        self._requests.append(request)
        self._send(request)
        return target.decode()

    def _send(self, request: _CrashingRequest) -> None:
        vm = self._rng.choice(self._fleet.vms)
        self._fleet.send_request(request.target, request.method, vm)
        self._fleet.clock.call_later(
            self._rng.uniform(*_GAP_RANGE_S), self._send, request
        )

    def is_crashing(self, answer: memory_fleet.FleetAnswer) -> bool:
        """Return whether an answer belongs to such a request."""
        return any(answer.target == each.target for each in self._requests)

    def violations(
        self, is_in_touch: Callable[[str, float], bool]
    ) -> Iterator[str]:
        """Return which of them were sent on.

        Args:
            is_in_touch: Returns whether a VM is judged at a time.
        """
        for request in self._requests:
            yield from leaf_rules.crash_violations(
                request.target,
                self._fleet.crash_record(request.target, is_in_touch),
            )


def check_only_crashing_are_barred(
    rows: list[tuple[base.Event, dict]],
) -> Iterator[str]:
    """Return which other requests were barred."""
    for event, fields in rows:
        if event is not base.Event.QUARANTINE_BARRED:
            continue
        if memory_fleet.CRASH_PREFIX.decode() not in fields["request"]:
            yield f"{fields['vm']} bars {fields['request']}"
