"""Fan-out of one query to local leaves and to other gatherers."""

from collections.abc import Callable

from trefoilpier import base, board, config, limits, peer, routing
from trefoilpier.query import peer_client as peer_clients
from trefoilpier.query import remote

_SOFT_DEADLINE_GRACE_S = 0.010


class FanOut:
    """Fan-out of one pinned query, merged into a single result.

    The shards are split into those that this node gathers and one part for
    each remote gatherer that is asked first.

    Attributes:
        shard_count: Number of shards that the query covers.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_finished",
        "_local_gather",
        "_merger",
        "_on_done",
        "_pending_parts",
        "_queries",
        "_remote_parts",
        "_result",
        "_snapshots",
        "_spec",
        "_timers",
        "shard_count",
    )

    def __init__(
        self,
        *,
        context: routing.GatherContext,
        peer_client: peer_clients.PeerClient,
        placement: routing.Placement,
        snapshots: routing.SnapshotTracker,
        budget: limits.ExtraCallBudget,
        latency_by_node: dict[str, board.LatencyTracker],
        query: routing.QuerySpec,
        shards: tuple[int, ...],
        on_done: Callable[[routing.GatherResult], None],
    ) -> None:
        """Split the shards by gatherer.

        Args:
            context: Objects shared by the node's gathers.
            peer_client: Sends messages to peers.
            placement: Assigns blocks to gatherers.
            snapshots: Records the versions that gatherers can serve.
            budget: Limits the sub-queries to further gatherers.
            latency_by_node: Observed reply latency of each peer.
            query: The pinned query.
            shards: The shards to query.
            on_done: Called exactly once with the merged result, unless the
                fan-out is cancelled.
        """
        self.shard_count = len(shards)
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
        local_shards, shards_by_gatherers = self._split_shards(
            shards, placement
        )
        self._local_gather: routing.Gather | None = None
        if local_shards:
            self._local_gather = routing.Gather(
                gather_context=context,
                query=query,
                shards=local_shards,
                on_done=self._on_local_done,
            )
        self._remote_parts = [
            remote.RemotePart(
                clock=context.clock,
                peer_client=peer_client,
                query=query,
                shards=tuple(part),
                gatherers=gatherers,
                budget=budget,
                latency_by_node=latency_by_node,
                on_done=self._on_remote_done,
            )
            for gatherers, part in shards_by_gatherers.items()
        ]
        self._pending_parts = len(self._remote_parts) + (
            1 if local_shards else 0
        )

    def start(self) -> None:
        """Start the local gather and every remote part."""
        now = self._clock.monotonic()
        spec = self._spec
        self._timers.append(
            self._clock.call_later(spec.deadline - now, self._finish)
        )
        if spec.policy.mode == config.Mode.TAIL and self._remote_parts:
            self._timers.append(
                self._clock.call_later(
                    spec.soft_deadline + _SOFT_DEADLINE_GRACE_S - now,
                    self._on_soft_deadline,
                )
            )
        if self._local_gather is not None:
            self._local_gather.start()
        for part in self._remote_parts:
            part.start()
        if not self._pending_parts:
            self._finish()

    def cancel(self) -> None:
        """Cancel all parts; ``on_done`` is not called."""
        self._finished = True
        self._stop()

    def _on_local_done(self, result: routing.GatherResult) -> None:
        self._merge_part(result)

    def _split_shards(
        self, shards: tuple[int, ...], placement: routing.Placement
    ) -> tuple[list[int], dict[tuple[str, ...], list[int]]]:
        """Split shards into local ones and those of each remote gatherer.

        Returns:
            The shards that this node gathers, and the others by the
            gatherers to ask for them, in order of preference.
        """
        group = self._spec.group
        local_shards: list[int] = []
        gatherers_by_block: dict[str, tuple[str, ...]] = {}
        gatherers_by_first: dict[str, tuple[str, ...]] = {}
        shards_by_gatherers: dict[tuple[str, ...], list[int]] = {}
        for shard in shards:
            block = group.block_by_shard[shard]
            if placement.is_gatherer(block, group):
                local_shards.append(shard)
                continue
            ordered = gatherers_by_block.get(block.id)
            if ordered is None:
                ordered = self._ordered_gatherers(block, placement)
                gatherers_by_block[block.id] = ordered
            # Blocks with the same set of gatherers share one sub-query.
            first_gatherer = ordered[0] if ordered else ""
            if set(
                gatherers_by_first.setdefault(first_gatherer, ordered)
            ) == set(ordered):
                ordered = gatherers_by_first[first_gatherer]
            shards_by_gatherers.setdefault(ordered, []).append(shard)
        return local_shards, shards_by_gatherers

    def _ordered_gatherers(
        self, block: config.Block, placement: routing.Placement
    ) -> tuple[str, ...]:
        """Return a block's gatherers in the order in which to ask them."""
        now = self._clock.monotonic()
        return placement.gatherers_by_preference(
            block,
            self._spec.group,
            queue_wait_of=lambda node_id: self._queries.queue_wait_at(
                block.id, node_id, now
            ),
            salt=self._spec.id,
        )

    def _on_remote_done(
        self,
        part: remote.RemotePart,
        result: routing.GatherResult,
        partial: peer.Partial | None,
    ) -> None:
        """Merge a remote part and record the state of its gatherer."""
        if partial is not None:
            self._record_gatherer_state(part, partial)
        self._merge_part(result)

    def _record_gatherer_state(
        self, part: remote.RemotePart, partial: peer.Partial
    ) -> None:
        """Record the versions and the queue wait that a gatherer reports."""
        group = self._spec.group
        now = self._clock.monotonic()
        block_by_id = {
            group.block_by_shard[shard].id: group.block_by_shard[shard]
            for shard in part.shards
        }
        for block in block_by_id.values():
            self._queries.record_queue_wait(
                block.id, part.answered_by, wait=partial.wait_ms / 1000, now=now
            )
            if partial.offered:
                self._snapshots.cache_offer(
                    block.id, dict.fromkeys(block.shards, partial.offered)
                )

    def _merge_part(self, part: routing.GatherResult) -> None:
        """Merge the result of a part; finish if it was the last one."""
        if self._finished:
            return
        result = self._result
        if part.answered:
            self._merger.add(part.result)
            result.answered.extend(part.answered)
        result.reason_by_missing.update(part.reason_by_missing)
        result.leaf_by_shard.update(part.leaf_by_shard)
        result.calls += part.calls
        result.extra_calls += part.extra_calls
        result.retry_after = max(result.retry_after, part.retry_after)
        result.ran = _combine_ran(result.ran, part.ran)
        self._pending_parts -= 1
        if not self._pending_parts:
            self._finish()

    def _on_soft_deadline(self) -> None:
        """Finish a ``tail`` query that has reached its minimum coverage."""
        minimum = self._spec.policy.minimum_coverage * self.shard_count
        answered = len(self._result.answered)
        if answered and answered >= minimum:
            self._finish()

    def _finish(self) -> None:
        if self._finished:
            return
        self._finished = True
        result = self._result
        accounted = set(result.answered) | set(result.reason_by_missing)
        for part in self._remote_parts:
            if part.may_have_run:
                result.ran = _combine_ran(result.ran, base.Ran.UNKNOWN)
            for shard in part.shards:
                if shard not in accounted:
                    result.reason_by_missing[shard] = routing.MissReason.LATE
        self._stop()
        result.result = self._merger.result()
        self._on_done(result)

    def _stop(self) -> None:
        for timer in self._timers:
            timer.cancel()
        if self._local_gather is not None:
            self._local_gather.cancel()
        for part in self._remote_parts:
            part.cancel()


def _combine_ran(first: base.Ran, second: base.Ran) -> base.Ran:
    """Return whether either part ran: yes takes precedence, then unknown."""
    if base.Ran.YES in (first, second):
        return base.Ran.YES
    if base.Ran.UNKNOWN in (first, second):
        return base.Ran.UNKNOWN
    return base.Ran.NO
