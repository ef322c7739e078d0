"""Part of a query that another entry VM gathers."""

from collections.abc import Callable

import orjson

from trefoilpier import base, board, limits, peer, routing
from trefoilpier.query import peer_client as peer_clients

_PEER_HOP_ALLOWANCE_S = 0.004
_REPLY_TIMEOUT_GRACE_S = 0.05
_HEDGE_LATENCY_FACTOR = 2.0
_HEDGE_DELAY_MIN_S = 0.020
_HEDGE_DELAY_DEFAULT_S = 0.1
_MAX_ATTEMPTS = 3
_NOT_RUN_CODES = frozenset(
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
    """Sub-query for some shards, with failover to other gatherers.

    A gatherer that fails or refuses is replaced by the next one, and a slow
    one is hedged. A part that is not repeatable is sent again only after a
    reply which says that it did not run.

    Attributes:
        shards: The shards of this part.
        answered_by: The gatherer whose result was accepted; empty before.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_finished",
        "_gatherers",
        "_hedge_timer",
        "_latency_by_node",
        "_on_done",
        "_in_flight_by_id",
        "_peer_client",
        "_result",
        "_spec",
        "_attempts",
        "_outcome_unknown",
        "answered_by",
        "shards",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        peer_client: peer_clients.PeerClient,
        query: routing.QuerySpec,
        shards: tuple[int, ...],
        gatherers: tuple[str, ...],
        budget: limits.ExtraCallBudget,
        latency_by_node: dict[str, board.LatencyTracker],
        on_done: Callable[
            ["RemotePart", routing.GatherResult, peer.Partial | None], None
        ],
    ) -> None:
        """Store the parameters; nothing is sent before `start`.

        Args:
            clock: The clock.
            peer_client: Sends messages to peers.
            query: The pinned query.
            shards: The shards of this part.
            gatherers: Nodes to ask, in order of preference.
            budget: Limits hedges and retries; each takes one token per shard.
            latency_by_node: Observed reply latency of each peer.
            on_done: Called at most once with the result and with the reply
                that it came from, or None. Not called after `cancel`.
        """
        self.shards = shards
        self.answered_by = ""
        self._clock = clock
        self._peer_client = peer_client
        self._spec = query
        self._gatherers = gatherers
        self._budget = budget
        self._latency_by_node = latency_by_node
        self._on_done = on_done
        self._in_flight_by_id: dict[str, tuple[str, float]] = {}
        self._attempts = 0
        self._finished = False
        self._outcome_unknown = False
        self._hedge_timer: base.Timer | None = None
        self._result = routing.GatherResult()

    def start(self) -> None:
        """Send the sub-query to the first gatherer."""
        self._budget.earn(len(self.shards))
        self._ask_next_gatherer()

    def cancel(self) -> None:
        """Cancel the part; ``on_done`` is not called."""
        self._finished = True
        self._cancel_in_flight()

    @property
    def may_have_run(self) -> bool:
        """Whether a request that may have run is in flight or was lost."""
        return self._outcome_unknown or bool(self._in_flight_by_id)

    def _ask_next_gatherer(self) -> bool:
        """Send the sub-query to the next gatherer.

        Returns:
            False if no gatherer, attempt or time is left.
        """
        if self._attempts >= min(len(self._gatherers), _MAX_ATTEMPTS):
            return False
        node_id = self._gatherers[self._attempts]
        self._attempts += 1
        now = self._clock.monotonic()
        remaining = self._spec.deadline - now - _PEER_HOP_ALLOWANCE_S
        if remaining <= 0:
            return False
        soft_remaining = max(
            0.0, self._spec.soft_deadline - now - _PEER_HOP_ALLOWANCE_S
        )
        request_id = self._peer_client.next_id()
        message = peer.SubQuery(
            id=request_id,
            service=self._spec.service.name,
            snapshot=self._spec.snapshot,
            shards=self.shards,
            deadline_ms=max(1, int(remaining * 1000)),
            soft_deadline_ms=int(soft_remaining * 1000),
            query=self._spec.query,
            key=self._spec.idempotency_key,
            limit=self._spec.limit,
        )
        self._in_flight_by_id[request_id] = (node_id, now)
        self._peer_client.send_request(
            node_id,
            request_id,
            message,
            timeout=remaining + _REPLY_TIMEOUT_GRACE_S,
            on_reply=lambda reply: self._on_reply(request_id, reply),
        )
        self._schedule_hedge(node_id)
        return True

    def _schedule_hedge(self, node_id: str) -> None:
        if not self._spec.service.repeatable:
            return
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        tracker = self._latency_by_node.get(node_id)
        delay = _HEDGE_DELAY_DEFAULT_S
        if tracker is not None:
            delay = max(
                _HEDGE_DELAY_MIN_S, _HEDGE_LATENCY_FACTOR * tracker.quantile
            )
        self._hedge_timer = self._clock.call_later(delay, self._hedge)

    def _hedge(self) -> None:
        """Ask another gatherer, since the first has not replied yet."""
        if self._finished or self._attempts >= len(self._gatherers):
            return
        if not self._budget.take(len(self.shards)):
            return
        if self._ask_next_gatherer():
            self._result.extra_calls += len(self.shards)
        else:
            self._budget.refund(len(self.shards))

    def _on_reply(self, request_id: str, reply: peer.Message | None) -> None:
        """Handle the reply to a request; None if the request was lost."""
        node_id, sent_at = self._in_flight_by_id.pop(request_id)
        if self._finished:
            return
        if not isinstance(reply, peer.Partial):
            self._on_request_lost()
            return
        if reply.code in _NOT_RUN_CODES:
            self._on_refused(reply)
            return
        now = self._clock.monotonic()
        tracker = self._latency_by_node.setdefault(
            node_id, board.LatencyTracker()
        )
        tracker.add(now - sent_at)
        if reply.snapshot != self._spec.snapshot:
            self._on_request_lost()
            return
        self.answered_by = node_id
        self._accept_partial(reply)

    def _accept_partial(self, reply: peer.Partial) -> None:
        result = self._result
        requested = set(self.shards)
        result.answered = [s for s in reply.answered if s in requested]
        result.reason_by_missing = {
            shard: reply.reason_by_missing.get(shard, routing.MissReason.FAILED)
            for shard in requested - set(result.answered)
        }
        if reply.result:
            result.result = orjson.loads(reply.result)
        result.ran = reply.ran
        result.calls += reply.calls
        result.extra_calls += reply.extra
        result.retry_after = reply.retry_after_ms / 1000
        self._finish(reply)

    def _on_request_lost(self) -> None:
        """Retry or finish after a request whose outcome is not known."""
        self._outcome_unknown = True
        if self._in_flight_by_id:
            return
        if self._spec.service.repeatable and self._budget.take(
            len(self.shards)
        ):
            if self._ask_next_gatherer():
                self._result.extra_calls += len(self.shards)
                return
            self._budget.refund(len(self.shards))
        self._finish_without_result(routing.MissReason.NO_GATHERER)

    def _on_refused(self, reply: peer.Partial) -> None:
        """Ask the next gatherer after one that refused to run the part."""
        self._result.retry_after = reply.retry_after_ms / 1000
        if self._in_flight_by_id or self._ask_next_gatherer():
            return
        reason = routing.MissReason.NO_GATHERER
        if reply.code == base.ResultCode.SNAPSHOT_GONE:
            reason = routing.MissReason.VERSION_GONE
        self._finish_without_result(reason)

    def _finish_without_result(self, reason: routing.MissReason) -> None:
        self._result.reason_by_missing = dict.fromkeys(self.shards, reason)
        if self._outcome_unknown:
            self._result.ran = base.Ran.UNKNOWN
        self._finish(None)

    def _finish(self, partial: peer.Partial | None) -> None:
        self._finished = True
        self._cancel_in_flight()
        self._on_done(self, self._result, partial)

    def _cancel_in_flight(self) -> None:
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for request_id, (node_id, _) in self._in_flight_by_id.items():
            self._peer_client.abandon(request_id)
            self._peer_client.send(node_id, peer.Cancel(id=request_id))
        self._in_flight_by_id.clear()
