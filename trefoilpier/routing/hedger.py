"""Hedging of the late shards of a query."""

import abc

from trefoilpier import base, board, limits
from trefoilpier.routing import attempt, context, spec

_CHECK_INTERVAL_MIN_S = 0.001
_IDLE_CHECK_INTERVAL_S = 0.020


class HedgedGather(abc.ABC):
    """The gather operations that a hedger uses."""

    __slots__ = ()

    @abc.abstractmethod
    def submit_attempt(
        self, task: attempt.ShardTask, leaf_state: board.LeafState
    ) -> bool:
        """Submit a call to a leaf; return False if that is not possible."""

    @abc.abstractmethod
    def cancel_attempt(self, shard_attempt: attempt.Attempt) -> None:
        """Cancel a queued or in-flight call."""

    @abc.abstractmethod
    def count_extra_call(self) -> None:
        """Count a hedge or retry."""


class Hedger:
    """Hedging for one query, driven by a single timer.

    A late call that is still queued on this node is moved to another replica,
    which adds no load. A late call that is in flight is hedged at the replica
    with the lowest expected latency. That may be the same leaf if the others
    are much slower; the first call is then cancelled, because it occupies a
    slot of that leaf.
    """

    __slots__ = (
        "_budget",
        "_context",
        "_gather",
        "_leaf_ids_by_shard",
        "_query",
        "_tasks",
        "_timer",
    )

    def __init__(
        self,
        *,
        gather_context: context.GatherContext,
        query: spec.QuerySpec,
        tasks: list[attempt.ShardTask],
        budget: limits.ExtraCallBudget,
        gather: HedgedGather,
    ) -> None:
        """Initialize the hedger without starting its timer.

        Args:
            gather_context: State shared by all gathers of the node.
            query: The pinned query.
            tasks: The query's shards.
            budget: The budget for extra calls.
            gather: Submits and cancels calls.
        """
        self._context = gather_context
        self._query = query
        self._leaf_ids_by_shard = query.group.leaf_ids_by_shard
        self._tasks = tasks
        self._budget = budget
        self._gather = gather
        self._timer: base.Timer | None = None

    def start(self) -> None:
        """Start the timer for the shard whose hedge is due first."""
        now = self._context.clock.monotonic()
        next_due_at = min(
            (self._hedge_due_at(t) for t in self._hedgeable_tasks()),
            default=None,
        )
        delay = (
            _IDLE_CHECK_INTERVAL_S
            if next_due_at is None
            else max(_CHECK_INTERVAL_MIN_S, next_due_at - now)
        )
        self._timer = self._context.clock.call_later(
            delay, self._hedge_late_shards
        )

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _hedgeable_tasks(self) -> list[attempt.ShardTask]:
        """Return the shards that may get one more call."""
        return [
            task
            for task in self._tasks
            if not task.done
            and task.pending_attempts
            and task.attempts_sent < attempt.ATTEMPTS_MAX
        ]

    def _hedge_due_at(self, task: attempt.ShardTask) -> float:
        """Return when a hedge is due; each further call doubles the delay."""
        last_started_at = max(
            a.sent_at or a.wait_started_at for a in task.pending_attempts
        )
        delay = self._context.hedge_policy.delay(
            self._leaf_ids_by_shard[task.shard]
        )
        delay *= 2 ** max(0, task.attempts_sent - 1)
        return max(last_started_at + delay, task.not_before)

    def _hedge_late_shards(self) -> None:
        """Hedge the late shards, unless the whole fleet is slow."""
        now = self._context.clock.monotonic()
        late = [
            task
            for task in self._hedgeable_tasks()
            if self._hedge_due_at(task) <= now
        ]
        fleet_slow = self._context.hedge_policy.fleet_is_slow(
            late=len(late), total=len(self._tasks)
        )
        if not fleet_slow:
            for task in late:
                self._hedge(task, now)
        self.start()

    def _hedge(self, task: attempt.ShardTask, now: float) -> None:
        """Move a queued call to a better replica, or send a hedge."""
        leaf_state = self._context.chooser.choose(
            self._leaf_ids_by_shard[task.shard],
            shard=task.shard,
            version=self._query.snapshot.index_version,
            now=now,
            excluded=task.excluded_leaf_ids,
            pending=task.pending_leaf_ids(),
        )
        if leaf_state is None:
            return
        queued_attempts = [
            a for a in task.pending_attempts if a.queued_call is not None
        ]
        if queued_attempts:
            if leaf_state.leaf.id != queued_attempts[0].leaf_id:
                self._gather.cancel_attempt(queued_attempts[0])
                self._gather.submit_attempt(task, leaf_state)
            else:
                # The call stays in its queue and is checked again one hedge
                # delay later.
                queued_attempts[0].wait_started_at = now
            return
        if not self._budget.take():
            return
        for shard_attempt in list(task.pending_attempts):
            if shard_attempt.leaf_id == leaf_state.leaf.id:
                self._gather.cancel_attempt(shard_attempt)
        if self._gather.submit_attempt(task, leaf_state):
            self._gather.count_extra_call()
        else:
            self._budget.refund()
