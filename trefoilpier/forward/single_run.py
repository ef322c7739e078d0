"""A request that one leaf answers whole."""

from typing import TYPE_CHECKING

from trefoilpier import base, http1
from trefoilpier.forward import admission, responses, service_call

if TYPE_CHECKING:
    from trefoilpier.forward import engine as engines

_END_MARGIN_S = 0.005  # The answer must reach the caller before its deadline.


class SingleRun:
    """Runs one request at one service."""

    __slots__ = ("_call", "_done", "_engine", "_exchange", "_spec", "_timer")

    def __init__(
        self,
        *,
        engine: "engines.ForwardEngine",
        exchange: http1.Exchange,
        spec: service_call.CallSpec,
        service: str,
    ) -> None:
        self._engine = engine
        self._exchange = exchange
        self._spec = spec
        self._done = False
        self._timer: base.Timer | None = None
        self._call = service_call.ServiceCall(
            engine=engine, spec=spec, service=service, on_done=self._answered
        )

    def start(self) -> None:
        """Begins."""
        left = self._spec.deadline - self._engine.clock.monotonic()
        self._timer = self._engine.clock.call_later(
            left - _END_MARGIN_S, self._timed_out
        )
        self._exchange.on_gone = self._caller_left
        self._call.start()

    def _answered(
        self,
        call: service_call.ServiceCall,
        result: service_call.ServiceResult,
    ) -> None:
        if result.answer is not None:
            code = (
                base.ResultCode.COMPLETE
                if result.good
                else base.ResultCode.LEAF_FAILED
            )
            response = self._engine.wire.relay(result.answer)
            self._end(code, response, result.reason, result.leaf_id)
            return
        self._fail(result.ran, result.reason)

    def _fail(self, ran: base.Ran, reason: str) -> None:
        if ran is base.Ran.NO:
            left = self._spec.deadline - self._engine.clock.monotonic()
            response = responses.refused(admission.retry_after(left))
            self._end(base.ResultCode.NO_LEAF, response, reason)
            return
        self._end(
            base.ResultCode.OUTCOME_UNKNOWN,
            http1.HttpResponse(status=502),
            reason,
        )

    def _timed_out(self) -> None:
        ran = self._call.may_have_run()
        self._call.abandon()
        if ran is base.Ran.NO:
            self._fail(ran, "no leaf had room in time")
            return
        self._end(
            base.ResultCode.DEADLINE_PASSED,
            http1.HttpResponse(status=504),
            "no answer in time",
        )

    def _end(
        self,
        code: base.ResultCode,
        response: http1.HttpResponse,
        reason: str,
        leaf_id: str = "",
    ) -> None:
        if self._done:
            return
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        fields = {
            "service": self._call.service,
            "leaf": leaf_id,
            "asked": self._call.asked,
            "sends": self._call.sends,
            "reason": reason,
        }
        self._engine.finish(self._exchange, self._spec, code, response, fields)

    def _caller_left(self) -> None:
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        self._call.abandon()
        self._engine.caller_left(self._spec, self._exchange.received_at)
