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
    ],
)
def test_obstacle_to_a_hedge(changes, expected):
    assert hedging.obstacle(hedging.HedgeState(**{**FREE, **changes})) == (
        expected
    )


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
