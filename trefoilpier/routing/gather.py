"""Gathers the answers of held shards for one query."""

from collections.abc import Callable, Iterable
from typing import Any

from trefoilpier import base, board, config, leaf, limits
from trefoilpier.leaf import codec
from trefoilpier.routing import attempt, context, hedger, merge, result, spec

_SHED_BACKOFF_MIN_S = 0.004
_SILENCE_FACTOR = 4.0
_SILENCE_MIN_S = 0.1
_BURST_PER_SHARD = 2.0


class Gather(hedger.HedgedGather):
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
        "_hedger",
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
        shared: context.GatherContext,
        query: spec.QuerySpec,
        shards: Iterable[int],
        on_done: Callable[[result.GatherResult], None],
    ) -> None:
        """Prepares a gather.

        Args:
            shared: What gathers of the node share.
            query: The pinned query.
            shards: The held shards to ask.
            on_done: Gets the result once.
        """
        self._context = shared
        self._spec = query
        self._on_done = on_done
        self._replicas = query.group.leaf_ids_by_shard
        self._task_by_shard = {s: attempt.ShardTask(shard=s) for s in shards}
        self._open = len(self._task_by_shard)
        self._merger = merge.Merger(
            merge=query.service.merge, limit=query.limit
        )
        self._result = result.GatherResult()
        self._finished = False
        self._unknown = False
        self._timers: list[base.Timer] = []
        self._budget = self._find_budget()
        self._hedger = hedger.Hedger(
            shared=shared,
            query=query,
            tasks=list(self._task_by_shard.values()),
            budget=self._budget,
            gather=self,
        )
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
        now = self._context.clock.monotonic()
        query = self._spec
        self._later(query.deadline - now, self._finish)
        if query.policy.mode == config.Mode.TAIL and query.soft_deadline > now:
            self._later(query.soft_deadline - now, self._at_soft_deadline)
        for task in list(self._task_by_shard.values()):
            self._budget.earn()
            self._ask_any(task)
        if query.service.repeatable and not self._finished:
            self._hedger.start()

    def cancel(self) -> None:
        """Withdraws every call; nothing is reported."""
        if not self._finished:
            self._finished = True
            self._stop()

    def ask(self, task: attempt.ShardTask, state: board.LeafState) -> bool:
        """Queues a call at a leaf; returns False if the leaf is not held."""
        lane = self._context.lane_by_leaf.get(state.leaf.id)
        if lane is None:
            return False
        made = attempt.Attempt(
            shard_task=task,
            state=state,
            lane=lane,
            now=self._context.clock.monotonic(),
        )
        made.item = limits.QueuedCall(
            deadline=self._spec.deadline,
            send=lambda: self._send(made),
            on_expired=lambda: task.attempts.remove(made),
        )
        task.attempts.append(made)
        lane.submit(self._spec.service.name, made.item)
        return True

    def withdraw(self, out: attempt.Attempt) -> None:
        """Withdraws a call that is queued or out."""
        out.shard_task.attempts.remove(out)
        if out.item is not None:
            out.lane.withdraw(out.item)
        else:
            self._context.transport.cancel(out.leaf_id, out.call_id)

    def count_extra(self) -> None:
        """Counts a call beyond the first ones."""
        self._result.extra += 1
        self._context.board.queries.leaf_calls_extra += 1

    def _find_budget(self) -> limits.LoadBudget:
        """Returns the policy's budget, made on first use."""
        policy = self._spec.policy
        share = policy.hedge_budget * self._spec.extra_share
        budgets = self._context.budget_by_policy
        budget = budgets.get(policy.name)
        if budget is None:
            burst = _BURST_PER_SHARD * self._spec.group.shard_count
            budget = limits.LoadBudget(share=share, burst=burst)
            budgets[policy.name] = budget
        budget.set_share(share)
        return budget

    def _ask_any(self, task: attempt.ShardTask) -> None:
        """Asks the best replica that can still be asked, or ends the shard."""
        state = self._context.chooser.choose(
            self._replicas[task.shard],
            shard=task.shard,
            version=self._spec.snapshot.index_version,
            now=self._context.clock.monotonic(),
            avoid=task.refused,
            asked=task.asked(),
        )
        if state is None or not self.ask(task, state):
            self._miss(task, self._reason_without_replica(task))

    def _reason_without_replica(
        self, task: attempt.ShardTask
    ) -> spec.MissReason:
        """Says why no replica was left for a shard."""
        if task.refused or task.made:
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

    def _send(self, out: attempt.Attempt) -> None:
        """Puts a call on its way; the lane has a place for it."""
        shared = self._context
        task = out.shard_task
        out.item = None
        out.call_id = shared.next_call_id()
        out.sent_at = shared.clock.monotonic()
        task.made += 1
        self._result.calls += 1
        shared.board.queries.leaf_calls += 1
        silence = _SILENCE_FACTOR * out.state.latency.quantile
        call = leaf.LeafCall(
            id=out.call_id,
            shard=task.shard,
            deadline=self._spec.deadline,
            repeatable=self._spec.service.repeatable,
            head=self._head,
            silence=max(_SILENCE_MIN_S, silence),
            on_reply=lambda reply: self._replied(out, reply),
        )
        shared.transport.call(out.leaf_id, call)

    def _replied(self, out: attempt.Attempt, reply: leaf.LeafReply) -> None:
        """Takes in the end of a call."""
        self._learn(out, reply)
        task = out.shard_task
        withdrawn = out not in task.attempts
        if not withdrawn:
            task.attempts.remove(out)
        if not reply.status.proves_not_run:
            self._note_run(reply.status)
        if self._finished or task.done:
            return
        if reply.status == leaf.CallStatus.OK and self._fits(out, reply):
            self._take(task, out, reply)
            return
        if not withdrawn:
            self._next_attempt(task, out, reply)

    def _learn(self, out: attempt.Attempt, reply: leaf.LeafReply) -> None:
        """Updates the lane and the leaf's row from a reply."""
        now = self._context.clock.monotonic()
        state = out.state
        latency = now - out.sent_at
        age = now - state.sampled_at
        if reply.status == leaf.CallStatus.OK:
            state.sampled_at = now
            state.latency.add(latency, age=age)
            out.lane.on_answer(latency)
        elif reply.status == leaf.CallStatus.SHED:
            out.lane.on_shed()
        elif reply.status == leaf.CallStatus.CANCELLED:
            state.sampled_at = now
            state.latency.add_unfinished(latency, age=age)
        if reply.status not in attempt.CLIENT_SIDE:
            state.last_reply_at = now
            state.failures = 0
        out.lane.on_call_ended()

    def _note_run(self, status: leaf.CallStatus) -> None:
        """Keeps whether anything ran, for the report."""
        if status in (leaf.CallStatus.OK, leaf.CallStatus.FAILED):
            self._result.ran = base.Ran.YES
        else:
            self._unknown = True

    def _fits(self, out: attempt.Attempt, reply: leaf.LeafReply) -> bool:
        """Tells whether an answer is of the pinned shard and snapshot."""
        snapshot = self._spec.snapshot
        fits = (
            reply.shard == out.shard_task.shard
            and reply.epoch == snapshot.epoch
            and reply.version == snapshot.index_version
            and self._merger.check(reply.result)
        )
        if not fits:
            self._context.log.emit(
                base.Event.LEAF_WRONG_ANSWER,
                leaf=out.leaf_id,
                query=self._spec.id,
                shard=reply.shard,
                epoch=reply.epoch,
                version=reply.version,
            )
        return fits

    def _take(
        self,
        task: attempt.ShardTask,
        out: attempt.Attempt,
        reply: leaf.LeafReply,
    ) -> None:
        """Merges an answer and withdraws the shard's other calls."""
        task.done = True
        self._merger.add(reply.result)
        self._result.answered.append(task.shard)
        self._result.leaf_by_shard[task.shard] = out.leaf_id
        self._withdraw_all(task)
        self._close_one()

    def _next_attempt(
        self,
        task: attempt.ShardTask,
        out: attempt.Attempt,
        reply: leaf.LeafReply,
    ) -> None:
        """Decides what follows a call that gave no result."""
        status = reply.status
        task.reason = attempt.REASON_BY_STATUS.get(
            status, spec.MissReason.FAILED
        )
        self._note_refusal(task, out, reply)
        if task.attempts:
            return
        if not self._may_repeat(status):
            self._miss(task, task.reason)
        elif status in attempt.FREE_FAILOVER:
            self._ask_any(task)
        elif task.made >= attempt.ATTEMPTS_MAX or not self._budget.take():
            self._miss(task, task.reason)
        elif status == leaf.CallStatus.SHED:
            self.count_extra()
            delay = task.not_before - self._context.clock.monotonic()
            self._later(delay, self._ask_after_backoff, task)
        else:
            self.count_extra()
            self._ask_any(task)

    def _note_refusal(
        self,
        task: attempt.ShardTask,
        out: attempt.Attempt,
        reply: leaf.LeafReply,
    ) -> None:
        """Keeps what a leaf's refusal means for the shard's next calls."""
        if reply.status in attempt.FREE_FAILOVER:
            task.refused.add(out.leaf_id)
        if reply.status != leaf.CallStatus.SHED:
            return
        task.made -= 1
        backoff = max(_SHED_BACKOFF_MIN_S, reply.retry_after)
        task.not_before = self._context.clock.monotonic() + backoff
        self._result.retry_after = max(
            self._result.retry_after, reply.retry_after
        )

    def _ask_after_backoff(self, task: attempt.ShardTask) -> None:
        if not self._finished and not task.done:
            self._ask_any(task)

    def _may_repeat(self, status: leaf.CallStatus) -> bool:
        """Tells whether the shard may be asked again after this end."""
        return self._spec.service.repeatable or status.proves_not_run

    def _miss(self, task: attempt.ShardTask, reason: spec.MissReason) -> None:
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

    def _withdraw_all(self, task: attempt.ShardTask) -> None:
        for out in list(task.attempts):
            self.withdraw(out)

    def _at_soft_deadline(self) -> None:
        """Ends a ``tail`` query that has its minimum coverage."""
        total = len(self._task_by_shard)
        answered = len(self._result.answered)
        if answered and answered >= self._spec.policy.minimum_coverage * total:
            self._finish()

    def _finish(self) -> None:
        """Reports what is there and withdraws the rest."""
        if self._finished:
            return
        self._finished = True
        final = self._result
        for task in self._task_by_shard.values():
            if task.done:
                continue
            final.reason_by_missing[task.shard] = task.reason
            if any(out.sent_at for out in task.attempts):
                self._unknown = True
        self._stop()
        final.result = self._merger.result()
        if final.ran == base.Ran.NO and self._unknown:
            final.ran = base.Ran.UNKNOWN
        self._on_done(final)

    def _stop(self) -> None:
        """Cancels timers and calls."""
        for timer in self._timers:
            timer.cancel()
        self._hedger.stop()
        for task in self._task_by_shard.values():
            self._withdraw_all(task)
