"""A request to one service, with retries and hedging."""

from collections.abc import Callable

from trefoilpier import base, replicas
from trefoilpier.forward import (
    attempts,
    environment,
    hedge_timer,
    hedging,
    request_context,
    service_leaves,
    service_result,
    wait_queue,
)
from trefoilpier.forward import wire as wires

_BARRED_REASON = "request crashes leaves"
_EVACUATED_REASON = "all leaves are in evacuated zones"
_EXPIRED_REASON = "no leaf had free capacity in time"


class ServiceCall(wait_queue.QueuedCall):
    """A request to one service, sent to its leaves until one answers.

    A repeatable request is sent to another leaf when the first is late or has
    failed, within the route's attempts and the service's retry budget. Other
    requests are sent again only if no leaf has run them.

    Attributes:
        hedge_outcome: What became of the call's hedge.
        ran: Whether a leaf ran, or may have run, the request, as far as calls
            have ended.
    """

    __slots__ = (
        "_attempts",
        "_call_by_leaf",
        "_context",
        "_done",
        "_env",
        "_failed_answer",
        "_hedge_scheduled",
        "_hedge_timer",
        "_leaves",
        "_on_done",
        "_queue",
        "_reason",
        "_service",
        "hedge_outcome",
        "ran",
    )

    def __init__(
        self,
        *,
        env: environment.ForwardEnvironment,
        context: request_context.RequestContext,
        service: str,
        timer: hedge_timer.HedgeTimer,
        on_done: Callable[["ServiceCall", service_result.ServiceResult], None],
    ) -> None:
        """Create the call; `start` sends it.

        Args:
            env: State and services of the VM.
            context: State that all calls of the request share.
            service: Name of the service.
            timer: Timer of the request's hedges, cancelled by its owner.
            on_done: Called once with the result.
        """
        self._env = env
        self._context = context
        self._service = service
        self._leaves = service_leaves.ServiceLeaves(env=env, service=service)
        self._on_done = on_done
        self._call_by_leaf: dict[
            str, tuple[replicas.LeafPool, replicas.LeafCall]
        ] = {}
        self._attempts = attempts.Attempts(
            attempts_max=context.route.attempts_max
        )
        self._failed_answer: tuple[wires.LeafAnswer, str] | None = None
        self._hedge_timer = timer
        self._hedge_scheduled = False
        self._done = False
        # The queue that the call waits in, if it does.
        self._queue: wait_queue.WaitQueue | None = None
        self._reason = ""
        self.hedge_outcome = hedging.HedgeOutcome.NOT_DUE
        self.ran = base.Ran.NO

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def tried_leaf_ids(self) -> list[str]:
        """Ids of the leaves chosen so far, for the log."""
        return sorted(self._attempts.tried_leaf_ids)

    @property
    def sends(self) -> int:
        """Number of leaves to which the request was sent."""
        return self._attempts.sends

    def start(self) -> None:
        """Start the call."""
        self._env.budget_for(self._service).record_request()
        self._send_or_enqueue()

    @property
    def queued(self) -> bool:
        """Whether the call waits for a leaf with free capacity."""
        return self._queue is not None

    def try_start(self) -> bool:
        """Send the request if a leaf has free capacity.

        Returns:
            False if no leaf has.
        """
        if self._env.is_barred(self._context):
            self._leave_queue()
            self._finish_failed(_BARRED_REASON)
            return True
        if self._is_expired():
            self._leave_queue()
            self._finish_failed(self._reason or _EXPIRED_REASON)
            return True
        if self._env.is_held_back(self._context, self._resume_sending):
            self._leave_queue()
            return True
        chosen = self._leaves.choose(self._attempts.tried_leaf_ids)
        if chosen is None and self._env.registry.is_evacuated(self._service):
            self._leave_queue()
            self._finish_failed(_EVACUATED_REASON)
            return True
        if chosen is None:
            self._leaves.notify_when_sendable()
            return False
        self._leave_queue()
        self._send(chosen)
        return True

    def _is_expired(self) -> bool:
        """Return whether the time left is too short for most answers.

        During a burst, slots are needed for calls that can be answered.
        """
        if not self._env.policy.expire_queued:
            return False
        time_left_s = self._context.deadline - self._env.clock.monotonic()
        median_latency_s = self._env.latency_for(self._context.route).median_s
        return time_left_s < median_latency_s

    def _leave_queue(self) -> None:
        queue, self._queue = self._queue, None
        if queue is not None:
            queue.remove(self)

    def _send_or_enqueue(self) -> None:
        """Send to the best leaf, or queue until one has free capacity."""
        if self._env.is_barred(self._context):
            self._finish_failed(_BARRED_REASON)
            return
        if self._env.is_held_back(self._context, self._resume_sending):
            return
        chosen = self._leaves.choose(self._attempts.tried_leaf_ids)
        if chosen is not None:
            self._send(chosen)
            return
        wait_s = self._leaves.shortest_wait_s(self._attempts.tried_leaf_ids)
        if wait_s is None:
            self._finish_failed(self._reason or "no leaf is usable")
            return
        if self._env.clock.monotonic() + wait_s >= self._context.deadline:
            self._finish_failed("no leaf takes a request before the deadline")
            return
        self._queue = self._env.queue_for(self._service)
        self._queue.enqueue(
            self,
            priority=self._context.priority,
            objective_deadline=self._context.objective_deadline,
        )
        self._leaves.notify_when_sendable()

    def _resume_sending(self) -> None:
        """Send the request after it was decided whether it crashes leaves."""
        if not self._done and not self._call_by_leaf and not self.queued:
            self._send_or_enqueue()

    def _send(self, pool: replicas.LeafPool) -> None:
        leaf_id = pool.entry.id
        self._attempts.tried_leaf_ids.add(leaf_id)
        context = self._context

        def encode_request() -> bytes | None:
            time_left_s = context.deadline - self._env.clock.monotonic()
            if time_left_s <= 0.001 or self._done:
                return None
            if self._env.is_held_back(context):
                return None
            self._attempts.sends += 1
            context.sent = True
            self._env.record_send(extra=self._attempts.sends > 1)
            return self._env.wire.encode(
                context.template, leaf_id=leaf_id, wait_s=time_left_s
            )

        call = replicas.LeafCall(
            method=context.request.method,
            request_id=context.metadata.id,
            repeatable=context.route.repeatable,
            median_latency_s=self._env.latency_for(context.route).median_s,
            encode_request=encode_request,
            on_end=self._handle_call_end,
            identity=context.identity,
            suspect=context.may_crash_leaves,
        )
        self._call_by_leaf[leaf_id] = (pool, call)
        if not self._hedge_scheduled and self._may_hedge():
            self._hedge_scheduled = True
            self._hedge_timer.schedule(
                self._env.latency_for(context.route).hedge_after_s,
                self._hedge,
            )
        pool.start(call)

    def _may_hedge(self) -> bool:
        return self._context.route.repeatable and self._env.policy.hedging

    def _hedge(self) -> None:
        """Send the request to another leaf while the first is late."""
        if self._done:
            return
        if self._context.may_crash_leaves_of(
            self._service
        ) or self._env.is_held_back(self._context):
            self.hedge_outcome = hedging.HedgeOutcome.SUSPECT
            return
        tried = self._attempts.tried_leaf_ids
        useless = self._useless_leaf_ids()
        chosen = self._leaves.choose(tried | useless)
        leaf_useful = chosen is not None or not useless
        obstacle = hedging.obstacle(
            hedging.HedgeState(
                in_flight=bool(self._call_by_leaf) and not self.queued,
                attempt_left=self._has_attempts_left(),
                other_usable=self._leaves.shortest_wait_s(tried) is not None,
                leaf_free=chosen is not None or not leaf_useful,
                leaf_useful=leaf_useful,
            )
        )
        if obstacle is not None or chosen is None:
            self.hedge_outcome = obstacle or hedging.HedgeOutcome.NO_CAPACITY
            return
        reserved_share = self._env.policy.hedge_reserved_share
        budget = self._env.budget_for(self._service)
        if not budget.try_acquire(reserved_share=reserved_share):
            self.hedge_outcome = hedging.HedgeOutcome.NO_BUDGET
            return
        self.hedge_outcome = hedging.HedgeOutcome.SENT
        self._send(chosen)

    def _useless_leaf_ids(self) -> frozenset[str]:
        """Return the leaves where a hedge would not overtake the late call."""
        if not self._env.policy.hedge_only_if_useful or not self._call_by_leaf:
            return frozenset()
        pool, call = next(iter(self._call_by_leaf.values()))
        return self._leaves.useless_ids(
            pool, call, tried=self._attempts.tried_leaf_ids
        )

    def _has_attempts_left(self) -> bool:
        unsent = sum(
            1 for _, call in self._call_by_leaf.values() if not call.sent_at
        )
        return self._attempts.has_left(unsent_count=unsent)

    def _pop_pool(self, call: replicas.LeafCall) -> replicas.LeafPool:
        for leaf_id, (pool, leaf_call) in self._call_by_leaf.items():
            if leaf_call is call:
                del self._call_by_leaf[leaf_id]
                return pool
        raise LookupError("call does not belong to this request")

    def _handle_call_end(
        self, call: replicas.LeafCall, result: replicas.CallResult
    ) -> None:
        """Handle the end of one call to a leaf."""
        pool = self._pop_pool(call)
        now = self._env.clock.monotonic()
        if result.end is replicas.CallEnd.NOT_SENT:
            self._reason = result.reason
            self._retry_not_sent()
            return
        if result.end is replicas.CallEnd.LOST:
            pool.stats.record_failure(now)
            if result.disconnected:
                self._context.lost_count += 1
            if call.loss is not None:
                self._context.losses.append(call.loss)
                if call.sent_in_contact and not pool.leaving:
                    self._env.record_lost(self._context, pool.entry, call.loss)
            self._env.log_lost_call(self._context, pool.entry.id, result.reason)
            self.ran = base.Ran.UNKNOWN
            self._reason = result.reason
            self._retry_failed()
            return
        assert result.response is not None
        answer = self._env.wire.read_answer(result.response)
        self._handle_answer(pool, call, answer, now)

    def _handle_answer(
        self,
        pool: replicas.LeafPool,
        call: replicas.LeafCall,
        answer: wires.LeafAnswer,
        now: float,
    ) -> None:
        if answer.load is not None:
            pool.record_load(answer.load, now - call.sent_at)
        if not answer.wrong_leaf:
            pool.end_detector.record_answer(call.sent_at)
            self._leaves.apply_notices(pool, answer)
        if answer.wrong_leaf:
            self._env.registry.remove_replaced(pool.entry.id)
            self._reason = "another leaf now uses the address"
            self._retry_not_run()
            return
        if answer.not_run:
            pool.stats.record_shed(now)
            self._reason = (
                f"leaf rejected request with status {answer.response.status}"
            )
            self._retry_not_run()
            return
        self.ran = base.Ran.YES
        if answer.failed:
            pool.stats.record_failure(now)
            self._reason = f"leaf failed with status {answer.response.status}"
            if answer.seal is not None:
                self._failed_answer = (answer, pool.entry.id)
            self._retry_failed()
            return
        self._env.record_answer(self._context, self._service)
        elapsed_s = now - call.sent_at
        estimator = self._env.latency_for(self._context.route)
        pool.stats.record_success(
            now=now,
            relative_latency=elapsed_s / estimator.median_s,
            sent_at=call.sent_at,
        )
        estimator.add(elapsed_s)
        self._finish(
            service_result.ServiceResult(
                answer=answer, ran=self.ran, leaf_id=pool.entry.id
            )
        )

    def _retry_not_sent(self) -> None:
        if self._done or self._call_by_leaf:
            return
        if self._attempts.may_retry_after_connect_failure():
            self._send_or_enqueue()
            return
        self._finish_failed(self._reason)

    def _retry_not_run(self) -> None:
        self._attempts.record_not_run()
        if self._done or self._call_by_leaf:
            return
        if (
            self._attempts.may_retry_after_rejection()
            and self._env.budget_for(self._service).try_acquire()
        ):
            self._send_or_enqueue()
            return
        self._finish_failed(self._reason)

    def _retry_failed(self) -> None:
        if self._done or self._call_by_leaf:
            return
        if (
            self._context.route.repeatable
            and self._has_attempts_left()
            and not self._env.is_barred(self._context)
        ):
            if self._env.is_held_back(self._context, self._retry_failed):
                return
            if self._env.budget_for(self._service).try_acquire():
                self._send_or_enqueue()
                return
        self._finish_failed(self._reason)

    def _finish_failed(self, reason: str) -> None:
        if self._done:
            return
        answer, leaf_id = self._failed_answer or (None, "")
        self._finish(
            service_result.ServiceResult(
                answer=answer, ran=self.ran, leaf_id=leaf_id, reason=reason
            )
        )

    def _finish(self, result: service_result.ServiceResult) -> None:
        if self._done:
            return
        self.cancel_calls()
        self._on_done(self, result)

    def run_state(self) -> base.Ran:
        """Return whether a leaf has run, or may have run, the request."""
        if any(call.sent_at for _, call in self._call_by_leaf.values()):
            return base.Ran.UNKNOWN
        return self.ran

    def cancel_calls(self) -> None:
        """End without a result.

        Calls already sent are cancelled after a short delay.
        """
        if self._done:
            return
        self._done = True
        self._leave_queue()
        for pool, call in list(self._call_by_leaf.values()):
            if not call.sent_at:
                pool.cancel_call(call)
                self._call_by_leaf.pop(pool.entry.id, None)
        if self._call_by_leaf:
            self._env.clock.call_later(
                self._env.policy.cancel_delay_s, self._cancel_remaining
            )

    def _cancel_remaining(self) -> None:
        """Cancel calls that have not completed since the request ended."""
        now = self._env.clock.monotonic()
        remaining, self._call_by_leaf = self._call_by_leaf, {}
        for pool, call in remaining.values():
            median_latency_s = self._env.latency_for(
                self._context.route
            ).median_s
            relative_latency = (now - call.sent_at) / median_latency_s
            pool.stats.record_cancelled(
                now=now,
                relative_latency=relative_latency,
                sent_at=call.sent_at,
            )
            pool.cancel_call(call)
