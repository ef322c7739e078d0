"""Runs a caller's request from admission to its one outcome."""

import datetime
from collections.abc import Callable

from trefoilpier import base, board, config, limits, once, peer, routing
from trefoilpier.query import fanout, outcome, peers, run_state

_VERSIONS_WAIT_S = 0.1
_RESTART_MIN_LEFT_S = 0.01
_ENTRY_EXTRA_SHARE = 0.2
_BUDGET_BURST = 20.0
_RETRY_AFTER = datetime.timedelta(milliseconds=100)
_NO_CONFIG_RETRY = datetime.timedelta(seconds=1)


class EntryRunner:
    """Admits requests, pins their snapshot, runs them and reports once."""

    __slots__ = (
        "_admission",
        "_board",
        "_budget_by_policy",
        "_claims",
        "_clock",
        "_context",
        "_latency_by_node",
        "_log",
        "_placement",
        "_requests",
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
        requests: peers.PeerRequests,
        admission: limits.Admission,
        claims: once.Claims,
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._log = log
        self._context = context
        self._placement = placement
        self._snapshots = snapshots
        self._requests = requests
        self._admission = admission
        self._claims = claims
        self._budget_by_policy: dict[str, limits.LoadBudget] = {}
        self._latency_by_node: dict[str, board.LatencyTracker] = {}

    def run(
        self,
        request: outcome.Request,
        on_done: Callable[[outcome.Outcome], None],
    ) -> Callable[[], None]:
        """Runs a request.

        Args:
            request: The request.
            on_done: Gets the one outcome; it may be called at once.

        Returns:
            A function that withdraws the request of a caller that went away.
        """
        current = self._board.config.current
        if current is None:
            self._refuse(
                request,
                on_done,
                base.Failure(
                    code=base.ResultCode.NO_CONFIGURATION,
                    detail="this VM has no configuration yet",
                    retry_after=_NO_CONFIG_RETRY,
                ),
            )
            return _nothing
        service = current.service_by_name.get(request.service)
        if service is None:
            self._refuse(
                request,
                on_done,
                base.Failure(
                    code=base.ResultCode.UNKNOWN_SERVICE,
                    detail=f"there is no service {request.service!r}",
                ),
            )
            return _nothing
        run = self._make_run(request, current, service, on_done)
        admitted = self._admission.admit(
            service=service,
            group=run.group,
            policy=run.policy,
            caller=request.caller,
            remaining=run.deadline - run.started_at,
        )
        if admitted.is_error():
            self._refuse(request, on_done, admitted.error)
            return _nothing
        self._enter(run)
        if service.repeatable or not request.key:
            self._pin(run)
        else:
            self._claim(run)
        return lambda: self._withdraw(run)

    def _make_run(
        self,
        request: outcome.Request,
        current: config.ConfigSet,
        service: config.Service,
        on_done: Callable[[outcome.Outcome], None],
    ) -> run_state.Run:
        """Pins the configuration and the shards of a request."""
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

    def _enter(self, run: run_state.Run) -> None:
        queries = self._board.queries
        queries.in_flight += 1
        caller = run.request.caller
        by_caller = queries.in_flight_by_caller
        by_caller[caller] = by_caller.get(caller, 0) + 1

    def _leave(self, run: run_state.Run) -> None:
        queries = self._board.queries
        queries.in_flight -= 1
        caller = run.request.caller
        left = queries.in_flight_by_caller[caller] - 1
        if left:
            queries.in_flight_by_caller[caller] = left
        else:
            del queries.in_flight_by_caller[caller]

    def _refuse(
        self,
        request: outcome.Request,
        on_done: Callable[[outcome.Outcome], None],
        failure: base.Failure,
    ) -> None:
        """Tells a caller at once that its request was not run."""
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

    def _claim(self, run: run_state.Run) -> None:
        """Claims the idempotency key before anything is sent."""
        self._claims.claim(
            service=run.service.name,
            key=run.request.key,
            body=run.request.query,
            deadline=run.deadline,
            on_done=lambda claimed: self._claimed(run, claimed),
        )

    def _claimed(self, run: run_state.Run, claimed: once.ClaimResult) -> None:
        """Goes on with a claimed key, or tells what is known of it."""
        if claimed.is_error():
            self._end(run, self._outcome_of_settled(run, claimed.error))
            return
        run.claim = claimed.ok
        if run.ended:
            self._claims.release(run.claim)
            return
        self._pin(run)

    def _outcome_of_settled(
        self, run: run_state.Run, settled: once.Settled
    ) -> outcome.Outcome:
        return outcome.Outcome(
            code=settled.code,
            detail=settled.detail,
            result=settled.result,
            ran=settled.ran,
            retry_after=settled.retry_after,
            config_version=run.config_version,
        )

    def _pin(self, run: run_state.Run) -> None:
        """Pins the snapshot, after asking gatherers that are not known."""
        if run.ended:
            return
        group = run.group
        unknown = [
            block
            for block in self._blocks(run)
            if not self._placement.holds(block, group)
            and not self._snapshots.knows(block)
        ]
        if not unknown:
            self._start(run)
            return
        self._ask_versions(run, unknown)

    def _blocks(self, run: run_state.Run) -> list[config.Block]:
        """Returns the blocks that hold the run's shards."""
        by_id = {}
        for shard in run.shards:
            block = run.group.block_by_shard[shard]
            by_id[block.id] = block
        return list(by_id.values())

    def _ask_versions(
        self, run: run_state.Run, unknown: list[config.Block]
    ) -> None:
        """Asks the gatherers of unknown blocks what they can serve."""
        blocks_by_gatherer: dict[str, list[config.Block]] = {}
        for block in unknown:
            order = self._placement.preferred(block, run.group)
            if order:
                blocks_by_gatherer.setdefault(order[0], []).append(block)
        waiting = len(blocks_by_gatherer)
        if not waiting:
            self._start(run)
            return

        def replied(
            blocks: list[config.Block], reply: peer.Message | None
        ) -> None:
            nonlocal waiting
            waiting -= 1
            if isinstance(reply, peer.VersionsReply):
                self._learn_versions(blocks, reply)
            if not waiting:
                self._start(run)

        for node_id, blocks in blocks_by_gatherer.items():
            request_id = self._requests.next_id()
            self._requests.ask(
                node_id,
                request_id,
                peer.VersionsQuery(
                    id=request_id,
                    group=run.group.name,
                    blocks=tuple(block.id for block in blocks),
                ),
                timeout=_VERSIONS_WAIT_S,
                on_reply=lambda reply, blocks=blocks: replied(blocks, reply),
            )

    def _learn_versions(
        self, blocks: list[config.Block], reply: peer.VersionsReply
    ) -> None:
        for block in blocks:
            known = {
                shard: reply.versions_by_shard[shard]
                for shard in block.shards
                if shard in reply.versions_by_shard
            }
            if known:
                self._snapshots.learn(block.id, known)

    def _start(self, run: run_state.Run) -> None:
        """Chooses the index version and starts the fan-out."""
        if run.ended:
            return
        now = self._clock.monotonic()
        if now >= run.deadline:
            self._end_unrun(run, base.ResultCode.DEADLINE_PASSED)
            return
        blocks = self._blocks(run)
        held = [b for b in blocks if self._placement.holds(b, run.group)]
        version = self._snapshots.pin(run.group, held, blocks)
        if version is None:
            for block in blocks:
                self._snapshots.forget(block.id)
            self._end_unrun(run, base.ResultCode.NO_LEAF)
            return
        run.snapshot = routing.Snapshot(
            config_version=run.config_version,
            group=run.group.name,
            epoch=run.group.epoch,
            index_version=version,
        )
        run.fan_out = fanout.FanOut(
            context=self._context,
            requests=self._requests,
            placement=self._placement,
            snapshots=self._snapshots,
            budget=self._budget(run.policy),
            latency_by_node=self._latency_by_node,
            query=self._query_spec(run, run.snapshot),
            shards=run.shards,
            on_done=lambda result: self._gathered(run, result),
        )
        run.fan_out.start()

    def _query_spec(
        self, run: run_state.Run, snapshot: routing.Snapshot
    ) -> routing.QuerySpec:
        soft = run.started_at + run.policy.soft_deadline.total_seconds()
        return routing.QuerySpec(
            id=self._requests.next_id(),
            service=run.service,
            group=run.group,
            policy=run.policy,
            snapshot=snapshot,
            deadline=run.deadline,
            soft_deadline=min(soft, run.deadline),
            query=run.request.query,
            key=run.request.key,
            limit=run.request.limit,
        )

    def _budget(self, policy: config.Policy) -> limits.LoadBudget:
        """Returns the budget for asking second gatherers."""
        share = policy.retry_budget * _ENTRY_EXTRA_SHARE
        budget = self._budget_by_policy.get(policy.name)
        if budget is None:
            budget = limits.LoadBudget(share=share, burst=_BUDGET_BURST)
            self._budget_by_policy[policy.name] = budget
        budget.set_share(share)
        return budget

    def _gathered(
        self, run: run_state.Run, result: routing.GatherResult
    ) -> None:
        """Takes in the merged result; restarts once if its version went."""
        if run.ended:
            return
        if self._should_restart(run, result):
            run.restarts += 1
            for block in self._blocks(run):
                self._snapshots.forget(block.id)
            self._log.emit(
                base.Event.SNAPSHOT_RESTARTED,
                service=run.service.name,
                version=run.snapshot.index_version if run.snapshot else 0,
            )
            self._pin(run)
            return
        self._end(run, self._outcome(run, result))

    def _should_restart(
        self, run: run_state.Run, result: routing.GatherResult
    ) -> bool:
        """Tells whether a newer snapshot would cover more, in time."""
        gone = routing.MissReason.VERSION_GONE
        if gone not in result.reason_by_missing.values() or run.restarts:
            return False
        if not run.service.repeatable and result.ran != base.Ran.NO:
            return False
        left = run.deadline - self._clock.monotonic()
        return left > _RESTART_MIN_LEFT_S

    def _outcome(
        self, run: run_state.Run, result: routing.GatherResult
    ) -> outcome.Outcome:
        """Turns a merged result into what the caller is told."""
        total = len(run.shards)
        answered = len(result.answered)
        code, detail = run_state.judge(run, result)
        retry_after = None
        if code not in (base.ResultCode.COMPLETE, base.ResultCode.PARTIAL):
            retry_after = max(
                _RETRY_AFTER, datetime.timedelta(seconds=result.retry_after)
            )
        shown = retry_after is None
        return outcome.Outcome(
            code=code,
            detail=detail,
            result=result.result if shown else None,
            snapshot=run.snapshot,
            config_version=run.config_version,
            coverage=outcome.Coverage(
                answered=answered,
                total=total,
                reason_by_missing=result.reason_by_missing,
            ),
            ran=result.ran,
            retry_after=retry_after,
            calls=result.calls,
            extra=result.extra,
            choices=result.choices(),
        )

    def _end_unrun(self, run: run_state.Run, code: base.ResultCode) -> None:
        """Ends a request of which nothing was sent."""
        self._end(
            run,
            outcome.Outcome(
                code=code,
                config_version=run.config_version,
                coverage=outcome.Coverage(answered=0, total=len(run.shards)),
                retry_after=_RETRY_AFTER,
            ),
        )

    def _end(self, run: run_state.Run, final: outcome.Outcome) -> None:
        """Reports the one outcome of a request."""
        if run.ended:
            return
        run.ended = True
        self._leave(run)
        self._board.queries.answered += 1
        self._log_decision(run, final)
        if run.claim is not None:
            self._record(run.claim, final)
        run.on_done(final)

    def _record(self, claim: once.Claim, final: outcome.Outcome) -> None:
        """Keeps the outcome with the claim, for later retries."""
        if final.ran == base.Ran.NO:
            self._claims.release(claim)
            return
        self._claims.settle(
            claim, code=final.code, ran=final.ran, result=final.result
        )

    def _log_decision(self, run: run_state.Run, final: outcome.Outcome) -> None:
        """Writes the one line of the routing decision."""
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
            calls=final.calls,
            extra=final.extra,
            restarts=run.restarts,
            ms=round(elapsed * 1000, 1),
            choices=final.choices,
        )

    def _withdraw(self, run: run_state.Run) -> None:
        """Ends the work for a caller that went away.

        A call that must not be repeated is left to end, so that its outcome
        is recorded with the claim.
        """
        if run.ended or not run.service.repeatable:
            return
        run.ended = True
        self._leave(run)
        if run.fan_out is not None:
            run.fan_out.cancel()


def _nothing() -> None:
    """Withdraws a request that has ended already."""
