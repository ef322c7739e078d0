"""The state of one request, and the code of its merged result."""

from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier import base, config, once, routing
from trefoilpier.query import fanout, outcome


@dataclass(slots=True, kw_only=True)
class Run:
    """One request while it runs.

    Attributes:
        request: What the caller asked.
        service: The service.
        group: Its shard group in the pinned configuration.
        policy: Its routing policy.
        config_version: The pinned configuration.
        deadline: Monotonic instant after which no answer is of use.
        started_at: Monotonic instant of its arrival.
        shards: The shards it needs.
        on_done: Gets the one outcome.
        fan_out: Its calls, once the snapshot is pinned.
        snapshot: The pinned snapshot, or None before.
        restarts: How often it began again at a newer snapshot.
        claim: The claim of its idempotency key, or None.
        ended: Whether its outcome has been reported.
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
    restarts: int = 0
    claim: once.Claim | None = None
    ended: bool = False


def judge(
    run: Run, result: routing.GatherResult
) -> tuple[base.ResultCode, str]:
    """Chooses the code of a merged result."""
    total = len(run.shards)
    answered = len(result.answered)
    if answered == total:
        return base.ResultCode.COMPLETE, ""
    if result.ran == base.Ran.UNKNOWN and not run.service.repeatable:
        return base.ResultCode.OUTCOME_UNKNOWN, "it may or may not have run"
    if answered and answered >= run.policy.minimum_coverage * total:
        return base.ResultCode.PARTIAL, ""
    if answered:
        return base.ResultCode.BELOW_MINIMUM_COVERAGE, "too few shards answered"
    reasons = set(result.reason_by_missing.values())
    if reasons <= {routing.MissReason.SHED}:
        return base.ResultCode.OVERLOADED, "the leaves shed the calls"
    if routing.MissReason.VERSION_GONE in reasons:
        return base.ResultCode.SNAPSHOT_GONE, "the index version is gone"
    if routing.MissReason.LATE in reasons:
        return base.ResultCode.DEADLINE_PASSED, "no shard answered in time"
    if routing.MissReason.FAILED in reasons:
        return base.ResultCode.LEAF_FAILED, "the leaves failed"
    return base.ResultCode.NO_LEAF, "no leaf could be reached"
