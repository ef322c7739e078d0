"""Tests of the decision to hedge and of what the log says about it."""

import pytest

from standins import memory_tier
from trefoilpier import base, forward
from trefoilpier.forward import hedging

FREE = {
    "in_flight": True,
    "attempt_left": True,
    "other_usable": True,
    "leaf_free": True,
}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"in_flight": False}, hedging.HedgeOutcome.NOT_IN_FLIGHT),
        ({"attempt_left": False}, hedging.HedgeOutcome.NO_ATTEMPT_LEFT),
        ({"leaf_free": False}, hedging.HedgeOutcome.NO_CAPACITY),
        (
            {"leaf_free": False, "other_usable": False},
            hedging.HedgeOutcome.NO_OTHER_LEAF,
        ),
        ({"leaf_useful": False}, hedging.HedgeOutcome.OTHERS_LOADED),
    ],
)
def test_obstacle_to_a_hedge(changes, expected):
    assert hedging.obstacle(hedging.HedgeState(**{**FREE, **changes})) == (
        expected
    )


@pytest.mark.parametrize(
    ("load", "cost", "current_cost", "expected"),
    [
        # A paused leaf, and another one that is idle or partly used.
        (0.0, 1.0, 1.5, True),
        (0.5, 1.5, 1.5, True),
        # A burst: the other leaf has no free slot.
        (1.0, 2.0, 1.5, False),
        # Most leaves are slow: the other one is as slow as the first. With half
        # of its slots free it may answer first all the same.
        (0.5, 6.0, 6.0, False),
        (0.75, 6.0, 6.0, False),
        (0.25, 6.0, 6.0, True),
        (0.5, 6.0, 12.0, True),
    ],
)
def test_hedge_only_where_it_may_overtake(load, cost, current_cost, expected):
    other = hedging.LeafOutlook(load=load, cost=cost)
    assert expected == hedging.may_answer_sooner(
        other, current_cost=current_cost, elapsed=2.2
    )


def test_no_hedge_at_a_leaf_that_is_late_itself():
    # Guards against hedges while all leaves of a shard have just turned slow.
    other = hedging.LeafOutlook(load=0.0, cost=1.0, overdue=True)
    assert not hedging.may_answer_sooner(other, current_cost=1.0, elapsed=2.2)


def _run_with_leaf_times(slow_factor, rate, *, sparing):
    """Return hedges, in-time answers and outcomes of a load on three leaves."""
    tier = memory_tier.MemoryTier(
        policy=forward.ForwardPolicy(hedge_only_if_useful=sparing)
    )
    tier.set_routes(memory_tier.make_gather_route(1, least=1.0))
    for k in range(3):
        tier.add_leaf("shard0", f"leaf{k}", work_s=0.02)
    tier.run_load("before", seconds=2.0, rate=40)
    extra = tier.engine.sends_extra
    for leaf in tier.leaf_by_id.values():
        leaf.faults.slow_factor = slow_factor
    tier.run_load("q", seconds=2.0, rate=rate)
    tier.clock.advance(1.5)
    in_time = sum(
        answer.status == 200 and answer.took_s <= 0.12
        for name, answer in tier.answers.items()
        if name.startswith("q")
    )
    return tier.engine.sends_extra - extra, in_time


@pytest.mark.parametrize(("slow_factor", "rate"), [(9.0, 25), (1.0, 280)])
def test_hedges_add_no_load_where_all_leaves_are_slow_or_full(
    slow_factor, rate
):
    # Guards against hedges that take the slots which first calls need.
    hedges, in_time = _run_with_leaf_times(slow_factor, rate, sparing=True)
    hedges_off, in_time_off = _run_with_leaf_times(
        slow_factor, rate, sparing=False
    )
    assert hedges < 0.7 * hedges_off
    assert in_time >= 0.98 * in_time_off


def test_a_call_to_a_paused_leaf_is_still_hedged():
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_gather_route(1, least=1.0))
    for k in range(2):
        tier.add_leaf("shard0", f"leaf{k}", work_s=0.02)
    tier.run_load("before", seconds=2.0, rate=20)
    tier.leaf_by_id["leaf0"].faults.paused = True
    tier.run_load("q", seconds=0.3, rate=20)
    tier.clock.advance(0.1)
    in_time = [tier.answers[f"q-{k}"].took_s <= 0.12 for k in range(6)]
    assert all(in_time)


def _hedges_of_slow_shard(leaves, **budget):
    """Return the logged hedges of a request to ten shards, one too slow."""
    limits = {"share": 0.2, "window_s": 10.0, "allowance": 54.0, **budget}
    tier = memory_tier.MemoryTier(budget=forward.RetryBudgetLimits(**limits))
    tier.set_routes(memory_tier.make_gather_route(10, objective_s=0.1))
    for shard in range(10):
        for k in range(leaves):
            tier.add_leaf(f"shard{shard}", f"s{shard}.{k}", work_s=0.01)
    for leaf in tier.leaves_of("shard3"):
        leaf.faults.slow_factor = 30.0
    tier.send_request("q")
    tier.clock.advance(0.5)
    (fields,) = [
        fields
        for event, fields in tier.log.rows
        if event is base.Event.REQUEST_ENDED
    ]
    assert list(fields["missing"]) == ["shard3"]
    return fields["hedges"]


@pytest.mark.parametrize(
    ("leaves", "budget", "expected"),
    [
        (2, {}, "sent"),
        (2, {"share": 0.0, "allowance": 0.0}, "no budget"),
        (1, {}, "no other leaf"),
    ],
)
def test_log_tells_what_became_of_the_hedge(leaves, budget, expected):
    assert _hedges_of_slow_shard(leaves, **budget) == {"shard3": expected}
