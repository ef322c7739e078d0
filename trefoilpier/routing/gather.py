"""Gathers the answers of held shards for one query."""

from collections.abc import Callable, Iterable
from typing import Any

from trefoilpier import base, board, config, leaf, limits
from trefoilpier.leaf import codec
from trefoilpier.routing import hedge, merge, replica, spec

_ATTEMPTS_MAX = 3
_SHED_BACKOFF_MIN_S = 0.004
_SILENCE_FACTOR = 4.0
_SILENCE_MIN_S = 0.1
_REASON_BY_STATUS = {
    leaf.CallStatus.SHED: spec.MissReason.SHED,
    leaf.CallStatus.VERSION_GONE: spec.MissReason.VERSION_GONE,
    leaf.CallStatus.NOT_MINE: spec.MissReason.MOVED,
    leaf.CallStatus.DRAINING: spec.MissReason.NO_REPLICA,
    leaf.CallStatus.NOT_SENT: spec.MissReason.NO_REPLICA,
    leaf.CallStatus.EXPIRED: spec.MissReason.LATE,
}
# Answers of leaves that did no work and name a lasting cause: the next
# replica is asked without drawing on the budget.
_FREE_FAILOVER = frozenset(
    {
        leaf.CallStatus.VERSION_GONE,
        leaf.CallStatus.NOT_MINE,
        leaf.CallStatus.DRAINING,
        leaf.CallStatus.NOT_SENT,
    }
)


class GatherContext:
    """What all gathers of a node share.

    Attributes:
        clock: The clock.
        board: The blackboard.
        transport: Carries calls to leaves.
        chooser: Chooses replicas.
        hedging: Decides when a hedge is due.
        lane_by_leaf: One lane for each held leaf.
        budget_by_policy: The budget of extra calls of each routing policy.
        log: Where events go.
        next_call_id: Returns an id that this process never used before.
    """

    __slots__ = (
        "board",
        "budget_by_policy",
        "chooser",
        "clock",
        "hedging",
        "lane_by_leaf",
        "log",
        "next_call_id",
        "transport",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        blackboard: board.Board,
        transport: leaf.LeafTransport,
        chooser: replica.ReplicaChooser,
        hedging: hedge.HedgePolicy,
        log: base.EventLog,
        next_call_id: Callable[[], str],
    ) -> None:
        self.clock = clock
        self.board = blackboard
        self.transport = transport
        self.chooser = chooser
        self.hedging = hedging
        self.lane_by_leaf: dict[str, limits.Lane] = {}
        self.budget_by_policy: dict[str, limits.LoadBudget] = {}
        self.log = log
        self.next_call_id = next_call_id


class GatherResult:
    """The merged partial answer of some shards.

    Attributes:
        answered: Shards whose result is in ``result``.
        reason_by_missing: Why each other shard is not.
        result: The merged result, or None.
        ran: Whether anything ran at a leaf.
        calls: Leaf calls made, extra ones included.
        extra: Hedges and retries among them.
        retry_after: Seconds after which to ask again; 0 if unknown.
        leaf_by_shard: The leaf whose answer was taken, for the log.
    """

    __slots__ = (
        "answered",
        "calls",
        "extra",
        "leaf_by_shard",
        "ran",
        "reason_by_missing",
        "result",
        "retry_after",
    )

    def __init__(self) -> None:
        self.answered: list[int] = []
        self.reason_by_missing: dict[int, spec.MissReason] = {}
        self.result: Any = None
        self.ran = base.Ran.NO
        self.calls = 0
        self.extra = 0
        self.retry_after = 0.0
        self.leaf_by_shard: dict[int, str] = {}

    def choices(self) -> str:
        """Returns each leaf with the shards it answered for, compressed."""
        shards_by_leaf: dict[str, list[str]] = {}
        for shard, leaf_id in self.leaf_by_shard.items():
            shards_by_leaf.setdefault(leaf_id, []).append(str(shard))
        return " ".join(
            f"{leaf_id}:{','.join(shards)}"
            for leaf_id, shards in shards_by_leaf.items()
        )


class _Attempt:
    """One call for one shard."""

    __slots__ = ("call_id", "item", "lane", "sent_at", "shard_task", "state")

    def __init__(
        self, *, shard_task: "_ShardTask", state: board.LeafState
    ) -> None:
        self.shard_task = shard_task
        self.state = state
        self.lane: limits.Lane | None = None
        self.item: limits.LaneItem | None = None
        self.call_id = ""
        self.sent_at = 0.0


class _ShardTask:
    """The work for one shard."""

    __slots__ = ("asked", "attempts", "done", "made", "reason", "shard")

    def __init__(self, *, shard: int) -> None:
        self.shard = shard
        self.attempts: list[_Attempt] = []
        self.asked: set[str] = set()
        self.made = 0
        self.done = False
        self.reason = spec.MissReason.LATE


class Gather:
    """Runs one query on held shards and reports one merged partial answer.

    A shard is asked at one replica; another is asked when the first does not
    run it, or as a hedge. Results of another snapshot, shard or partitioning
    are never merged. The report comes when every shard has ended, at the soft
    deadline of a ``tail`` query once the minimum coverage is reached, or at
    the deadline.
    """

    __slots__ = (
        "_budget",
        "_context",
        "_finished",
        "_head",
        "_hedge_timer",
        "_late",
        "_merger",
        "_on_done",
        "_open",
        "_replicas",
        "_result",
        "_spec",
        "_task_by_shard",
        "_timers",
        "_unknown",
    )

    def __init__(
        self,
        *,
        context: GatherContext,
        query: spec.QuerySpec,
        shards: Iterable[int],
        on_done: Callable[[GatherResult], None],
    ) -> None:
        self._context = context
        self._spec = query
        self._on_done = on_done
        self._replicas = query.group.leaf_ids_by_shard
        self._task_by_shard = {s: _ShardTask(shard=s) for s in shards}
        self._open = len(self._task_by_shard)
        self._merger = merge.Merger(
            merge=query.service.merge, limit=query.limit
        )
        self._result = GatherResult()
        self._finished = False
        self._late = 0
        self._unknown = False
        self._timers: list[base.Timer] = []
        self._hedge_timer: base.Timer | None = None
        self._budget = self._find_budget()
        self._head = codec.encode_head(
            service=query.service.name,
            epoch=query.snapshot.epoch,
            version=query.snapshot.index_version,
            repeatable=query.service.repeatable,
            key=query.key,
            query=query.query,
        )

    def start(self) -> None:
        """Sends the first call for each shard."""
        clock = self._context.clock
        now = clock.monotonic()
        query = self._spec
        self._timers.append(
            clock.call_later(query.deadline - now, self._at_deadline)
        )
        if query.policy.mode == config.Mode.TAIL and query.soft_deadline > now:
            self._timers.append(
                clock.call_later(
                    query.soft_deadline - now, self._at_soft_deadline
                )
            )
        for task in list(self._task_by_shard.values()):
            self._budget.earn()
            self._ask(task)
        if query.service.repeatable and not self._finished:
            self._arm_hedge()

    def cancel(self) -> None:
        """Withdraws every call; nothing is reported."""
        if not self._finished:
            self._finished = True
            self._stop()

    def _find_budget(self) -> limits.LoadBudget:
        """Returns the policy's budget, made on first use."""
        policy = self._spec.policy
        share = policy.hedge_budget * self._spec.extra_share
        budgets = self._context.budget_by_policy
        budget = budgets.get(policy.name)
        if budget is None:
            burst = 2.0 * self._spec.group.shard_count
            budget = limits.LoadBudget(share=share, burst=burst)
            budgets[policy.name] = budget
        budget.set_share(share)
        return budget

    def _ask(self, task: _ShardTask) -> bool:
        """Asks one more replica; returns False when there is none."""
        context = self._context
        state = context.chooser.choose(
            self._replicas[task.shard],
            shard=task.shard,
            version=self._spec.snapshot.index_version,
            now=context.clock.monotonic(),
            avoid=task.asked,
        )
        lane = context.lane_by_leaf.get(state.leaf.id) if state else None
        if state is None or lane is None:
            if not task.attempts:
                self._miss(task, self._reason_without_replica(task))
            return False
        attempt = _Attempt(shard_task=task, state=state)
        attempt.lane = lane
        attempt.item = limits.LaneItem(
            deadline=self._spec.deadline,
            send=lambda: self._send(attempt),
            expire=lambda: self._expired(attempt),
        )
        task.asked.add(state.leaf.id)
        task.attempts.append(attempt)
        lane.submit(self._spec.service.name, attempt.item)
        return True

    def _reason_without_replica(self, task: _ShardTask) -> spec.MissReason:
        """Says why no replica was left for a shard."""
        if task.asked:
            return task.reason
        version = self._spec.snapshot.index_version
        state_by_id = self._context.board.leaves.state_by_id
        for leaf_id in self._replicas[task.shard]:
            state = state_by_id.get(leaf_id)
            if (
                state is not None
                and state.phase == board.LeafPhase.UP
                and version not in state.versions
            ):
                return spec.MissReason.VERSION_GONE
        return spec.MissReason.NO_REPLICA

    def _send(self, attempt: _Attempt) -> None:
        """Puts a call on its way; the lane has a place for it."""
        context = self._context
        task = attempt.shard_task
        attempt.item = None
        attempt.call_id = context.next_call_id()
        attempt.sent_at = context.clock.monotonic()
        task.made += 1
        self._result.calls += 1
        context.board.queries.leaf_calls += 1
        quantile = attempt.state.latency.quantile
        call = leaf.LeafCall(
            id=attempt.call_id,
            shard=task.shard,
            deadline=self._spec.deadline,
            repeatable=self._spec.service.repeatable,
            head=self._head,
            silence=max(_SILENCE_MIN_S, _SILENCE_FACTOR * quantile),
            on_reply=lambda reply: self._replied(attempt, reply),
        )
        context.transport.call(attempt.state.leaf.id, call)

    def _expired(self, attempt: _Attempt) -> None:
        """Handles a call whose deadline passed while it was queued."""
        attempt.item = None
        attempt.shard_task.attempts.remove(attempt)

    def _replied(self, attempt: _Attempt, reply: leaf.LeafReply) -> None:
        """Takes in the end of a call."""
        self._learn(attempt, reply)
        task = attempt.shard_task
        if attempt in task.attempts:
            task.attempts.remove(attempt)
        if not reply.status.proves_not_run:
            self._note_run(reply.status)
        if self._finished or task.done:
            return
        if reply.status == leaf.CallStatus.OK and self._fits(attempt, reply):
            self._take(task, attempt, reply)
            return
        self._next_attempt(task, attempt, reply)

    def _learn(self, attempt: _Attempt, reply: leaf.LeafReply) -> None:
        """Updates the lane and the leaf's row from a reply."""
        lane = attempt.lane
        if lane is None:
            return
        now = self._context.clock.monotonic()
        state = attempt.state
        if reply.status == leaf.CallStatus.OK:
            latency = now - attempt.sent_at
            state.latency.add(latency)
            lane.answered(latency)
        elif reply.status == leaf.CallStatus.SHED:
            lane.shed()
        elif reply.status == leaf.CallStatus.SILENT:
            state.latency.add(now - attempt.sent_at)
        if reply.status not in _CLIENT_SIDE:
            state.last_reply_at = now
            state.failures = 0
        lane.finished()

    def _note_run(self, status: leaf.CallStatus) -> None:
        """Keeps whether anything ran, for the report."""
        if status in (leaf.CallStatus.OK, leaf.CallStatus.FAILED):
            self._result.ran = base.Ran.YES
        else:
            self._unknown = True

    def _fits(self, attempt: _Attempt, reply: leaf.LeafReply) -> bool:
        """Tells whether an answer is of the pinned shard and snapshot."""
        snapshot = self._spec.snapshot
        fits = (
            reply.shard == attempt.shard_task.shard
            and reply.epoch == snapshot.epoch
            and reply.version == snapshot.index_version
            and self._merger.check(reply.result)
        )
        if not fits:
            self._context.log.emit(
                base.Event.LEAF_WRONG_ANSWER,
                leaf=attempt.state.leaf.id,
                query=self._spec.id,
                shard=reply.shard,
                epoch=reply.epoch,
                version=reply.version,
            )
        return fits

    def _take(
        self, task: _ShardTask, attempt: _Attempt, reply: leaf.LeafReply
    ) -> None:
        """Merges an answer and withdraws the shard's other calls."""
        task.done = True
        self._merger.add(reply.result)
        self._result.answered.append(task.shard)
        self._result.leaf_by_shard[task.shard] = attempt.state.leaf.id
        self._withdraw(task)
        self._close_one()

    def _next_attempt(
        self, task: _ShardTask, attempt: _Attempt, reply: leaf.LeafReply
    ) -> None:
        """Asks another replica after a call that gave no result."""
        status = reply.status
        task.reason = _REASON_BY_STATUS.get(status, spec.MissReason.FAILED)
        if reply.retry_after:
            self._result.retry_after = max(
                self._result.retry_after, reply.retry_after
            )
        if task.attempts:
            return
        if not self._may_repeat(status):
            self._miss(task, task.reason)
            return
        if status in _FREE_FAILOVER:
            self._ask(task)
            return
        if task.made >= _ATTEMPTS_MAX or not self._budget.take():
            self._miss(task, task.reason)
            return
        self._count_extra()
        if status == leaf.CallStatus.SHED and task.asked >= set(
            self._replicas[task.shard]
        ):
            task.asked.clear()
            delay = max(_SHED_BACKOFF_MIN_S, reply.retry_after)
            self._later(delay, self._ask_again, task)
            return
        if status in (leaf.CallStatus.LOST, leaf.CallStatus.SILENT):
            # The leaf may be well and only the connection gone.
            self._allow_same_leaf(task)
        self._ask(task)

    def _allow_same_leaf(self, task: _ShardTask) -> None:
        """Lets a shard without another replica ask the same leaf again."""
        others = set(self._replicas[task.shard]) - task.asked
        if not others:
            task.asked.clear()

    def _ask_again(self, task: _ShardTask) -> None:
        """Asks after a backoff."""
        if not self._finished and not task.done:
            self._ask(task)

    def _may_repeat(self, status: leaf.CallStatus) -> bool:
        """Tells whether the shard may be asked again after this end."""
        return self._spec.service.repeatable or status.proves_not_run

    def _count_extra(self) -> None:
        self._result.extra += 1
        self._context.board.queries.leaf_calls_extra += 1

    def _miss(self, task: _ShardTask, reason: spec.MissReason) -> None:
        """Ends a shard without a result."""
        task.done = True
        self._result.reason_by_missing[task.shard] = reason
        self._close_one()

    def _close_one(self) -> None:
        self._open -= 1
        if not self._open:
            self._finish()

    def _later(
        self, delay: float, callback: Callable[..., None], *args: Any
    ) -> None:
        timer = self._context.clock.call_later(delay, callback, *args)
        self._timers.append(timer)

    def _arm_hedge(self) -> None:
        """Sets one timer for the earliest hedge that will be due."""
        now = self._context.clock.monotonic()
        due = min(
            (self._hedge_due(task) for task in self._waiting_tasks()),
            default=None,
        )
        if due is None:
            due = now + _HEDGE_LOOK_S
        delay = max(_HEDGE_PERIOD_S, due - now)
        self._hedge_timer = self._context.clock.call_later(
            delay, self._check_hedges
        )

    def _waiting_tasks(self) -> list[_ShardTask]:
        """Returns the shards with a sent call and room for one more."""
        return [
            task
            for task in self._task_by_shard.values()
            if not task.done
            and 0 < task.made < _ATTEMPTS_MAX
            and task.attempts
            and all(attempt.sent_at for attempt in task.attempts)
        ]

    def _hedge_due(self, task: _ShardTask) -> float:
        latest = max(attempt.sent_at for attempt in task.attempts)
        delay = self._context.hedging.delay(self._replicas[task.shard])
        return latest + delay

    def _check_hedges(self) -> None:
        """Sends the hedges that are due, within the budget."""
        if self._finished:
            return
        now = self._context.clock.monotonic()
        due = [t for t in self._waiting_tasks() if self._hedge_due(t) <= now]
        slow = self._context.hedging.fleet_is_slow(
            late=len(due), total=len(self._task_by_shard)
        )
        for task in [] if slow else due:
            self._hedge(task)
        self._arm_hedge()

    def _hedge(self, task: _ShardTask) -> None:
        """Asks one more replica while the first call is out."""
        others = set(self._replicas[task.shard]) - task.asked
        if not others or not self._budget.take():
            return
        if self._ask(task):
            self._count_extra()
        else:
            self._budget.refund()

    def _withdraw(self, task: _ShardTask) -> None:
        """Withdraws the calls of a shard that are still out."""
        for attempt in task.attempts:
            if attempt.item is not None and attempt.lane is not None:
                attempt.lane.drop(attempt.item)
            elif attempt.call_id:
                self._context.transport.cancel(
                    attempt.state.leaf.id, attempt.call_id
                )
        task.attempts = []

    def _at_soft_deadline(self) -> None:
        """Ends a ``tail`` query that has its minimum coverage."""
        if self._finished:
            return
        total = len(self._task_by_shard)
        minimum = self._spec.policy.minimum_coverage * total
        if self._result.answered and len(self._result.answered) >= minimum:
            self._finish()

    def _at_deadline(self) -> None:
        if not self._finished:
            self._finish()

    def _finish(self) -> None:
        """Reports what is there and withdraws the rest."""
        if self._finished:
            return
        self._finished = True
        result = self._result
        for task in self._task_by_shard.values():
            if task.done:
                continue
            result.reason_by_missing[task.shard] = task.reason
            if any(attempt.sent_at for attempt in task.attempts):
                self._unknown = True
        self._stop()
        result.result = self._merger.result()
        if result.ran == base.Ran.NO and self._unknown:
            result.ran = base.Ran.UNKNOWN
        self._on_done(result)

    def _stop(self) -> None:
        """Cancels timers and calls."""
        for timer in self._timers:
            timer.cancel()
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for task in self._task_by_shard.values():
            if task.attempts:
                self._withdraw(task)


_HEDGE_PERIOD_S = 0.001
_HEDGE_LOOK_S = 0.020
_CLIENT_SIDE = frozenset(
    {
        leaf.CallStatus.NOT_SENT,
        leaf.CallStatus.LOST,
        leaf.CallStatus.SILENT,
        leaf.CallStatus.MALFORMED,
    }
)
