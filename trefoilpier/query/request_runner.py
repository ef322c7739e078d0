"""Execution of callers' requests on the entry VM."""

import dataclasses
import datetime
from collections.abc import Callable

from trefoilpier import base, board, config, idempotency, limits, peer, routing
from trefoilpier.query import access, fanout, outcome, run_state
from trefoilpier.query import peer_client as peer_clients

_VERSIONS_QUERY_TIMEOUT_S = 0.1
_RESTART_MIN_REMAINING_S = 0.01
_ENTRY_RETRY_BUDGET_FRACTION = 0.2
_RETRY_BUDGET_BURST_TOKENS = 20.0
_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=100)
_NO_CONFIG_RETRY_AFTER = datetime.timedelta(seconds=1)


class RequestRunner:
    """Coordinator of the requests that callers send to this VM.

    It admits a request, claims its idempotency key if it has to, pins its
    snapshot, fans it out and reports exactly one outcome.
    """

    __slots__ = (
        "_admission",
        "_board",
        "_retry_budget_by_policy",
        "_claims",
        "_clock",
        "_context",
        "_latency_by_node",
        "_log",
        "_placement",
        "_peer_client",
        "_snapshots",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        clock: base.Clock,
        log: base.EventLog,
        context: routing.GatherContext,
        placement: routing.Placement,
        snapshots: routing.SnapshotTracker,
        peer_client: peer_clients.PeerClient,
        admission: limits.Admission,
        claims: idempotency.Claims,
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._log = log
        self._context = context
        self._placement = placement
        self._snapshots = snapshots
        self._peer_client = peer_client
        self._admission = admission
        self._claims = claims
        self._retry_budget_by_policy: dict[str, limits.ExtraCallBudget] = {}
        self._latency_by_node: dict[str, board.LatencyTracker] = {}

    def run(
        self,
        request: outcome.Request,
        on_done: Callable[[outcome.Outcome], None],
    ) -> Callable[[], None]:
        """Run a request.

        Args:
            request: The request.
            on_done: Called exactly once with the outcome, possibly before
                this method returns.

        Returns:
            A function to call if the caller disconnects. It cancels the
            request if the service is repeatable.
        """
        current = self._board.config.current
        if current is None:
            self._refuse(
                request,
                on_done,
                base.Failure(
                    code=base.ResultCode.NO_CONFIGURATION,
                    detail="this VM has not loaded a configuration yet",
                    retry_after=_NO_CONFIG_RETRY_AFTER,
                ),
            )
            return _no_op
        service = current.service_by_name.get(request.service)
        if service is None:
            self._refuse(
                request,
                on_done,
                base.Failure(
                    code=base.ResultCode.UNKNOWN_SERVICE,
                    detail=f"unknown service {request.service!r}",
                ),
            )
            return _no_op
        account = access.find_account(current, service, request)
        if account.is_error():
            self._refuse(request, on_done, account.error)
            return _no_op
        if account.ok:
            # Capacity is shared fairly between accounts, whatever name the
            # caller states.
            request = dataclasses.replace(request, caller=account.ok)
        run = self._make_run(request, current, service, on_done)
        admission_result = self._admission.admit(
            service=service,
            group=run.group,
            policy=run.policy,
            caller=request.caller,
            remaining=run.deadline - run.started_at,
        )
        if admission_result.is_error():
            self._refuse(request, on_done, admission_result.error)
            return _no_op
        self._increment_in_flight(run)
        if service.repeatable or not request.key:
            self._pin_snapshot(run)
        else:
            self._claim_key(run)
        return lambda: self._cancel(run)

    def _make_run(
        self,
        request: outcome.Request,
        current: config.ConfigSet,
        service: config.Service,
        on_done: Callable[[outcome.Outcome], None],
    ) -> run_state.Run:
        """Return the state of a new request, with its configuration pinned."""
        now = self._clock.monotonic()
        group = current.shard_group_by_name[service.shard_group]
        latest = now + service.deadline.total_seconds()
        deadline = latest
        if request.deadline is not None:
            deadline = min(latest, request.deadline)
        shards = tuple(range(group.shard_count))
        if service.merge == config.Merge.SINGLE:
            shards = (service.shard_of(request.route, group.shard_count),)
        return run_state.Run(
            request=request,
            service=service,
            group=group,
            policy=current.policy_by_name[service.policy],
            config_version=current.version,
            deadline=deadline,
            started_at=now,
            shards=shards,
            on_done=on_done,
        )

    def _increment_in_flight(self, run: run_state.Run) -> None:
        queries = self._board.queries
        queries.in_flight += 1
        caller = run.request.caller
        by_caller = queries.in_flight_by_caller
        by_caller[caller] = by_caller.get(caller, 0) + 1

    def _decrement_in_flight(self, run: run_state.Run) -> None:
        queries = self._board.queries
        queries.in_flight -= 1
        caller = run.request.caller
        count = queries.in_flight_by_caller[caller] - 1
        if count:
            queries.in_flight_by_caller[caller] = count
        else:
            del queries.in_flight_by_caller[caller]

    def _refuse(
        self,
        request: outcome.Request,
        on_done: Callable[[outcome.Outcome], None],
        failure: base.Failure,
    ) -> None:
        """Report that a request is refused and was not run."""
        self._board.queries.refused += 1
        self._log.emit(
            base.Event.QUERY_REFUSED,
            service=request.service,
            caller=request.caller,
            code=str(failure.code),
        )
        on_done(
            outcome.Outcome.from_failure(
                failure, config_version=self._board.config.version
            )
        )

    def _claim_key(self, run: run_state.Run) -> None:
        """Claim the idempotency key before anything is sent."""
        self._claims.claim(
            service=run.service.name,
            key=run.request.key,
            body=run.request.query,
            deadline=run.deadline,
            on_done=lambda claimed: self._on_claim_result(run, claimed),
        )

    def _on_claim_result(
        self, run: run_state.Run, claim_result: idempotency.ClaimResult
    ) -> None:
        """Run the request if its key was claimed; else report why not."""
        if claim_result.is_error():
            self._finish(
                run, self._outcome_from_rejection(run, claim_result.error)
            )
            return
        run.claim = claim_result.ok
        if run.finished:
            self._claims.release(run.claim)
            return
        self._pin_snapshot(run)

    def _outcome_from_rejection(
        self, run: run_state.Run, rejection: idempotency.ClaimRejection
    ) -> outcome.Outcome:
        return outcome.Outcome(
            code=rejection.code,
            detail=rejection.detail,
            result=rejection.result,
            ran=rejection.ran,
            retry_after=rejection.retry_after,
            config_version=run.config_version,
        )

    def _pin_snapshot(self, run: run_state.Run) -> None:
        """Pin the snapshot and start the fan-out.

        Gatherers are first asked for the versions of blocks for which none
        are known.
        """
        if run.finished:
            return
        group = run.group
        unknown_blocks = [
            block
            for block in self._blocks(run)
            if not self._placement.is_gatherer(block, group)
            and not self._snapshots.has_offer(block)
        ]
        if not unknown_blocks:
            self._start_fan_out(run)
            return
        self._query_versions(run, unknown_blocks)

    def _blocks(self, run: run_state.Run) -> list[config.Block]:
        """Return the blocks that contain the request's shards."""
        block_by_id = {}
        for shard in run.shards:
            block = run.group.block_by_shard[shard]
            block_by_id[block.id] = block
        return list(block_by_id.values())

    def _query_versions(
        self, run: run_state.Run, unknown_blocks: list[config.Block]
    ) -> None:
        """Ask the gatherers of some blocks for the versions they can serve."""
        blocks_by_gatherer: dict[str, list[config.Block]] = {}
        for block in unknown_blocks:
            gatherers = self._placement.gatherers_by_preference(
                block, run.group
            )
            if gatherers:
                blocks_by_gatherer.setdefault(gatherers[0], []).append(block)
        pending_count = len(blocks_by_gatherer)
        if not pending_count:
            self._start_fan_out(run)
            return

        def on_reply_received(
            blocks: list[config.Block], reply: peer.Message | None
        ) -> None:
            nonlocal pending_count
            pending_count -= 1
            if isinstance(reply, peer.VersionsReply):
                self._record_versions(blocks, reply)
            if not pending_count:
                self._start_fan_out(run)

        for node_id, blocks in blocks_by_gatherer.items():
            request_id = self._peer_client.next_id()
            self._peer_client.send_request(
                node_id,
                request_id,
                peer.VersionsQuery(
                    id=request_id,
                    group=run.group.name,
                    blocks=tuple(block.id for block in blocks),
                ),
                timeout=_VERSIONS_QUERY_TIMEOUT_S,
                on_reply=lambda reply, blocks=blocks: on_reply_received(
                    blocks, reply
                ),
            )

    def _record_versions(
        self, blocks: list[config.Block], reply: peer.VersionsReply
    ) -> None:
        for block in blocks:
            reported = {
                shard: reply.versions_by_shard[shard]
                for shard in block.shards
                if shard in reply.versions_by_shard
            }
            if reported:
                self._snapshots.cache_offer(block.id, reported)

    def _start_fan_out(self, run: run_state.Run) -> None:
        """Choose the index version and start the fan-out."""
        if run.finished:
            return
        now = self._clock.monotonic()
        if now >= run.deadline:
            self._finish_without_result(run, base.ResultCode.DEADLINE_PASSED)
            return
        blocks = self._blocks(run)
        local_blocks = [
            candidate
            for candidate in blocks
            if self._placement.is_gatherer(candidate, run.group)
        ]
        version = self._snapshots.choose_pinned_version(
            run.group, local_blocks, blocks
        )
        if version is None:
            for block in blocks:
                self._snapshots.discard_offer(block.id)
            self._finish_without_result(run, base.ResultCode.NO_LEAF)
            return
        run.snapshot = routing.Snapshot(
            config_version=run.config_version,
            group=run.group.name,
            epoch=run.group.epoch,
            index_version=version,
        )
        run.fan_out = fanout.FanOut(
            context=self._context,
            peer_client=self._peer_client,
            placement=self._placement,
            snapshots=self._snapshots,
            budget=self._retry_budget(run.policy),
            latency_by_node=self._latency_by_node,
            query=self._make_query_spec(run, run.snapshot),
            shards=run.shards,
            on_done=lambda result: self._on_fan_out_done(run, result),
        )
        run.fan_out.start()

    def _make_query_spec(
        self, run: run_state.Run, snapshot: routing.Snapshot
    ) -> routing.QuerySpec:
        policy_soft_deadline = (
            run.started_at + run.policy.soft_deadline.total_seconds()
        )
        return routing.QuerySpec(
            id=self._peer_client.next_id(),
            service=run.service,
            group=run.group,
            policy=run.policy,
            snapshot=snapshot,
            deadline=run.deadline,
            soft_deadline=min(policy_soft_deadline, run.deadline),
            query=run.request.query,
            idempotency_key=run.request.key,
            limit=run.request.limit,
        )

    def _retry_budget(self, policy: config.Policy) -> limits.ExtraCallBudget:
        """Return the policy's budget for sub-queries to further gatherers."""
        share = policy.retry_budget * _ENTRY_RETRY_BUDGET_FRACTION
        budget = self._retry_budget_by_policy.get(policy.name)
        if budget is None:
            budget = limits.ExtraCallBudget(
                share=share, burst=_RETRY_BUDGET_BURST_TOKENS
            )
            self._retry_budget_by_policy[policy.name] = budget
        budget.set_share(share)
        return budget

    def _on_fan_out_done(
        self, run: run_state.Run, result: routing.GatherResult
    ) -> None:
        """Finish the request, or restart it once at a newer snapshot.

        It is restarted if a shard can no longer serve the pinned version.
        """
        if run.finished:
            return
        if self._should_restart(run, result):
            run.restart_count += 1
            run.ran_before = result.ran
            for block in self._blocks(run):
                self._snapshots.discard_offer(block.id)
            self._log.emit(
                base.Event.SNAPSHOT_RESTARTED,
                service=run.service.name,
                version=run.snapshot.index_version if run.snapshot else 0,
            )
            self._pin_snapshot(run)
            return
        self._finish(run, self._outcome_from_result(run, result))

    def _should_restart(
        self, run: run_state.Run, result: routing.GatherResult
    ) -> bool:
        """Return whether to run the request again at a newer snapshot.

        It is run again at most once, if the pinned version is gone, the
        request is repeatable or did not run, and enough time remains.
        """
        version_gone = routing.MissReason.VERSION_GONE
        if (
            version_gone not in result.reason_by_missing.values()
            or run.restart_count
        ):
            return False
        if not run.service.repeatable and result.ran != base.Ran.NO:
            return False
        time_left = run.deadline - self._clock.monotonic()
        return time_left > _RESTART_MIN_REMAINING_S

    def _outcome_from_result(
        self, run: run_state.Run, result: routing.GatherResult
    ) -> outcome.Outcome:
        """Return the outcome that reports a merged result to the caller."""
        total = len(run.shards)
        answered = len(result.answered)
        code, detail = run_state.classify_result(run, result)
        retry_after = None
        if code not in (base.ResultCode.COMPLETE, base.ResultCode.PARTIAL):
            retry_after = max(
                _MIN_RETRY_AFTER, datetime.timedelta(seconds=result.retry_after)
            )
        include_result = retry_after is None
        return outcome.Outcome(
            code=code,
            detail=detail,
            result=result.result if include_result else None,
            snapshot=run.snapshot,
            config_version=run.config_version,
            coverage=outcome.Coverage(
                answered=answered,
                total=total,
                reason_by_missing=result.reason_by_missing,
            ),
            ran=run.ran_at_all(result.ran),
            retry_after=retry_after,
            leaf_calls=result.calls,
            extra_calls=result.extra_calls,
            choices=result.format_shards_by_leaf(),
        )

    def _finish_without_result(
        self, run: run_state.Run, code: base.ResultCode
    ) -> None:
        """Finish a request that was not fanned out, or not again."""
        self._finish(
            run,
            outcome.Outcome(
                code=code,
                config_version=run.config_version,
                coverage=outcome.Coverage(answered=0, total=len(run.shards)),
                ran=run.ran_at_all(base.Ran.NO),
                retry_after=_MIN_RETRY_AFTER,
            ),
        )

    def _finish(self, run: run_state.Run, final: outcome.Outcome) -> None:
        """Report the outcome of a request, unless it has finished already."""
        if run.finished:
            return
        run.finished = True
        self._decrement_in_flight(run)
        self._board.queries.answered += 1
        self._log_decision(run, final)
        if run.claim is not None:
            self._record_outcome(run.claim, final)
        run.on_done(final)

    def _record_outcome(
        self, claim: idempotency.Claim, final: outcome.Outcome
    ) -> None:
        """Store the outcome with the claim, to answer later retries.

        The claim is released if the request did not run.
        """
        if final.ran == base.Ran.NO:
            self._claims.release(claim)
            return
        self._claims.settle(
            claim, code=final.code, ran=final.ran, result=final.result
        )

    def _log_decision(self, run: run_state.Run, final: outcome.Outcome) -> None:
        """Log how the request was routed and how it ended."""
        elapsed = self._clock.monotonic() - run.started_at
        coverage = final.coverage
        snapshot = run.snapshot
        self._log.emit(
            base.Event.QUERY_DECIDED,
            service=run.service.name,
            caller=run.request.caller,
            code=str(final.code),
            ran=str(final.ran),
            config=run.config_version,
            epoch=run.group.epoch,
            index=snapshot.index_version if snapshot else 0,
            answered=coverage.answered if coverage else 0,
            total=coverage.total if coverage else 0,
            calls=final.leaf_calls,
            extra=final.extra_calls,
            restarts=run.restart_count,
            ms=round(elapsed * 1000, 1),
            choices=final.choices,
        )

    def _cancel(self, run: run_state.Run) -> None:
        """Cancel a request whose caller has disconnected.

        A request that is not repeatable runs to its end, so that its outcome
        is recorded with the claim.
        """
        if run.finished or not run.service.repeatable:
            return
        run.finished = True
        self._decrement_in_flight(run)
        if run.fan_out is not None:
            run.fan_out.cancel()


def _no_op() -> None:
    """Do nothing; the request has already been refused."""
