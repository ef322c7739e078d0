"""The shards of a gather that asks one of them before the others."""

from collections.abc import Iterable

from trefoilpier import base, quarantine
from trefoilpier.forward import (
    environment,
    request_context,
    service_call,
    service_result,
)

# Shards that an unknown request asks, one after the other, while none of them
# has answered: leaves pause.
_CANARIES_MAX = 3


class WithheldCalls:
    """Calls of a gather that are started once one shard has answered.

    A request that crashes leaves ends one leaf, of the shard that can best
    spare it, and not one of each shard. A request that is merely unknown asks a
    further shard when the answer is late.
    """

    __slots__ = ("_calls", "_context", "_env", "_timer")

    def __init__(
        self,
        *,
        env: environment.ForwardEnvironment,
        context: request_context.RequestContext,
        calls: Iterable[service_call.ServiceCall],
    ) -> None:
        """Create it; `start` starts the first call.

        Args:
            env: State and services of the VM.
            context: The request.
            calls: The calls of all of its shards.
        """
        self._env = env
        self._context = context
        self._timer: base.Timer | None = None
        call_by_service = {call.service: call for call in calls}
        assert env.gate is not None
        suspected = env.suspected_services(context)
        order = env.gate.order_shards(
            _shard_state(env, service, suspected=service in suspected)
            for service in call_by_service
        )
        self._calls = [call_by_service[service] for service in order]

    def start(self) -> None:
        """Start the first call."""
        self._start_next(started=1)

    def _start_further(self, started: int) -> None:
        """Start one more call, unless a leaf was lost under the request."""
        if not self._context.lost_count:
            self._start_next(started)

    def _start_next(self, started: int) -> None:
        call = self._calls.pop(0)
        if self._context.canary and started < _CANARIES_MAX and self._calls:
            self._timer = self._env.clock.call_later(
                self._env.latency_for(self._context.route).hedge_after_s,
                self._start_further,
                started + 1,
            )
        call.start()

    def cancel(self) -> None:
        """Start no further call."""
        if self._timer is not None:
            self._timer.cancel()
        self._calls = []

    def handle_result(self, result: service_result.ServiceResult) -> int:
        """Start the other calls, or drop them if a leaf was lost.

        Returns:
            Number of calls that were dropped.
        """
        if not self._calls:
            return 0
        if result.ran is base.Ran.NO:
            # It shows nothing about the request.
            self._calls.pop(0).start()
            return 0
        calls = self._calls
        self.cancel()
        context = self._context
        if context.lost_count and not context.answered_count:
            return len(calls)
        if context.canary:
            context.suspect = False
        for call in calls:
            call.start()
        return 0


def _shard_state(
    env: environment.ForwardEnvironment, service: str, *, suspected: bool
) -> quarantine.ShardState:
    now = env.clock.monotonic()
    return quarantine.ShardState(
        service=service,
        living=sum(
            pool.connected
            and not pool.stats.is_ejected(now)
            and not pool.is_out_of_contact(now)
            for pool in env.registry.pools_by_service.get(service, ())
        ),
        suspected=suspected,
    )
