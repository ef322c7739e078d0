"""The part of a query that another entry VM gathers."""

from collections.abc import Callable

import orjson

from trefoilpier import base, board, limits, peer, routing
from trefoilpier.query import peers

_HOP_ALLOWANCE_S = 0.004
_REPLY_GRACE_S = 0.05
_HEDGE_FACTOR = 2.0
_HEDGE_MIN_S = 0.020
_HEDGE_UNKNOWN_S = 0.1
_ATTEMPTS_MAX = 3
_REFUSALS = frozenset(
    {
        base.ResultCode.NOT_GATHERER,
        base.ResultCode.NO_CONFIGURATION,
        base.ResultCode.UNKNOWN_SERVICE,
        base.ResultCode.SNAPSHOT_GONE,
        base.ResultCode.PEER_PROTOCOL,
        base.ResultCode.OVERLOADED,
        base.ResultCode.DRAINING,
    }
)


class RemotePart:
    """Asks one gatherer for some shards, and another when it fails.

    A part that must not be repeated is sent again only after a reply that
    says it did not run.

    Attributes:
        shards: The shards of this part.
        answered_by: The gatherer whose partial was taken; empty before.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_done",
        "_gatherers",
        "_hedge_timer",
        "_latency_by_node",
        "_on_done",
        "_out_by_id",
        "_requests",
        "_result",
        "_spec",
        "_tried",
        "_unknown",
        "answered_by",
        "shards",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        requests: peers.PeerRequests,
        query: routing.QuerySpec,
        shards: tuple[int, ...],
        gatherers: tuple[str, ...],
        budget: limits.LoadBudget,
        latency_by_node: dict[str, board.LatencyTracker],
        on_done: Callable[
            ["RemotePart", routing.GatherResult, peer.Partial | None], None
        ],
    ) -> None:
        """Prepares the part.

        Args:
            clock: The clock.
            requests: Sends to peers.
            query: The pinned query.
            shards: The shards of this part.
            gatherers: Nodes to ask, in order.
            budget: Pays for asking again, one token a shard.
            latency_by_node: Observed answer times of peers.
            on_done: Gets the result once, and the partial that gave it.
        """
        self.shards = shards
        self.answered_by = ""
        self._clock = clock
        self._requests = requests
        self._spec = query
        self._gatherers = gatherers
        self._budget = budget
        self._latency_by_node = latency_by_node
        self._on_done = on_done
        self._out_by_id: dict[str, tuple[str, float]] = {}
        self._tried = 0
        self._done = False
        self._unknown = False
        self._hedge_timer: base.Timer | None = None
        self._result = routing.GatherResult()

    def start(self) -> None:
        """Asks the first gatherer."""
        self._budget.earn(len(self.shards))
        self._ask_next()

    def cancel(self) -> None:
        """Withdraws the part."""
        self._done = True
        self._withdraw()

    @property
    def may_have_run(self) -> bool:
        """Whether a request is out, or was lost, that may have run."""
        return self._unknown or bool(self._out_by_id)

    def _ask_next(self) -> bool:
        """Asks one more gatherer; returns False when there is none."""
        if self._tried >= min(len(self._gatherers), _ATTEMPTS_MAX):
            return False
        node_id = self._gatherers[self._tried]
        self._tried += 1
        now = self._clock.monotonic()
        remaining = self._spec.deadline - now - _HOP_ALLOWANCE_S
        if remaining <= 0:
            return False
        soft = max(0.0, self._spec.soft_deadline - now - _HOP_ALLOWANCE_S)
        request_id = self._requests.next_id()
        message = peer.SubQuery(
            id=request_id,
            service=self._spec.service.name,
            snapshot=self._spec.snapshot,
            shards=self.shards,
            deadline_ms=max(1, int(remaining * 1000)),
            soft_deadline_ms=int(soft * 1000),
            query=self._spec.query,
            key=self._spec.key,
            limit=self._spec.limit,
        )
        self._out_by_id[request_id] = (node_id, now)
        self._requests.ask(
            node_id,
            request_id,
            message,
            timeout=remaining + _REPLY_GRACE_S,
            on_reply=lambda reply: self._replied(request_id, reply),
        )
        self._arm_hedge(node_id)
        return True

    def _arm_hedge(self, node_id: str) -> None:
        if not self._spec.service.repeatable:
            return
        tracker = self._latency_by_node.get(node_id)
        delay = _HEDGE_UNKNOWN_S
        if tracker is not None:
            delay = max(_HEDGE_MIN_S, _HEDGE_FACTOR * tracker.quantile)
        self._hedge_timer = self._clock.call_later(delay, self._hedge)

    def _hedge(self) -> None:
        """Asks another gatherer while the first is silent."""
        if self._done or self._tried >= len(self._gatherers):
            return
        if not self._budget.take(len(self.shards)):
            return
        if self._ask_next():
            self._result.extra += len(self.shards)
        else:
            self._budget.refund(len(self.shards))

    def _replied(self, request_id: str, reply: peer.Message | None) -> None:
        """Takes in a partial, or the loss of a request."""
        node_id, sent_at = self._out_by_id.pop(request_id)
        if self._done:
            return
        if not isinstance(reply, peer.Partial):
            self._lost()
            return
        if reply.code in _REFUSALS:
            self._refused(reply)
            return
        now = self._clock.monotonic()
        tracker = self._latency_by_node.setdefault(
            node_id, board.LatencyTracker()
        )
        tracker.add(now - sent_at)
        if reply.snapshot != self._spec.snapshot:
            self._lost()
            return
        self.answered_by = node_id
        self._take(reply)

    def _take(self, reply: peer.Partial) -> None:
        result = self._result
        asked = set(self.shards)
        result.answered = [s for s in reply.answered if s in asked]
        result.reason_by_missing = {
            shard: reply.reason_by_missing.get(shard, routing.MissReason.FAILED)
            for shard in asked - set(result.answered)
        }
        if reply.result:
            result.result = orjson.loads(reply.result)
        result.ran = reply.ran
        result.calls += reply.calls
        result.extra += reply.extra
        result.retry_after = reply.retry_after_ms / 1000
        self._finish(reply)

    def _lost(self) -> None:
        """Handles a request whose end is not known."""
        self._unknown = True
        if self._out_by_id:
            return
        if self._spec.service.repeatable and self._budget.take(
            len(self.shards)
        ):
            if self._ask_next():
                self._result.extra += len(self.shards)
                return
            self._budget.refund(len(self.shards))
        self._miss(routing.MissReason.NO_GATHERER)

    def _refused(self, reply: peer.Partial) -> None:
        """Asks the next gatherer after one that did not run the part."""
        self._result.retry_after = reply.retry_after_ms / 1000
        if self._out_by_id or self._ask_next():
            return
        reason = routing.MissReason.NO_GATHERER
        if reply.code == base.ResultCode.SNAPSHOT_GONE:
            reason = routing.MissReason.VERSION_GONE
        self._miss(reason)

    def _miss(self, reason: routing.MissReason) -> None:
        self._result.reason_by_missing = dict.fromkeys(self.shards, reason)
        if self._unknown:
            self._result.ran = base.Ran.UNKNOWN
        self._finish(None)

    def _finish(self, partial: peer.Partial | None) -> None:
        self._done = True
        self._withdraw()
        self._on_done(self, self._result, partial)

    def _withdraw(self) -> None:
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for request_id, (node_id, _) in self._out_by_id.items():
            self._requests.forget(request_id)
            self._requests.send(node_id, peer.Cancel(id=request_id))
        self._out_by_id.clear()
