"""Server side of the sub-queries that entry VMs send each other."""

import datetime
from collections.abc import Callable

import orjson

from trefoilpier import base, board, config, limits, peer, routing

_GATHERER_HEDGE_BUDGET_FRACTION = 0.8
_REFUSAL_RETRY_AFTER_MS = 50


class SubQueryServer:
    """Server of sub-queries from peers.

    It queries the leaves of its local shards and replies with one merged
    partial result.
    """

    __slots__ = (
        "_board",
        "_context",
        "_gather_by_id",
        "_placement",
        "_send_reply",
        "_snapshots",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        context: routing.GatherContext,
        placement: routing.Placement,
        snapshots: routing.SnapshotTracker,
        send_reply: Callable[[str, peer.Message], None],
    ) -> None:
        self._board = blackboard
        self._context = context
        self._placement = placement
        self._snapshots = snapshots
        self._send_reply = send_reply
        self._gather_by_id: dict[str, routing.Gather] = {}

    def handle_sub_query(self, sender: str, message: peer.SubQuery) -> None:
        """Run a sub-query, or refuse it as not run."""
        refusal = self._refusal_code(message)
        if refusal is not None:
            self._refuse(sender, message, refusal)
            return
        current = self._board.config.current
        assert current is not None  # noqa: S101 - checked by _refusal_code
        service = current.service_by_name[message.service]
        group = current.shard_group_by_name[message.snapshot.group]
        now = self._context.clock.monotonic()
        query = routing.QuerySpec(
            id=message.id,
            service=service,
            group=group,
            policy=current.policy_by_name[service.policy],
            snapshot=message.snapshot,
            deadline=now + message.deadline_ms / 1000,
            soft_deadline=now + message.soft_deadline_ms / 1000,
            query=message.query,
            idempotency_key=message.key,
            limit=message.limit,
            extra_share=_GATHERER_HEDGE_BUDGET_FRACTION,
        )
        gather = routing.Gather(
            gather_context=self._context,
            query=query,
            shards=message.shards,
            on_done=lambda result: self._on_gather_done(
                sender, message, group, result
            ),
        )
        self._gather_by_id[message.id] = gather
        self._board.queries.sub_queries_in_flight += 1
        gather.start()

    def handle_cancel(self, message: peer.Cancel) -> None:
        """Cancel a sub-query."""
        gather = self._gather_by_id.pop(message.id, None)
        if gather is not None:
            gather.cancel()
            self._board.queries.sub_queries_in_flight -= 1

    def handle_versions(self, sender: str, message: peer.VersionsQuery) -> None:
        """Reply with the index versions that the local shards can serve."""
        versions_by_shard: dict[int, tuple[int, ...]] = {}
        current = self._board.config.current
        group = (
            current.shard_group_by_name.get(message.group) if current else None
        )
        if group is not None:
            for block in group.blocks:
                if block.id not in message.blocks:
                    continue
                if not self._placement.is_gatherer(block, group):
                    continue
                versions_by_shard.update(
                    self._snapshots.held_versions(group, block.shards)
                )
        self._send_reply(
            sender,
            peer.VersionsReply(
                id=message.id, versions_by_shard=versions_by_shard
            ),
        )

    def _refusal_code(self, message: peer.SubQuery) -> base.ResultCode | None:
        """Return why a sub-query cannot be run here, or None if it can."""
        if message.id in self._gather_by_id:
            return base.ResultCode.PEER_PROTOCOL
        current = self._board.config.current
        if current is None:
            return base.ResultCode.NO_CONFIGURATION
        service = current.service_by_name.get(message.service)
        group = current.shard_group_by_name.get(message.snapshot.group)
        if service is None or group is None:
            return base.ResultCode.UNKNOWN_SERVICE
        if group.epoch != message.snapshot.epoch:
            return base.ResultCode.SNAPSHOT_GONE
        if any(shard >= group.shard_count for shard in message.shards):
            return base.ResultCode.PEER_PROTOCOL
        all_local = all(
            self._placement.is_gatherer(group.block_by_shard[shard], group)
            for shard in message.shards
        )
        if not all_local or not message.shards:
            return base.ResultCode.NOT_GATHERER
        return None

    def _refuse(
        self, sender: str, message: peer.SubQuery, code: base.ResultCode
    ) -> None:
        self._send_reply(
            sender,
            peer.Partial(
                id=message.id,
                code=code,
                snapshot=message.snapshot,
                retry_after_ms=_REFUSAL_RETRY_AFTER_MS,
            ),
        )

    def _on_gather_done(
        self,
        sender: str,
        message: peer.SubQuery,
        group: config.ShardGroup,
        result: routing.GatherResult,
    ) -> None:
        """Reply with the merged partial result."""
        if self._gather_by_id.pop(message.id, None) is not None:
            self._board.queries.sub_queries_in_flight -= 1
        complete = not result.reason_by_missing
        code = base.ResultCode.COMPLETE
        if not complete:
            code = base.ResultCode.PARTIAL
        self._context.log.emit(
            base.Event.SUBQUERY_DECIDED,
            query=message.id,
            asked_by=sender,
            answered=len(result.answered),
            missing=len(result.reason_by_missing),
            calls=result.calls,
            extra=result.extra_calls,
            choices=result.format_shards_by_leaf(),
        )
        result_json = orjson.dumps(result.result) if result.answered else b""
        self._send_reply(
            sender,
            peer.Partial(
                id=message.id,
                code=code,
                snapshot=message.snapshot,
                answered=tuple(result.answered),
                reason_by_missing=result.reason_by_missing,
                result=result_json,
                ran=result.ran,
                retry_after_ms=_milliseconds(result.retry_after),
                calls=result.calls,
                extra=result.extra_calls,
                offered=self._snapshots.common_versions(group, message.shards),
                wait_ms=_milliseconds(
                    limits.longest_queue_wait(
                        self._board.leaves, group, message.shards
                    )
                ),
            ),
        )


def _milliseconds(seconds: float) -> int:
    duration = datetime.timedelta(seconds=seconds)
    return duration // datetime.timedelta(milliseconds=1)
