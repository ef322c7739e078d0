"""Asks again for the shards of a query that are late."""

import abc

from trefoilpier import base, board, limits
from trefoilpier.routing import attempt, context, spec

_PERIOD_S = 0.001
_LOOK_S = 0.020


class HedgedGather(abc.ABC):
    """What a hedger needs of its gather."""

    __slots__ = ()

    @abc.abstractmethod
    def ask(self, task: attempt.ShardTask, state: board.LeafState) -> bool:
        """Makes one more call; returns False if it could not."""

    @abc.abstractmethod
    def withdraw(self, out: attempt.Attempt) -> None:
        """Withdraws a call that is queued or out."""

    @abc.abstractmethod
    def count_extra(self) -> None:
        """Counts a call beyond the first ones."""


class Hedger:
    """Watches one query's shards with one timer.

    A call that is late in a lane's queue is moved to another replica, which
    costs nothing. A call that is late at a leaf is asked for once more, at
    the replica that is expected to answer first. That can be the same leaf
    when the others are much slower; the first call is then withdrawn, since
    it holds a slot.
    """

    __slots__ = (
        "_budget",
        "_context",
        "_gather",
        "_replicas",
        "_spec",
        "_tasks",
        "_timer",
    )

    def __init__(
        self,
        *,
        shared: context.GatherContext,
        query: spec.QuerySpec,
        tasks: list[attempt.ShardTask],
        budget: limits.LoadBudget,
        gather: HedgedGather,
    ) -> None:
        """Prepares a hedger.

        Args:
            shared: What gathers of the node share.
            query: The pinned query.
            tasks: The query's shards.
            budget: Pays for calls beyond the first ones.
            gather: Makes and withdraws calls.
        """
        self._context = shared
        self._spec = query
        self._replicas = query.group.leaf_ids_by_shard
        self._tasks = tasks
        self._budget = budget
        self._gather = gather
        self._timer: base.Timer | None = None

    def start(self) -> None:
        """Sets the timer for the earliest shard that will be late."""
        now = self._context.clock.monotonic()
        due = min((self._due(t) for t in self._waiting()), default=None)
        delay = _LOOK_S if due is None else max(_PERIOD_S, due - now)
        self._timer = self._context.clock.call_later(delay, self._check)

    def stop(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _waiting(self) -> list[attempt.ShardTask]:
        """Returns the shards for which one more call may be made."""
        return [
            task
            for task in self._tasks
            if not task.done
            and task.attempts
            and task.made < attempt.ATTEMPTS_MAX
        ]

    def _due(self, task: attempt.ShardTask) -> float:
        """Returns when a shard counts as late; each call doubles the wait."""
        latest = max(a.sent_at or a.begun_at for a in task.attempts)
        delay = self._context.hedging.delay(self._replicas[task.shard])
        delay *= 2 ** max(0, task.made - 1)
        return max(latest + delay, task.not_before)

    def _check(self) -> None:
        """Asks again for the late shards, unless the whole fleet is slow."""
        now = self._context.clock.monotonic()
        late = [task for task in self._waiting() if self._due(task) <= now]
        slow = self._context.hedging.fleet_is_slow(
            late=len(late), total=len(self._tasks)
        )
        if not slow:
            for task in late:
                self._ask_again(task, now)
        self.start()

    def _ask_again(self, task: attempt.ShardTask, now: float) -> None:
        """Moves a queued call, or makes one more, where that is faster."""
        state = self._context.chooser.choose(
            self._replicas[task.shard],
            shard=task.shard,
            version=self._spec.snapshot.index_version,
            now=now,
            avoid=task.refused,
            asked=task.asked(),
        )
        if state is None:
            return
        queued = [a for a in task.attempts if a.item is not None]
        if queued:
            if state.leaf.id != queued[0].leaf_id:
                self._gather.withdraw(queued[0])
                self._gather.ask(task, state)
            else:
                # It stays where it is; the next look is one delay later.
                queued[0].begun_at = now
            return
        if not self._budget.take():
            return
        for out in list(task.attempts):
            if out.leaf_id == state.leaf.id:
                self._gather.withdraw(out)
        if self._gather.ask(task, state):
            self._gather.count_extra()
        else:
            self._budget.refund()
