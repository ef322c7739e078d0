"""Scatter-gather of one query over the shards that this node holds."""

from collections.abc import Callable, Iterable
from typing import Any

from trefoilpier import base, board, config, leaf, limits
from trefoilpier.leaf import codec
from trefoilpier.routing import attempt, context, hedger, merge, result, spec

_SHED_RETRY_DELAY_MIN_S = 0.004
_SILENCE_TIMEOUT_FACTOR = 4.0
_SILENCE_TIMEOUT_MIN_S = 0.1
_EXTRA_CALL_BURST_PER_SHARD = 2.0


class Gather(hedger.HedgedGather):
    """One query on held shards, ending in one merged partial answer.

    Each shard is queried at one replica. Another replica is queried as a
    retry, or as a hedge. Results of another snapshot, shard or partitioning
    are never merged. The merged answer is reported when every shard has
    ended, at the soft deadline of a ``tail`` query if the minimum coverage is
    reached, or at the deadline.
    """

    __slots__ = (
        "_budget",
        "_context",
        "_finished",
        "_request_head",
        "_hedger",
        "_merger",
        "_on_done",
        "_unfinished_shards",
        "_leaf_ids_by_shard",
        "_result",
        "_query",
        "_task_by_shard",
        "_timers",
        "_may_have_run",
    )

    def __init__(
        self,
        *,
        gather_context: context.GatherContext,
        query: spec.QuerySpec,
        shards: Iterable[int],
        on_done: Callable[[result.GatherResult], None],
    ) -> None:
        """Initialize the gather without sending calls.

        Args:
            gather_context: State shared by all gathers of the node.
            query: The pinned query.
            shards: The held shards to query.
            on_done: Called once with the result.
        """
        self._context = gather_context
        self._query = query
        self._on_done = on_done
        self._leaf_ids_by_shard = query.group.leaf_ids_by_shard
        self._task_by_shard = {s: attempt.ShardTask(shard=s) for s in shards}
        self._unfinished_shards = len(self._task_by_shard)
        self._merger = merge.Merger(
            merge=query.service.merge, limit=query.limit
        )
        self._result = result.GatherResult()
        self._finished = False
        self._may_have_run = False
        self._timers: list[base.Timer] = []
        self._budget = self._policy_budget()
        self._hedger = hedger.Hedger(
            gather_context=gather_context,
            query=query,
            tasks=list(self._task_by_shard.values()),
            budget=self._budget,
            gather=self,
        )
        self._request_head = codec.encode_body_prefix(
            service=query.service.name,
            epoch=query.snapshot.epoch,
            version=query.snapshot.index_version,
            repeatable=query.service.repeatable,
            key=query.idempotency_key,
            query=query.query,
        )

    def start(self) -> None:
        """Submit the first call for each shard."""
        now = self._context.clock.monotonic()
        query = self._query
        self._call_later(query.deadline - now, self._finish)
        if query.policy.mode == config.Mode.TAIL and query.soft_deadline > now:
            self._call_later(query.soft_deadline - now, self._at_soft_deadline)
        for task in list(self._task_by_shard.values()):
            self._budget.earn()
            self._submit_to_best_replica(task)
        if query.service.repeatable and not self._finished:
            self._hedger.start()

    def cancel(self) -> None:
        """Cancel every call without reporting a result."""
        if not self._finished:
            self._finished = True
            self._stop()

    def submit_attempt(
        self, task: attempt.ShardTask, leaf_state: board.LeafState
    ) -> bool:
        """Submit a call to a leaf; return False if the leaf is not held."""
        leaf_queue = self._context.queue_by_leaf.get(leaf_state.leaf.id)
        if leaf_queue is None:
            return False
        new_attempt = attempt.Attempt(
            shard_task=task,
            leaf_state=leaf_state,
            leaf_queue=leaf_queue,
            now=self._context.clock.monotonic(),
        )
        new_attempt.queued_call = limits.QueuedCall(
            deadline=self._query.deadline,
            send=lambda: self._send(new_attempt),
            on_expired=lambda: task.pending_attempts.remove(new_attempt),
        )
        task.pending_attempts.append(new_attempt)
        leaf_queue.submit(self._query.service.name, new_attempt.queued_call)
        return True

    def cancel_attempt(self, shard_attempt: attempt.Attempt) -> None:
        """Cancel a queued or in-flight call."""
        shard_attempt.shard_task.pending_attempts.remove(shard_attempt)
        if shard_attempt.queued_call is not None:
            shard_attempt.leaf_queue.withdraw(shard_attempt.queued_call)
        else:
            self._context.transport.cancel(
                shard_attempt.leaf_id, shard_attempt.call_id
            )

    def count_extra_call(self) -> None:
        """Count a hedge or retry."""
        self._result.extra_calls += 1
        self._context.board.queries.leaf_calls_extra += 1

    def _policy_budget(self) -> limits.ExtraCallBudget:
        """Return the policy's budget, creating it on first use."""
        policy = self._query.policy
        share = policy.hedge_budget * self._query.extra_share
        budgets = self._context.budget_by_policy
        budget = budgets.get(policy.name)
        if budget is None:
            burst = _EXTRA_CALL_BURST_PER_SHARD * self._query.group.shard_count
            budget = limits.ExtraCallBudget(share=share, burst=burst)
            budgets[policy.name] = budget
        budget.set_share(share)
        return budget

    def _submit_to_best_replica(self, task: attempt.ShardTask) -> None:
        """Submit a call to the best eligible replica, or end the shard."""
        leaf_state = self._context.chooser.choose(
            self._leaf_ids_by_shard[task.shard],
            shard=task.shard,
            version=self._query.snapshot.index_version,
            now=self._context.clock.monotonic(),
            excluded=task.excluded_leaf_ids,
            pending=task.pending_leaf_ids(),
        )
        if leaf_state is None or not self.submit_attempt(task, leaf_state):
            self._mark_missing(task, self._no_replica_reason(task))

    def _no_replica_reason(self, task: attempt.ShardTask) -> spec.MissReason:
        """Return why no replica of a shard is eligible."""
        if task.excluded_leaf_ids or task.attempts_sent:
            return task.miss_reason
        version = self._query.snapshot.index_version
        state_by_id = self._context.board.leaves.state_by_id
        for leaf_id in self._leaf_ids_by_shard[task.shard]:
            leaf_state = state_by_id.get(leaf_id)
            if (
                leaf_state is not None
                and leaf_state.phase == board.LeafPhase.UP
                and version not in leaf_state.versions
            ):
                return spec.MissReason.VERSION_GONE
        return spec.MissReason.NO_REPLICA

    def _send(self, shard_attempt: attempt.Attempt) -> None:
        """Send a call; its queue has reserved a slot for it."""
        shared = self._context
        task = shard_attempt.shard_task
        shard_attempt.queued_call = None
        shard_attempt.call_id = shared.next_call_id()
        shard_attempt.sent_at = shared.clock.monotonic()
        task.attempts_sent += 1
        self._result.calls += 1
        shared.board.queries.leaf_calls += 1
        silence = (
            _SILENCE_TIMEOUT_FACTOR * shard_attempt.leaf_state.latency.quantile
        )
        call = leaf.LeafCall(
            id=shard_attempt.call_id,
            shard=task.shard,
            deadline=self._query.deadline,
            repeatable=self._query.service.repeatable,
            body_prefix=self._request_head,
            silence_timeout=max(_SILENCE_TIMEOUT_MIN_S, silence),
            on_reply=lambda reply: self._on_reply(shard_attempt, reply),
        )
        shared.transport.call(shard_attempt.leaf_id, call)

    def _on_reply(
        self, shard_attempt: attempt.Attempt, reply: leaf.LeafReply
    ) -> None:
        """Process the reply to a call, or its failure."""
        self._update_leaf_state(shard_attempt, reply)
        task = shard_attempt.shard_task
        cancelled = shard_attempt not in task.pending_attempts
        if not cancelled:
            task.pending_attempts.remove(shard_attempt)
        if not reply.status.proves_not_run:
            self._record_execution(reply.status)
        if self._finished or task.done:
            return
        if reply.status == leaf.CallStatus.OK and self._matches_query(
            shard_attempt, reply
        ):
            self._accept_result(task, shard_attempt, reply)
            return
        if not cancelled:
            self._retry_or_miss(task, shard_attempt, reply)

    def _update_leaf_state(
        self, shard_attempt: attempt.Attempt, reply: leaf.LeafReply
    ) -> None:
        """Update the queue and the leaf's state from a reply."""
        now = self._context.clock.monotonic()
        leaf_state = shard_attempt.leaf_state
        latency = now - shard_attempt.sent_at
        age = now - leaf_state.sampled_at
        if reply.status == leaf.CallStatus.OK:
            leaf_state.sampled_at = now
            leaf_state.latency.add(latency, age=age)
            shard_attempt.leaf_queue.on_answer(latency)
        elif reply.status == leaf.CallStatus.SHED:
            shard_attempt.leaf_queue.on_shed()
        elif reply.status == leaf.CallStatus.CANCELLED:
            leaf_state.sampled_at = now
            leaf_state.latency.add_cancelled(latency, age=age)
        if reply.status not in attempt.NO_VALID_REPLY_STATUSES:
            leaf_state.last_reply_at = now
            leaf_state.failures = 0
        shard_attempt.leaf_queue.on_call_ended()

    def _record_execution(self, status: leaf.CallStatus) -> None:
        """Record whether a leaf ran the call, for the result's ``ran``."""
        if status in (leaf.CallStatus.OK, leaf.CallStatus.FAILED):
            self._result.ran = base.Ran.YES
        else:
            self._may_have_run = True

    def _matches_query(
        self, shard_attempt: attempt.Attempt, reply: leaf.LeafReply
    ) -> bool:
        """Return whether an answer is for the requested shard and snapshot."""
        snapshot = self._query.snapshot
        matches = (
            reply.shard == shard_attempt.shard_task.shard
            and reply.epoch == snapshot.epoch
            and reply.version == snapshot.index_version
            and self._merger.accepts(reply.result)
        )
        if not matches:
            self._context.log.emit(
                base.Event.LEAF_WRONG_ANSWER,
                leaf=shard_attempt.leaf_id,
                query=self._query.id,
                shard=reply.shard,
                epoch=reply.epoch,
                version=reply.version,
            )
        return matches

    def _accept_result(
        self,
        task: attempt.ShardTask,
        shard_attempt: attempt.Attempt,
        reply: leaf.LeafReply,
    ) -> None:
        """Merge an answer and cancel the shard's other calls."""
        task.done = True
        self._merger.add(reply.result)
        self._result.answered.append(task.shard)
        self._result.leaf_by_shard[task.shard] = shard_attempt.leaf_id
        self._cancel_attempts(task)
        self._on_shard_ended()

    def _retry_or_miss(
        self,
        task: attempt.ShardTask,
        shard_attempt: attempt.Attempt,
        reply: leaf.LeafReply,
    ) -> None:
        """Retry the shard or mark it missing, after a call without a result."""
        status = reply.status
        task.miss_reason = attempt.MISS_REASON_BY_STATUS.get(
            status, spec.MissReason.FAILED
        )
        self._record_refusal(task, shard_attempt, reply)
        if task.pending_attempts:
            return
        if not self._may_retry(status):
            self._mark_missing(task, task.miss_reason)
        elif status in attempt.UNBUDGETED_RETRY_STATUSES:
            self._submit_to_best_replica(task)
        elif (
            task.attempts_sent >= attempt.ATTEMPTS_MAX
            or not self._budget.take()
        ):
            self._mark_missing(task, task.miss_reason)
        elif status == leaf.CallStatus.SHED:
            self.count_extra_call()
            delay = task.not_before - self._context.clock.monotonic()
            self._call_later(delay, self._retry_after_backoff, task)
        else:
            self.count_extra_call()
            self._submit_to_best_replica(task)

    def _record_refusal(
        self,
        task: attempt.ShardTask,
        shard_attempt: attempt.Attempt,
        reply: leaf.LeafReply,
    ) -> None:
        """Record an excluded leaf or a retry delay after a refusal."""
        if reply.status in attempt.UNBUDGETED_RETRY_STATUSES:
            task.excluded_leaf_ids.add(shard_attempt.leaf_id)
        if reply.status != leaf.CallStatus.SHED:
            return
        task.attempts_sent -= 1
        backoff = max(_SHED_RETRY_DELAY_MIN_S, reply.retry_after)
        task.not_before = self._context.clock.monotonic() + backoff
        self._result.retry_after = max(
            self._result.retry_after, reply.retry_after
        )

    def _retry_after_backoff(self, task: attempt.ShardTask) -> None:
        if not self._finished and not task.done:
            self._submit_to_best_replica(task)

    def _may_retry(self, status: leaf.CallStatus) -> bool:
        """Return whether the shard may be retried after this status."""
        return self._query.service.repeatable or status.proves_not_run

    def _mark_missing(
        self, task: attempt.ShardTask, reason: spec.MissReason
    ) -> None:
        """End a shard without a result."""
        task.done = True
        self._result.reason_by_missing[task.shard] = reason
        self._on_shard_ended()

    def _on_shard_ended(self) -> None:
        self._unfinished_shards -= 1
        if not self._unfinished_shards:
            self._finish()

    def _call_later(
        self, delay: float, callback: Callable[..., None], *args: Any
    ) -> None:
        timer = self._context.clock.call_later(delay, callback, *args)
        self._timers.append(timer)

    def _cancel_attempts(self, task: attempt.ShardTask) -> None:
        for shard_attempt in list(task.pending_attempts):
            self.cancel_attempt(shard_attempt)

    def _at_soft_deadline(self) -> None:
        """End a ``tail`` query if the minimum coverage is reached."""
        total = len(self._task_by_shard)
        answered = len(self._result.answered)
        if answered and answered >= self._query.policy.minimum_coverage * total:
            self._finish()

    def _finish(self) -> None:
        """Report the results received so far and cancel all other calls."""
        if self._finished:
            return
        self._finished = True
        gather_result = self._result
        for task in self._task_by_shard.values():
            if task.done:
                continue
            gather_result.reason_by_missing[task.shard] = task.miss_reason
            if any(
                shard_attempt.sent_at for shard_attempt in task.pending_attempts
            ):
                self._may_have_run = True
        self._stop()
        gather_result.result = self._merger.result()
        if gather_result.ran == base.Ran.NO and self._may_have_run:
            gather_result.ran = base.Ran.UNKNOWN
        self._on_done(gather_result)

    def _stop(self) -> None:
        """Cancel all timers and calls."""
        for timer in self._timers:
            timer.cancel()
        self._hedger.stop()
        for task in self._task_by_shard.values():
            self._cancel_attempts(task)
