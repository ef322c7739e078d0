"""One pinned query over held and remote shards, until its one result."""

from collections.abc import Callable

from trefoilpier import base, board, config, limits, peer, routing
from trefoilpier.query import peers, remote

_SOFT_GRACE_S = 0.010


class FanOut:
    """Splits a query by gatherer, runs the parts and merges them."""

    __slots__ = (
        "_answered",
        "_clock",
        "_finished",
        "_local",
        "_merger",
        "_on_done",
        "_open_parts",
        "_queries",
        "_remote",
        "_result",
        "_snapshots",
        "_spec",
        "_timers",
        "total",
    )

    def __init__(
        self,
        *,
        context: routing.GatherContext,
        requests: peers.PeerRequests,
        placement: routing.Placement,
        snapshots: routing.SnapshotTracker,
        budget: limits.LoadBudget,
        latency_by_node: dict[str, board.LatencyTracker],
        query: routing.QuerySpec,
        shards: tuple[int, ...],
        on_done: Callable[[routing.GatherResult], None],
    ) -> None:
        """Plans the parts.

        Args:
            context: What gathers of this node share.
            requests: Sends to peers.
            placement: Who gathers for which block.
            snapshots: Learns what gatherers offer.
            budget: Pays for asking a second gatherer.
            latency_by_node: Observed answer times of peers.
            query: The pinned query.
            shards: The shards to ask.
            on_done: Gets the merged result once.
        """
        self.total = len(shards)
        self._clock = context.clock
        self._queries = context.board.queries
        self._snapshots = snapshots
        self._spec = query
        self._on_done = on_done
        self._finished = False
        self._timers: list[base.Timer] = []
        self._result = routing.GatherResult()
        self._merger = routing.Merger(
            merge=query.service.merge, limit=query.limit
        )
        held, shards_by_gatherers = self._split(shards, placement)
        self._local: routing.Gather | None = None
        if held:
            self._local = routing.Gather(
                shared=context,
                query=query,
                shards=held,
                on_done=self._local_done,
            )
        self._remote = [
            remote.RemotePart(
                clock=context.clock,
                requests=requests,
                query=query,
                shards=tuple(part),
                gatherers=gatherers,
                budget=budget,
                latency_by_node=latency_by_node,
                on_done=self._remote_done,
            )
            for gatherers, part in shards_by_gatherers.items()
        ]
        self._open_parts = len(self._remote) + (1 if held else 0)

    def start(self) -> None:
        """Starts every part."""
        now = self._clock.monotonic()
        spec = self._spec
        self._timers.append(
            self._clock.call_later(spec.deadline - now, self._finish)
        )
        if spec.policy.mode == config.Mode.TAIL and self._remote:
            self._timers.append(
                self._clock.call_later(
                    spec.soft_deadline + _SOFT_GRACE_S - now,
                    self._at_soft_deadline,
                )
            )
        if self._local is not None:
            self._local.start()
        for part in self._remote:
            part.start()
        if not self._open_parts:
            self._finish()

    def cancel(self) -> None:
        """Withdraws every part, for a caller that went away."""
        self._finished = True
        self._stop()

    def _local_done(self, result: routing.GatherResult) -> None:
        self._merge(result)

    def _split(
        self, shards: tuple[int, ...], placement: routing.Placement
    ) -> tuple[list[int], dict[tuple[str, ...], list[int]]]:
        """Divides shards into held ones and those of each first gatherer."""
        group = self._spec.group
        held: list[int] = []
        order_by_block: dict[str, tuple[str, ...]] = {}
        order_by_first: dict[str, tuple[str, ...]] = {}
        shards_by_gatherers: dict[tuple[str, ...], list[int]] = {}
        for shard in shards:
            block = group.block_by_shard[shard]
            if placement.holds(block, group):
                held.append(shard)
                continue
            order = order_by_block.get(block.id)
            if order is None:
                order = self._order(block, placement)
                order_by_block[block.id] = order
            # Blocks with the same set of gatherers travel in one sub-query.
            first = order[0] if order else ""
            if set(order_by_first.setdefault(first, order)) == set(order):
                order = order_by_first[first]
            shards_by_gatherers.setdefault(order, []).append(shard)
        return held, shards_by_gatherers

    def _order(
        self, block: config.Block, placement: routing.Placement
    ) -> tuple[str, ...]:
        """Returns a block's gatherers, by the time that calls wait there."""
        now = self._clock.monotonic()
        return placement.preferred(
            block,
            self._spec.group,
            wait_of=lambda node_id: self._queries.wait_at(
                block.id, node_id, now
            ),
            salt=self._spec.id,
        )

    def _remote_done(
        self,
        part: remote.RemotePart,
        result: routing.GatherResult,
        partial: peer.Partial | None,
    ) -> None:
        """Takes in a partial and remembers what its gatherer offers."""
        if partial is not None:
            self._learn(part, partial)
        self._merge(result)

    def _learn(self, part: remote.RemotePart, partial: peer.Partial) -> None:
        """Keeps the versions and the wait that a gatherer reports."""
        group = self._spec.group
        now = self._clock.monotonic()
        block_by_id = {
            group.block_by_shard[shard].id: group.block_by_shard[shard]
            for shard in part.shards
        }
        for block in block_by_id.values():
            self._queries.learn_wait(
                block.id, part.answered_by, wait=partial.wait_ms / 1000, now=now
            )
            if partial.offered:
                self._snapshots.learn(
                    block.id, dict.fromkeys(block.shards, partial.offered)
                )

    def _merge(self, part: routing.GatherResult) -> None:
        """Adds a part's result and ends when it was the last."""
        if self._finished:
            return
        result = self._result
        if part.answered:
            self._merger.add(part.result)
            result.answered.extend(part.answered)
        result.reason_by_missing.update(part.reason_by_missing)
        result.leaf_by_shard.update(part.leaf_by_shard)
        result.calls += part.calls
        result.extra += part.extra
        result.retry_after = max(result.retry_after, part.retry_after)
        result.ran = _either(result.ran, part.ran)
        self._open_parts -= 1
        if not self._open_parts:
            self._finish()

    def _at_soft_deadline(self) -> None:
        """Ends a ``tail`` query that has its minimum coverage."""
        minimum = self._spec.policy.minimum_coverage * self.total
        answered = len(self._result.answered)
        if answered and answered >= minimum:
            self._finish()

    def _finish(self) -> None:
        if self._finished:
            return
        self._finished = True
        result = self._result
        accounted = set(result.answered) | set(result.reason_by_missing)
        for part in self._remote:
            if part.may_have_run:
                result.ran = _either(result.ran, base.Ran.UNKNOWN)
            for shard in part.shards:
                if shard not in accounted:
                    result.reason_by_missing[shard] = routing.MissReason.LATE
        self._stop()
        result.result = self._merger.result()
        self._on_done(result)

    def _stop(self) -> None:
        for timer in self._timers:
            timer.cancel()
        if self._local is not None:
            self._local.cancel()
        for part in self._remote:
            part.cancel()


def _either(one: base.Ran, other: base.Ran) -> base.Ran:
    """Joins what is known of two parts: yes wins, then unknown."""
    if base.Ran.YES in (one, other):
        return base.Ran.YES
    if base.Ran.UNKNOWN in (one, other):
        return base.Ran.UNKNOWN
    return base.Ran.NO
