"""Figures of runs, and differences between policies."""

import dataclasses
from dataclasses import dataclass

import numpy

from lab import world as worlds


@dataclass(slots=True, kw_only=True, frozen=True)
class RunFigures:
    """Figures of one run.

    Attributes:
        policy: Name of the policy.
        seed: Seed of the run.
        credit: Mean credit of the requests.
        coverage: Mean coverage of the successful answers.
        in_time: Share of the requests answered within their objective.
        refused: Share of the requests that ended refused.
        failed: Share of the requests that ended otherwise without success.
        p50_ms: Median latency of the successful answers in milliseconds.
        p99_ms: 99th percentile of the same.
        extra: Retries and hedges per first send.
        far: Share of the calls that went to another availability zone.
        credit_by_second: Mean credit by second of the load.
    """

    policy: str
    seed: int
    credit: float
    coverage: float
    in_time: float
    refused: float
    failed: float
    p50_ms: float
    p99_ms: float
    extra: float
    credit_by_second: dict[int, float]
    far: float = 0.0


def measure(
    world: worlds.LabWorld, *, policy: str, seed: int, warm_up_s: float
) -> RunFigures:
    """Return the figures of a finished run.

    Args:
        world: The run.
        policy: Name of its policy.
        seed: Its seed.
        warm_up_s: Seconds at the start that do not count.
    """
    counted = [each for each in world.outcomes if each.sent_at >= warm_up_s]
    successes = [each for each in counted if 200 <= each.status < 300]
    latencies_ms = [1000 * each.took_s for each in successes] or [0.0]
    credits_by_second: dict[int, list[float]] = {}
    for each in counted:
        second = int(each.sent_at)
        credits_by_second.setdefault(second, []).append(each.credit)
    sends = sum(engine.sends for engine in world.engines)
    extra = sum(engine.sends_extra for engine in world.engines)

    def share(count: int) -> float:
        return count / max(1, len(counted))

    return RunFigures(
        policy=policy,
        seed=seed,
        credit=_mean([each.credit for each in counted]),
        coverage=_mean([each.coverage for each in successes]),
        in_time=share(
            sum(each.took_s <= each.kind.objective_s for each in successes)
        ),
        refused=share(sum(each.status == 503 for each in counted)),
        failed=share(
            sum(
                not 200 <= each.status < 300 and each.status != 503
                for each in counted
            )
        ),
        p50_ms=float(numpy.percentile(latencies_ms, 50)),
        p99_ms=float(numpy.percentile(latencies_ms, 99)),
        extra=extra / max(1, sends - extra),
        credit_by_second={
            second: _mean(values)
            for second, values in sorted(credits_by_second.items())
        },
        far=sum(wire.far for wire in world.wires)
        / max(1, sum(wire.near + wire.far for wire in world.wires)),
    )


def _mean(values: list[float]) -> float:
    return float(numpy.mean(values)) if values else 0.0


def mean_and_error(values: list[float]) -> tuple[float, float]:
    """Return the mean and its standard error.

    >>> mean_and_error([1.0, 3.0])
    (2.0, 1.0)
    >>> mean_and_error([1.0])
    (1.0, nan)
    """
    if len(values) < 2:
        return _mean(values), float("nan")
    error = numpy.std(values, ddof=1) / len(values) ** 0.5
    return _mean(values), float(error)


def credit_differences(
    rows: list[RunFigures], policy: str, reference: str
) -> list[float]:
    """Return the differences in credit of two policies, paired by seed."""
    credit_by_key = {(row.policy, row.seed): row.credit for row in rows}
    return [
        credit_by_key[policy, seed] - credit_by_key[reference, seed]
        for name, seed in sorted(credit_by_key)
        if name == policy and (reference, seed) in credit_by_key
    ]


def table(rows: list[RunFigures], policies: list[str]) -> str:
    """Return a table with a line a policy; the first is the reference."""
    lines = [
        f"{'policy':<24} {'credit':>7} {'error':>7} {'to first':>9} "
        f"{'error':>7} {'covered':>8} {'in time':>8} {'refused':>8} "
        f"{'failed':>7} {'p50 ms':>7} {'p99 ms':>7} {'extra':>6} {'far':>6}"
    ]
    for name in policies:
        own = [row for row in rows if row.policy == name]
        if not own:
            continue
        credit, error = mean_and_error([row.credit for row in own])
        gain, gain_error = mean_and_error(
            credit_differences(rows, name, policies[0])
        )
        lines.append(
            f"{name:<24} {credit:7.4f} {error:7.4f} {gain:+9.4f} "
            f"{gain_error:7.4f} {_mean([r.coverage for r in own]):8.4f} "
            f"{_mean([r.in_time for r in own]):8.4f} "
            f"{_mean([r.refused for r in own]):8.4f} "
            f"{_mean([r.failed for r in own]):7.4f} "
            f"{_mean([r.p50_ms for r in own]):7.1f} "
            f"{_mean([r.p99_ms for r in own]):7.1f} "
            f"{_mean([r.extra for r in own]):6.3f} "
            f"{_mean([r.far for r in own]):6.3f}"
        )
    return "\n".join(lines)


def to_json(rows: list[RunFigures]) -> list[dict]:
    """Return the figures as plain values."""
    return [
        {
            **dataclasses.asdict(row),
            "credit_by_second": list(row.credit_by_second.items()),
        }
        for row in rows
    ]


def from_json(values: list[dict]) -> list[RunFigures]:
    """Return the figures that `to_json` made."""
    return [
        RunFigures(
            **{**value, "credit_by_second": dict(value["credit_by_second"])}
        )
        for value in values
    ]
