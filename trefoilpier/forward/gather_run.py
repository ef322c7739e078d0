"""A request whose answer is put together from one leaf of each shard."""

from typing import TYPE_CHECKING

from trefoilpier import base, http1
from trefoilpier.forward import (
    admission,
    merge,
    responses,
    service_call,
    straggler,
)

if TYPE_CHECKING:
    from trefoilpier.forward import engine as engines

_MISSING_LOGGED_MAX = 6  # Bounds one line of the log.
_END_MARGIN_S = 0.005  # The answer must reach the caller before its deadline.


class GatherRun:
    """Asks every shard of the pinned route and merges their parts."""

    __slots__ = (
        "_call_by_service",
        "_done",
        "_engine",
        "_exchange",
        "_gather",
        "_open",
        "_part_by_seal",
        "_past_cut",
        "_present",
        "_ran",
        "_reason",
        "_spec",
        "_starting",
        "_timers",
    )

    def __init__(
        self,
        *,
        engine: "engines.ForwardEngine",
        exchange: http1.Exchange,
        spec: service_call.CallSpec,
    ) -> None:
        assert spec.route.gather is not None
        self._engine = engine
        self._exchange = exchange
        self._spec = spec
        self._gather = spec.route.gather
        self._part_by_seal: dict[bytes, bytes] = {}
        self._present: set[str] = set()
        self._open = len(self._gather.services)
        self._past_cut = False
        self._done = False
        self._starting = True
        self._ran = base.Ran.NO
        self._reason = ""
        self._timers: list[base.Timer] = []
        self._call_by_service: dict[str, service_call.ServiceCall] = {}

    def start(self) -> None:
        """Asks all shards."""
        clock = self._engine.clock
        now = clock.monotonic()
        spec = self._spec
        end = spec.deadline - _END_MARGIN_S
        self._timers = [
            clock.call_later(min(spec.due, end) - now, self._cut),
            clock.call_later(end - now, self._timed_out),
        ]
        self._exchange.on_gone = self._caller_left
        for service in self._gather.services:
            call = service_call.ServiceCall(
                engine=self._engine,
                spec=spec,
                service=service,
                on_done=self._part_ended,
            )
            self._call_by_service[service] = call
        for call in self._call_by_service.values():
            call.start()
        self._starting = False
        self._advance(past_end=False)

    def _part_ended(
        self,
        call: service_call.ServiceCall,
        result: service_call.ServiceResult,
    ) -> None:
        self._open -= 1
        if result.ran is not base.Ran.NO:
            self._ran = base.Ran.YES
        answer = result.answer
        if answer is not None and result.good and answer.seal is not None:
            # A signature that comes twice cannot belong to both shards.
            if answer.seal not in self._part_by_seal:
                self._part_by_seal[answer.seal] = answer.response.body
                self._present.add(call.service)
        elif result.reason:
            self._reason = f"{call.service}: {result.reason}"
        if not self._starting:
            self._advance(past_end=False)

    def _cut(self) -> None:
        self._past_cut = True
        self._advance(past_end=False)

    def _timed_out(self) -> None:
        self._advance(past_end=True)

    def _advance(self, *, past_end: bool) -> None:
        """Takes the next step, once."""
        if self._done:
            return
        step = straggler.next_step(
            straggler.GatherView(
                shards=len(self._gather.services),
                present=len(self._part_by_seal),
                open=self._open,
                coverage_least=self._gather.coverage_least,
                past_cut=self._past_cut or past_end,
                past_end=past_end,
            )
        )
        if step is straggler.GatherStep.ANSWER:
            self._answer()
        elif step is straggler.GatherStep.FAIL:
            self._fail(past_end)

    def _answer(self) -> None:
        parts = self._part_by_seal
        missing = len(self._gather.services) - len(parts)
        response = self._engine.wire.gathered(
            seals=list(parts),
            missing=missing,
            body=merge.merge_records(parts.values(), self._gather.records_max),
        )
        code = base.ResultCode.PARTIAL if missing else base.ResultCode.COMPLETE
        self._end(code, response)

    def _fail(self, past_end: bool) -> None:
        sent = any(
            call.may_have_run() is not base.Ran.NO
            for call in self._call_by_service.values()
        )
        if not sent and self._ran is base.Ran.NO:
            left = self._spec.deadline - self._engine.clock.monotonic()
            response = responses.refused(admission.retry_after(left))
            self._end(base.ResultCode.NO_LEAF, response)
            return
        if past_end:
            response = http1.HttpResponse(status=504)
            self._end(base.ResultCode.DEADLINE_PASSED, response)
            return
        response = http1.HttpResponse(status=502)
        self._end(base.ResultCode.BELOW_MINIMUM_COVERAGE, response)

    def _stop(self) -> None:
        self._done = True
        for timer in self._timers:
            timer.cancel()
        for call in self._call_by_service.values():
            call.abandon()

    def _end(self, code: base.ResultCode, response: http1.HttpResponse) -> None:
        self._stop()
        sends = sum(call.sends for call in self._call_by_service.values())
        fields = {
            "shards": len(self._gather.services),
            "present": len(self._part_by_seal),
            "sends": sends,
            "missing": self._missing_leafs(),
            "reason": self._reason,
        }
        self._engine.finish(self._exchange, self._spec, code, response, fields)

    def _missing_leafs(self) -> dict[str, list[str]]:
        """Returns the leafs asked for missing parts, for the log."""
        missing = [
            call
            for call in self._call_by_service.values()
            if call.service not in self._present
        ]
        return {
            call.service: call.asked for call in missing[:_MISSING_LOGGED_MAX]
        }

    def _caller_left(self) -> None:
        self._stop()
        self._engine.caller_left(self._spec, self._exchange.received_at)
