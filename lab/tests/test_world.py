"""Short experiments with bounds from the stated targets."""

import dataclasses

import numpy
import pytest

from lab import results, scenario, world
from trefoilpier import forward

ROLL = scenario.RequestKind(
    name="roll", weight=3, work_s=0.0075, objective_s=0.0925
)
CHECK = scenario.RequestKind(
    name="check", work_s=0.0025, objective_s=0.044, min_coverage=0.75
)
CALM = scenario.Scenario(
    deployment=scenario.Deployment(vms=4, shards=6),
    load=scenario.Load(rate=60, seconds=8, warm_up_s=1),
    kinds=(ROLL, CHECK),
)
SLOW = scenario.Fault(name="slow", at=2, seconds=2, share=0.15, factor=8)


def run(changes=None, policy=None, seed=1):
    """Return the finished world of the calm scenario with changes."""
    played = dataclasses.replace(CALM, **(changes or {}))
    made = world.LabWorld(
        scenario=played, policy=policy or forward.ForwardPolicy(), seed=seed
    )
    made.run()
    return made


def figures(made, warm_up_s=1.0):
    return results.measure(made, policy="p", seed=1, warm_up_s=warm_up_s)


def test_calm_day_answers_99_in_100_within_the_objective():
    calm = figures(run())
    assert calm.in_time >= 0.99
    assert calm.refused == calm.failed == 0


def test_extra_sends_of_all_vms_stay_within_the_budget():
    made = run({"faults": (dataclasses.replace(SLOW, share=0.5),)})
    sizes, load = CALM.deployment, CALM.load
    for shard in range(sizes.shards):
        received = sum(len(leaf.requests) for leaf in made.leaves[shard])
        requests = len(made.outcomes) + sum(
            each.refused for each in made.outcomes
        )
        # The load is shorter than the window of the budget.
        allowed = sizes.retry_share * requests + sizes.retry_allowance
        assert load.seconds <= 10
        assert received - requests <= allowed


def test_answers_state_their_true_coverage():
    stopped = scenario.Fault(
        name="lost", kind="stop", at=1, seconds=7, shard=2, share=1.0
    )
    made = run({"faults": (stopped,)})
    # Later requests may still be waiting when the fault ends.
    during = [each for each in made.outcomes if 2 < each.sent_at < 6]
    answered = [each for each in during if each.status == 200]
    assert answered
    assert all(each.coverage == pytest.approx(5 / 6) for each in answered)
    # The coverage of the other kind does not allow a missing shard.
    assert {each.kind for each in answered} == {CHECK}
    assert all(each.coverage == 0.0 for each in during if each.status != 200)


def test_credit_recovers_within_five_seconds_after_a_fault():
    made = run({"faults": (SLOW,), "load": scenario.Load(rate=60, seconds=10)})
    by_second = figures(made).credit_by_second
    end_s = int(SLOW.at + SLOW.seconds)
    after = [by_second[second] for second in (end_s + 4, end_s + 5)]
    assert numpy.mean(after) >= 0.98


def test_slow_leaves_cost_more_without_hedging():
    changes = {"faults": (SLOW,)}
    with_hedging = figures(run(changes))
    without = figures(run(changes, forward.ForwardPolicy(hedging=False)))
    assert with_hedging.credit > without.credit + 0.02


def test_same_seed_gives_the_same_run():
    assert figures(run(seed=5)) == figures(run(seed=5))


def test_policies_meet_the_same_arrivals():
    first = run(seed=3)
    second = run(policy=forward.ForwardPolicy(hedging=False), seed=3)
    assert [(o.sent_at, o.kind.name) for o in first.outcomes] == [
        (o.sent_at, o.kind.name) for o in second.outcomes
    ]


def test_differences_are_paired_by_seed():
    row = figures(run())
    rows = [
        dataclasses.replace(row, policy=policy, seed=seed, credit=credit)
        for policy, seed, credit in (
            ("a", 1, 0.5),
            ("a", 2, 0.9),
            ("b", 1, 0.6),
            ("b", 2, 1.0),
        )
    ]
    gains = results.credit_differences(rows, "b", "a")
    assert gains == pytest.approx([0.1, 0.1])
    assert results.from_json(results.to_json(rows)) == rows
