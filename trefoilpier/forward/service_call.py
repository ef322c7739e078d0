"""One request to one service, until a leaf has answered it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpier import base, http1, replicas, routes
from trefoilpier.forward import lane
from trefoilpier.forward import wire as wires

if TYPE_CHECKING:
    from trefoilpier.forward import engine as engines

_CONNECT_TRIES_MAX = 3  # Leafs that cannot be reached, for one request.
_LINGER_S = (
    0.3  # A call may end by itself; leafs must stop within half a second.
)
# Leafs that may refuse one request unprocessed: one for each usual replica.
_NOT_RUN_MAX = 3
# A request that has failed needs its second send; a late one may yet answer.
_HEDGE_RESERVE = 0.4


@dataclass(slots=True, kw_only=True)
class ServiceResult:
    """The end of a service call.

    Attributes:
        answer: The leaf's answer, good or a failure of its own.
        ran: Whether a leaf may have run the request.
        leaf_id: The leaf that answered.
        reason: Why there is no good answer.
    """

    answer: wires.LeafAnswer | None = None
    ran: base.Ran = base.Ran.NO
    leaf_id: str = ""
    reason: str = ""

    @property
    def good(self) -> bool:
        """Whether it is a whole success."""
        return self.answer is not None and self.answer.good


@dataclass(slots=True, kw_only=True)
class CallSpec:
    """What all calls of one request share.

    Attributes:
        request: The caller's request.
        headers: Its headers as forwarded.
        ask: What the caller says beside it.
        route: The pinned route.
        deadline: Monotonic instant at which the caller's time is up.
        due: Monotonic instant at which the answer loses its full value.
    """

    request: http1.HttpRequest
    headers: http1.Headers
    ask: wires.CallerAsk
    route: routes.Route
    deadline: float
    due: float


class ServiceCall(lane.Waiter):
    """Sends a request to leafs of one service until one has answered.

    A request that may be repeated is sent to a second leaf when the first is
    late or has failed, within the route's attempts and the service's budget.
    One that may not is sent again only if it has not run.
    """

    __slots__ = (
        "_call_by_leaf",
        "_connect_tries",
        "_done",
        "_engine",
        "_failure",
        "_hedge_timer",
        "_not_run",
        "_on_done",
        "_reason",
        "_sends",
        "_service",
        "_spec",
        "_tried",
        "_waiting",
        "ran",
    )

    def __init__(
        self,
        *,
        engine: "engines.ForwardEngine",
        spec: CallSpec,
        service: str,
        on_done: Callable[["ServiceCall", ServiceResult], None],
    ) -> None:
        self._engine = engine
        self._spec = spec
        self._service = service
        self._on_done = on_done
        self._call_by_leaf: dict[
            str, tuple[replicas.LeafPool, replicas.LeafCall]
        ] = {}
        self._tried: set[str] = set()
        self._sends = 0
        self._not_run = 0
        self._connect_tries = 0
        self._failure: tuple[wires.LeafAnswer, str] | None = None
        self._hedge_timer: base.Timer | None = None
        self._done = False
        self._waiting = False
        self._reason = ""
        self.ran = base.Ran.NO

    @property
    def service(self) -> str:
        """The service that is asked."""
        return self._service

    @property
    def asked(self) -> list[str]:
        """Ids of the leafs that were chosen, for the log."""
        return sorted(self._tried)

    @property
    def sends(self) -> int:
        """Leafs that the request was sent to."""
        return self._sends

    def start(self) -> None:
        """Begins."""
        self._engine.budget(self._service).first()
        self._send_or_wait()

    @property
    def still_waiting(self) -> bool:
        """Whether the call still waits for room at a leaf."""
        return self._waiting

    def resume(self) -> bool:
        """Tries again after room was made; False if there is none."""
        chosen = self._choose()
        if chosen is None:
            return False
        self._stop_waiting()
        self._send(chosen)
        return True

    def _stop_waiting(self) -> None:
        if self._waiting:
            self._waiting = False
            self._engine.lane(self._service).left()

    def _pools(self) -> list[replicas.LeafPool]:
        return self._engine.registry.pools_by_service.get(self._service, [])

    def _choose(self) -> replicas.LeafPool | None:
        return self._engine.chooser.choose(
            self._pools(),
            now=self._engine.clock.monotonic(),
            exclude=self._tried,
        )

    def _send_or_wait(self) -> None:
        """Sends to the best leaf, or waits for one that will have room."""
        chosen = self._choose()
        if chosen is not None:
            self._send(chosen)
            return
        now = self._engine.clock.monotonic()
        usable = any(
            pool.entry.id not in self._tried and not pool.stats.is_ejected(now)
            for pool in self._pools()
        )
        if not usable:
            self._give_up(self._reason or "no leaf is usable")
            return
        self._waiting = True
        self._engine.lane(self._service).wait(
            self, rank=self._spec.route.rank, due=self._spec.due
        )

    def _send(self, pool: replicas.LeafPool) -> None:
        leaf_id = pool.entry.id
        self._tried.add(leaf_id)
        spec = self._spec

        def make_data() -> bytes | None:
            left = spec.deadline - self._engine.clock.monotonic()
            if left <= 0.001 or self._done:
                return None
            self._sends += 1
            self._engine.sends += 1
            self._engine.sends_extra += self._sends > 1
            return self._engine.wire.encode(
                spec.request, spec.headers, leaf_id=leaf_id, wait_s=left
            )

        call = replicas.LeafCall(
            method=spec.request.method,
            request_id=spec.ask.id,
            repeatable=spec.route.repeatable,
            median_latency_s=self._engine.usual(spec.route).median_s,
            encode_request=make_data,
            on_end=self._ended,
        )
        self._call_by_leaf[leaf_id] = (pool, call)
        if spec.route.repeatable and self._hedge_timer is None:
            self._hedge_timer = self._engine.clock.call_later(
                self._engine.usual(spec.route).hedge_after_s, self._hedge
            )
        pool.start(call)

    def _hedge(self) -> None:
        """Asks a second leaf while the first is late."""
        if self._done or self._waiting or not self._call_by_leaf:
            return
        if not self._may_send_again():
            return
        chosen = self._choose()
        if chosen is None:
            return
        budget = self._engine.budget(self._service)
        if budget.take(reserve=_HEDGE_RESERVE):
            self._send(chosen)

    def _may_send_again(self) -> bool:
        """Whether one more leaf may run the request."""
        runs = self._sends - self._not_run + self._pending()
        return runs < self._spec.route.attempts_max

    def _pending(self) -> int:
        """Calls that wait for a connection."""
        return sum(
            1 for _, call in self._call_by_leaf.values() if not call.sent_at
        )

    def _leaf_of(self, call: replicas.LeafCall) -> replicas.LeafPool:
        for leaf_id, (pool, known) in self._call_by_leaf.items():
            if known is call:
                del self._call_by_leaf[leaf_id]
                return pool
        raise LookupError("call of no leaf")

    def _ended(
        self, call: replicas.LeafCall, result: replicas.CallResult
    ) -> None:
        """Takes the end of one call."""
        pool = self._leaf_of(call)
        now = self._engine.clock.monotonic()
        if result.end is replicas.CallEnd.NOT_SENT:
            self._reason = result.reason
            self._after_not_sent()
            return
        if result.end is replicas.CallEnd.LOST:
            pool.stats.record_failure(now)
            self._engine.note_lost(self._spec, pool.entry.id, result.reason)
            self.ran = base.Ran.UNKNOWN
            self._reason = result.reason
            self._after_failure()
            return
        assert result.response is not None
        answer = self._engine.wire.read_answer(result.response)
        self._take_answer(pool, call, answer, now)

    def _take_answer(
        self,
        pool: replicas.LeafPool,
        call: replicas.LeafCall,
        answer: wires.LeafAnswer,
        now: float,
    ) -> None:
        if answer.load is not None:
            pool.stats.record_load(answer.load, now)
        if answer.wrong_leaf:
            self._engine.registry.remove_replaced(pool.entry.id)
            self._reason = "another leaf has the address"
            self._after_not_run()
            return
        if answer.not_run:
            pool.stats.record_shed(now)
            self._reason = f"leaf refused with {answer.response.status}"
            self._after_not_run()
            return
        self.ran = base.Ran.YES
        if answer.failed:
            pool.stats.record_failure(now)
            self._reason = f"leaf failed with {answer.response.status}"
            if answer.seal is not None:
                self._failure = (answer, pool.entry.id)
            self._after_failure()
            return
        elapsed = now - call.sent_at
        usual = self._engine.usual(self._spec.route)
        pool.stats.record_success(
            now=now, relative_latency=elapsed / usual.median_s
        )
        usual.add(elapsed)
        self._finish(
            ServiceResult(answer=answer, ran=self.ran, leaf_id=pool.entry.id)
        )

    def _after_not_sent(self) -> None:
        if self._done or self._call_by_leaf:
            return
        self._connect_tries += 1
        if self._connect_tries >= _CONNECT_TRIES_MAX:
            self._give_up(self._reason)
            return
        self._send_or_wait()

    def _after_not_run(self) -> None:
        self._not_run += 1
        if self._done or self._call_by_leaf:
            return
        again = self._not_run < _NOT_RUN_MAX and self._may_send_again()
        if again and self._engine.budget(self._service).take():
            self._send_or_wait()
            return
        self._give_up(self._reason)

    def _after_failure(self) -> None:
        if self._done or self._call_by_leaf:
            return
        if (
            self._spec.route.repeatable
            and self._may_send_again()
            and self._engine.budget(self._service).take()
        ):
            self._send_or_wait()
            return
        self._give_up(self._reason)

    def _give_up(self, reason: str) -> None:
        if self._done:
            return
        answer, leaf_id = self._failure or (None, "")
        self._finish(
            ServiceResult(
                answer=answer, ran=self.ran, leaf_id=leaf_id, reason=reason
            )
        )

    def _finish(self, result: ServiceResult) -> None:
        if self._done:
            return
        self.abandon()
        self._on_done(self, result)

    def may_have_run(self) -> base.Ran:
        """Whether a leaf may have run the request so far."""
        if any(call.sent_at for _, call in self._call_by_leaf.values()):
            return base.Ran.UNKNOWN
        return self.ran

    def abandon(self) -> None:
        """Ends without a result; calls that are out soon end as well."""
        if self._done:
            return
        self._done = True
        self._stop_waiting()
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for pool, call in list(self._call_by_leaf.values()):
            if not call.sent_at:
                pool.cancel_call(call)
                self._call_by_leaf.pop(pool.entry.id, None)
        if self._call_by_leaf:
            self._engine.clock.call_later(_LINGER_S, self._withdraw_rest)

    def _withdraw_rest(self) -> None:
        """Closes the connections of calls that nobody awaits."""
        now = self._engine.clock.monotonic()
        rest, self._call_by_leaf = self._call_by_leaf, {}
        for pool, call in rest.values():
            usual_s = self._engine.usual(self._spec.route).median_s
            relative = (now - call.sent_at) / usual_s
            pool.stats.record_cancelled(now=now, relative_latency=relative)
            pool.cancel_call(call)
