"""Replica selection by latency, load reports and leaf state."""

import collections

from trefoilpier import board
from trefoilpier.routing.tests import scripted


def _count_choices(harness, count=200, **options):
    count_by_leaf = collections.Counter()
    for _ in range(count):
        leaf_state = harness.context.chooser.choose(
            ("leaf-0-0", "leaf-0-1"),
            shard=0,
            version=1,
            now=harness.clock.monotonic(),
            **options,
        )
        count_by_leaf[leaf_state.leaf.id if leaf_state else None] += 1
    return count_by_leaf


def test_equal_leaves_share_the_load():
    count_by_leaf = _count_choices(scripted.GatherHarness(shards=2))
    assert min(count_by_leaf["leaf-0-0"], count_by_leaf["leaf-0-1"]) > 50


def test_leaf_without_latency_samples_is_chosen():
    # A leaf without answers kept its assumed latency of 20 ms, and a probe
    # every second kept that value from decaying, so a faster replica got all
    # calls.
    harness = scripted.GatherHarness(shards=2)
    leaf_state = harness.board.leaves.state_by_id["leaf-0-1"]
    leaf_state.latency = board.LatencyTracker()
    assert _count_choices(harness)["leaf-0-1"] > 50


def test_slow_leaf_is_avoided_and_retried_later():
    harness = scripted.GatherHarness(shards=2)
    leaf_state = harness.board.leaves.state_by_id["leaf-0-1"]
    leaf_state.latency.mean = 0.1
    leaf_state.sampled_at = harness.clock.monotonic()
    assert _count_choices(harness)["leaf-0-1"] == 0
    harness.board.leaves.state_by_id["leaf-0-0"].in_flight = 1
    harness.clock.advance(10 * board.MEAN_HALF_LIFE_S)
    leaf_state.last_reply_at = harness.clock.monotonic()
    assert _count_choices(harness)["leaf-0-1"] > 0


def test_false_load_report_has_little_effect():
    harness = scripted.GatherHarness(shards=2)
    leaf_state = harness.board.leaves.state_by_id["leaf-0-1"]
    leaf_state.reported_load = 1.0
    leaf_state.reported_at = harness.clock.monotonic()
    harness.board.leaves.state_by_id["leaf-0-0"].in_flight = 1
    assert _count_choices(harness)["leaf-0-1"] == 200
    harness.clock.advance(3.0)
    harness.board.leaves.state_by_id["leaf-0-0"].in_flight = 0
    assert _count_choices(harness)["leaf-0-1"] > 50


def test_draining_leaf_and_leaf_without_the_version_are_skipped():
    harness = scripted.GatherHarness(shards=2)
    leaf_states = harness.board.leaves.state_by_id
    leaf_states["leaf-0-0"].phase = board.LeafPhase.DRAINING
    assert set(_count_choices(harness)) == {"leaf-0-1"}
    leaf_states["leaf-0-1"].versions = (2,)
    assert set(_count_choices(harness)) == {None}


def test_down_leaf_is_chosen_only_as_a_last_resort():
    harness = scripted.GatherHarness(shards=2)
    leaf_states = harness.board.leaves.state_by_id
    leaf_states["leaf-0-0"].phase = board.LeafPhase.DOWN
    assert set(_count_choices(harness)) == {"leaf-0-1"}
    assert set(_count_choices(harness, excluded={"leaf-0-1"})) == {"leaf-0-0"}
