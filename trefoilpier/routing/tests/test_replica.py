"""Choice between replicas."""

import collections

from trefoilpier import board
from trefoilpier.routing.tests import scripted


def _choose(scene, count=200, **options):
    chosen = collections.Counter()
    for _ in range(count):
        state = scene.context.chooser.choose(
            ("leaf-0-0", "leaf-0-1"),
            shard=0,
            version=1,
            now=scene.clock.monotonic(),
            **options,
        )
        chosen[state.leaf.id if state else None] += 1
    return chosen


def test_equal_leaves_share_the_work():
    chosen = _choose(scripted.GatherHarness(shards=2))
    assert min(chosen["leaf-0-0"], chosen["leaf-0-1"]) > 50


def test_leaf_without_samples_is_tried():
    # A leaf that had never answered kept its assumed 20 ms, and a probe each
    # second kept that from fading, so a faster replica took all the work.
    scene = scripted.GatherHarness(shards=2)
    state = scene.board.leaves.state_by_id["leaf-0-1"]
    state.latency = board.LatencyTracker()
    assert _choose(scene)["leaf-0-1"] > 50


def test_slow_leaf_is_avoided_and_tried_again_later():
    scene = scripted.GatherHarness(shards=2)
    state = scene.board.leaves.state_by_id["leaf-0-1"]
    state.latency.mean = 0.1
    state.sampled_at = scene.clock.monotonic()
    assert _choose(scene)["leaf-0-1"] == 0
    scene.board.leaves.state_by_id["leaf-0-0"].in_flight = 1
    scene.clock.advance(10 * board.MEAN_HALF_LIFE_S)
    state.last_reply_at = scene.clock.monotonic()
    assert _choose(scene)["leaf-0-1"] > 0


def test_lying_load_report_moves_little():
    scene = scripted.GatherHarness(shards=2)
    state = scene.board.leaves.state_by_id["leaf-0-1"]
    state.reported_load = 1.0
    state.reported_at = scene.clock.monotonic()
    scene.board.leaves.state_by_id["leaf-0-0"].in_flight = 1
    assert _choose(scene)["leaf-0-1"] == 200
    scene.clock.advance(3.0)
    scene.board.leaves.state_by_id["leaf-0-0"].in_flight = 0
    assert _choose(scene)["leaf-0-1"] > 50


def test_draining_leaf_and_missing_version_are_passed_over():
    scene = scripted.GatherHarness(shards=2)
    states = scene.board.leaves.state_by_id
    states["leaf-0-0"].phase = board.LeafPhase.DRAINING
    assert set(_choose(scene)) == {"leaf-0-1"}
    states["leaf-0-1"].versions = (2,)
    assert set(_choose(scene)) == {None}


def test_leaf_that_is_down_is_the_last_resort():
    scene = scripted.GatherHarness(shards=2)
    states = scene.board.leaves.state_by_id
    states["leaf-0-0"].phase = board.LeafPhase.DOWN
    assert set(_choose(scene)) == {"leaf-0-1"}
    assert set(_choose(scene, avoid={"leaf-0-1"})) == {"leaf-0-0"}
