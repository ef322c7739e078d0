"""State of a running request and the result code of its merged result."""

from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier import base, config, idempotency, routing
from trefoilpier.query import fanout, outcome


@dataclass(slots=True, kw_only=True)
class Run:
    """State of one request while it runs.

    Attributes:
        request: The request as received from the caller.
        service: The requested service.
        group: The service's shard group in the pinned configuration.
        policy: The service's routing policy.
        config_version: Version of the pinned configuration.
        deadline: Monotonic time in seconds at which the request expires.
        started_at: Monotonic time in seconds at which the request arrived.
        shards: The shards to query.
        on_done: Called once with the outcome.
        fan_out: The running fan-out; None until the snapshot is pinned.
        snapshot: The pinned snapshot; None until one is pinned.
        restart_count: Number of restarts at a newer snapshot.
        claim: The claim on the idempotency key, or None.
        finished: Whether the request has been answered or cancelled.
        ran_before: Whether the request ran before its restart.
    """

    request: outcome.Request
    service: config.Service
    group: config.ShardGroup
    policy: config.Policy
    config_version: int
    deadline: float
    started_at: float
    shards: tuple[int, ...]
    on_done: Callable[[outcome.Outcome], None]
    fan_out: fanout.FanOut | None = None
    snapshot: routing.Snapshot | None = None
    restart_count: int = 0
    claim: idempotency.Claim | None = None
    finished: bool = False
    ran_before: base.Ran = base.Ran.NO

    def ran_at_all(self, ran: base.Ran) -> base.Ran:
        """Return whether the request ran, now or before its restart.

        Args:
            ran: Whether it ran since the restart.
        """
        for value in (base.Ran.YES, base.Ran.UNKNOWN):
            if value in (ran, self.ran_before):
                return value
        return base.Ran.NO


def classify_result(
    run: Run, result: routing.GatherResult
) -> tuple[base.ResultCode, str]:
    """Return the result code of a merged result, with an explanation."""
    total = len(run.shards)
    answered = len(result.answered)
    if answered == total:
        return base.ResultCode.COMPLETE, ""
    if result.ran == base.Ran.UNKNOWN and not run.service.repeatable:
        return (
            base.ResultCode.OUTCOME_UNKNOWN,
            "the request may or may not have run",
        )
    if answered and answered >= run.policy.minimum_coverage * total:
        return base.ResultCode.PARTIAL, ""
    if answered:
        return (
            base.ResultCode.BELOW_MINIMUM_COVERAGE,
            "fewer shards answered than the minimum coverage requires",
        )
    reasons = set(result.reason_by_missing.values())
    if reasons <= {routing.MissReason.SHED}:
        return (
            base.ResultCode.OVERLOADED,
            "the leaves rejected the calls because of overload",
        )
    if routing.MissReason.VERSION_GONE in reasons:
        return (
            base.ResultCode.SNAPSHOT_GONE,
            "the pinned index version is no longer available",
        )
    if routing.MissReason.LATE in reasons:
        return (
            base.ResultCode.DEADLINE_PASSED,
            "no shard answered before the deadline",
        )
    if routing.MissReason.FAILED in reasons:
        return base.ResultCode.LEAF_FAILED, "the leaf calls failed"
    return base.ResultCode.NO_LEAF, "no leaf is reachable"
