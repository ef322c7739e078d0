"""Scatter-gather requests over the shards of a route."""

from trefoilpier import base, http1
from trefoilpier.forward import (
    admission,
    environment,
    gather_policy,
    hedge_timer,
    merge,
    one_first,
    request_context,
    responses,
    service_call,
    service_result,
    shard_selection,
)

_MISSING_LOGGED_MAX = 6  # Limits the length of a log line.
# The response must reach the caller before its deadline.
_RESPONSE_MARGIN_S = 0.005


class GatherRun:
    """A request to all shards of a route and the merge of their parts."""

    __slots__ = (
        "_call_by_service",
        "_context",
        "_done",
        "_env",
        "_exchange",
        "_gather",
        "_hedge_timer",
        "_part_by_seal",
        "_past_objective",
        "_pending_count",
        "_present_services",
        "_ran",
        "_reason",
        "_reserve",
        "_starting",
        "_timers",
        "_withheld",
    )

    def __init__(
        self,
        *,
        env: environment.ForwardEnvironment,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        assert context.route.gather is not None
        self._env = env
        self._exchange = exchange
        self._context = context
        self._gather = context.route.gather
        self._part_by_seal: dict[bytes, bytes] = {}
        self._present_services: set[str] = set()
        self._pending_count = len(self._gather.services)
        self._past_objective = False
        self._done = False
        self._starting = True
        self._ran = base.Ran.NO
        self._reason = ""
        self._hedge_timer = hedge_timer.HedgeTimer(clock=env.clock)
        self._timers: list[base.Timer] = []
        self._call_by_service: dict[str, service_call.ServiceCall] = {}
        # Calls to shards that are sent only if the others do not suffice.
        self._reserve: list[service_call.ServiceCall] = []
        self._withheld: one_first.WithheldCalls | None = None

    def start(self) -> None:
        """Send the request to all shards."""
        clock = self._env.clock
        now = clock.monotonic()
        context = self._context
        respond_by = context.deadline - _RESPONSE_MARGIN_S
        self._timers = [
            clock.call_later(
                min(context.objective_deadline, respond_by) - now,
                self._handle_objective_deadline,
            ),
            clock.call_later(respond_by - now, self._handle_deadline),
        ]
        self._exchange.on_disconnect = self._handle_caller_disconnect
        self._exchange.on_expire = self._handle_deadline
        for service in self._gather.services:
            call = service_call.ServiceCall(
                env=self._env,
                context=context,
                service=service,
                timer=self._hedge_timer,
                on_done=self._handle_result,
            )
            self._call_by_service[service] = call
        if context.one_first:
            self._withheld = one_first.WithheldCalls(
                env=self._env,
                context=context,
                calls=self._call_by_service.values(),
            )
            self._withheld.start()
        else:
            self._start_selected(context.objective_deadline - now)
        self._starting = False
        self._advance(past_deadline=False)

    def _start_selected(self, time_to_objective_s: float) -> None:
        """Start the calls to the shards that are selected."""
        calls = list(self._call_by_service.values())
        states = self._context.shard_states
        if len(states) != len(calls):
            for call in calls:
                call.start()
            return
        selection = shard_selection.select_shards(
            states,
            min_coverage=self._gather.min_coverage,
            time_to_objective_s=time_to_objective_s,
        )
        self._reserve = [calls[index] for index in selection.reserve]
        self._pending_count -= len(self._reserve)
        for index in selection.asked:
            calls[index].start()

    def _start_reserve(self) -> None:
        """Ask shards in reserve while the others cannot reach the coverage.

        A part that is lost, or a shard that fails, may make one necessary.
        """
        while self._reserve and not gather_policy.meets_coverage(
            self._state(past_deadline=False),
            len(self._part_by_seal) + self._pending_count,
        ):
            self._pending_count += 1
            self._reserve.pop(0).start()

    def _handle_result(
        self,
        call: service_call.ServiceCall,
        result: service_result.ServiceResult,
    ) -> None:
        self._pending_count -= 1
        if result.ran is not base.Ran.NO:
            self._ran = base.Ran.YES
        answer = result.answer
        if answer is not None and result.successful and answer.seal is not None:
            # The same signature from two shards is counted only once: it cannot
            # belong to both.
            if answer.seal not in self._part_by_seal:
                self._part_by_seal[answer.seal] = answer.response.body
                self._present_services.add(call.service)
        elif result.reason:
            self._reason = f"{call.service}: {result.reason}"
        if self._withheld is not None and not self._done:
            self._pending_count -= self._withheld.handle_result(result)
        if self._starting or self._awaits_parts(call, result):
            return
        self._advance(past_deadline=False)

    def _awaits_parts(
        self,
        call: service_call.ServiceCall,
        result: service_result.ServiceResult,
    ) -> bool:
        """Return whether a part was added and others are still awaited.

        Such a part changes nothing before the latency objective.
        """
        return (
            call.service in self._present_services
            and result.successful
            and self._pending_count > 0
            and not self._past_objective
        )

    def _handle_objective_deadline(self) -> None:
        self._past_objective = self._env.policy.answer_at_objective
        self._advance(past_deadline=False)

    def _handle_deadline(self) -> None:
        self._advance(past_deadline=True)

    def _advance(self, *, past_deadline: bool) -> None:
        """Send the response if the gather is complete or out of time."""
        if self._done:
            return
        if self._reserve and not past_deadline:
            self._starting = True
            self._start_reserve()
            self._starting = False
        step = gather_policy.next_step(self._state(past_deadline=past_deadline))
        if step is gather_policy.GatherStep.ANSWER:
            self._answer()
        elif step is gather_policy.GatherStep.FAIL:
            self._fail(past_deadline)

    def _state(self, *, past_deadline: bool) -> gather_policy.GatherState:
        return gather_policy.GatherState(
            shard_count=len(self._gather.services),
            present_count=len(self._part_by_seal),
            pending_count=self._pending_count,
            min_coverage=self._gather.min_coverage,
            past_objective=self._past_objective or past_deadline,
            past_deadline=past_deadline,
        )

    def _answer(self) -> None:
        parts = self._part_by_seal
        missing = len(self._gather.services) - len(parts)
        response = self._env.wire.merged_response(
            seals=list(parts),
            missing=missing,
            body=merge.merge_records(parts.values(), self._gather.records_max),
        )
        code = base.ResultCode.PARTIAL if missing else base.ResultCode.COMPLETE
        self._env.record_gathered(self._context)
        self._finish(code, response)

    def _fail(self, past_deadline: bool) -> None:
        may_have_run = any(
            call.run_state() is not base.Ran.NO
            for call in self._call_by_service.values()
        )
        if not may_have_run and self._ran is base.Ran.NO:
            time_left_s = self._context.deadline - self._env.clock.monotonic()
            response = responses.make_refusal(
                admission.retry_after(time_left_s)
            )
            self._finish(base.ResultCode.NO_LEAF, response)
            return
        if past_deadline:
            response = http1.HttpResponse(status=504)
            self._finish(base.ResultCode.DEADLINE_PASSED, response)
            return
        response = http1.HttpResponse(status=502)
        self._finish(base.ResultCode.BELOW_MINIMUM_COVERAGE, response)

    def _stop(self) -> None:
        self._done = True
        self._hedge_timer.cancel()
        if self._withheld is not None:
            self._withheld.cancel()
        for timer in self._timers:
            timer.cancel()
        for call in self._call_by_service.values():
            call.cancel_calls()

    def _finish(
        self, code: base.ResultCode, response: http1.HttpResponse
    ) -> None:
        self._stop()
        sends = sum(call.sends for call in self._call_by_service.values())
        fields = {
            "shards": len(self._gather.services),
            "present": len(self._part_by_seal),
            "sends": sends,
            "left_out": len(self._reserve),
            **self._describe_missing_shards(),
            "reason": self._reason,
        }
        self._env.finish(self._exchange, self._context, code, response, fields)

    def _describe_missing_shards(self) -> dict[str, dict]:
        """Return the leaves and hedges of missing shards, for the log."""
        missing = [
            call
            for call in self._call_by_service.values()
            if call.service not in self._present_services
        ][:_MISSING_LOGGED_MAX]
        return {
            "missing": {call.service: call.tried_leaf_ids for call in missing},
            "hedges": {
                call.service: str(call.hedge_outcome) for call in missing
            },
        }

    def _handle_caller_disconnect(self) -> None:
        self._stop()
        self._env.handle_caller_disconnect(
            self._context, self._exchange.received_at
        )
