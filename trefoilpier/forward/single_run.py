"""Requests to a route without shards."""

from trefoilpier import base, http1
from trefoilpier.forward import (
    admission,
    environment,
    hedge_timer,
    request_context,
    responses,
    service_call,
    service_result,
)
from trefoilpier.forward import wire as wires

# The response must reach the caller before its deadline.
_RESPONSE_MARGIN_S = 0.005


class SingleRun:
    """A request that one leaf of one service answers."""

    __slots__ = (
        "_call",
        "_context",
        "_done",
        "_env",
        "_exchange",
        "_hedge_timer",
        "_timer",
    )

    def __init__(
        self,
        *,
        env: environment.ForwardEnvironment,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        service: str,
    ) -> None:
        self._env = env
        self._exchange = exchange
        self._context = context
        self._done = False
        self._timer: base.Timer | None = None
        self._hedge_timer = hedge_timer.HedgeTimer(clock=env.clock)
        self._call = service_call.ServiceCall(
            env=env,
            context=context,
            service=service,
            timer=self._hedge_timer,
            on_done=self._handle_result,
        )

    def start(self) -> None:
        """Send the request."""
        time_left_s = self._context.deadline - self._env.clock.monotonic()
        self._timer = self._env.clock.call_later(
            time_left_s - _RESPONSE_MARGIN_S, self._handle_deadline
        )
        self._exchange.on_disconnect = self._handle_caller_disconnect
        self._exchange.on_expire = self._handle_expiry
        self._call.start()

    def _handle_result(
        self,
        call: service_call.ServiceCall,
        result: service_result.ServiceResult,
    ) -> None:
        if result.answer is not None and self._is_untrue(result.answer):
            self._fail(result.ran, "leaf ran it, and its status denies that")
            return
        if result.answer is not None:
            code = (
                base.ResultCode.COMPLETE
                if result.successful
                else base.ResultCode.LEAF_FAILED
            )
            response = self._env.wire.relay(result.answer)
            self._finish(code, response, result.reason, result.leaf_id)
            return
        self._fail(result.ran, result.reason)

    def _is_untrue(self, answer: wires.LeafAnswer) -> bool:
        """Return whether the caller may run again what must run once."""
        repeatable = self._context.route.repeatable
        return answer.promises_not_run and not repeatable

    def _fail(self, ran: base.Ran, reason: str) -> None:
        if ran is base.Ran.NO:
            time_left_s = self._context.deadline - self._env.clock.monotonic()
            response = responses.make_refusal(
                admission.retry_after(time_left_s)
            )
            self._finish(base.ResultCode.NO_LEAF, response, reason)
            return
        self._finish(
            base.ResultCode.OUTCOME_UNKNOWN,
            http1.HttpResponse(status=502),
            reason,
        )

    def _handle_deadline(self) -> None:
        ran = self._call.run_state()
        self._call.cancel_calls()
        if ran is base.Ran.NO:
            self._fail(ran, "no leaf had free capacity before the deadline")
            return
        self._finish(
            base.ResultCode.DEADLINE_PASSED,
            http1.HttpResponse(status=504),
            "no response before the deadline",
        )

    def _handle_expiry(self) -> None:
        """Respond since the VM ends."""
        ran = self._call.run_state()
        self._call.cancel_calls()
        self._fail(ran, "the VM stops")

    def _finish(
        self,
        code: base.ResultCode,
        response: http1.HttpResponse,
        reason: str,
        leaf_id: str = "",
    ) -> None:
        if self._done:
            return
        self._stop_timers()
        fields = {
            "service": self._call.service,
            "leaf": leaf_id,
            "asked": self._call.tried_leaf_ids,
            "sends": self._call.sends,
            "reason": reason,
        }
        self._env.finish(self._exchange, self._context, code, response, fields)

    def _stop_timers(self) -> None:
        self._done = True
        self._hedge_timer.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def _handle_caller_disconnect(self) -> None:
        self._stop_timers()
        self._call.cancel_calls()
        self._env.handle_caller_disconnect(
            self._context, self._exchange.received_at
        )
