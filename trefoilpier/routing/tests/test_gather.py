"""One query's calls, answer by answer."""

import pytest

from trefoilpier import base, leaf, routing
from trefoilpier.routing.tests import scripted

_STATUS = leaf.CallStatus


def test_one_call_for_each_shard_and_one_result():
    scene = scripted.GatherHarness(shards=4)
    scene.gather()
    assert sorted(c.shard for _, c in scene.transport.calls) == [0, 1, 2, 3]
    for index in range(4):
        scene.answer(index)
    (final,) = scene.results
    assert sorted(final.answered) == [0, 1, 2, 3]
    assert not final.reason_by_missing
    assert final.ran == base.Ran.YES


@pytest.mark.parametrize(
    "wrong", [{"version": 2}, {"epoch": 2}, {"shard": 3}, {"result": "text"}]
)
def test_answer_of_another_snapshot_is_never_merged(wrong):
    scene = scripted.GatherHarness(shards=1, replicas=1)
    scene.gather()
    scene.answer(0, **wrong)
    scene.clock.advance(1.0)
    (final,) = scene.results
    assert final.answered == []
    assert final.result is None
    assert scene.log.rows[0][0] == base.Event.LEAF_WRONG_ANSWER


def test_answer_that_comes_twice_counts_once():
    scene = scripted.GatherHarness(shards=4)
    scene.gather()
    for index in (1, 2):
        scene.answer(index)
    scene.clock.advance(0.015)
    doubled = [call.shard for _, call in scene.transport.calls]
    shard = doubled[4]
    assert doubled.count(shard) == 2
    scene.answer(doubled.index(shard))
    scene.answer(4)
    scene.clock.advance(1.0)
    (final,) = scene.results
    assert sorted(final.answered).count(shard) == 1
    assert len(final.result) == len(final.answered) == 3


def test_shed_hedge_is_asked_again():
    # The hedge was shed while the first call was out, and nothing asked for
    # the shard again before the deadline.
    scene = scripted.GatherHarness(shards=4)
    scene.gather()
    for index in range(1, 4):
        scene.answer(index)
    scene.clock.advance(0.015)
    assert len(scene.transport.calls) == 5
    scene.answer(4, _STATUS.SHED, retry_after=0.01)
    scene.clock.advance(0.05)
    assert len(scene.transport.calls) == 6
    scene.answer(5)
    assert len(scene.results[0].answered) == 4


def test_withdrawn_call_teaches_that_its_leaf_is_slow():
    # Withdrawn calls taught nothing, so a slow leaf whose calls were all
    # hedged away kept its good name and was asked first again and again.
    scene = scripted.GatherHarness(shards=4)
    scene.gather()
    for index in range(1, 4):
        scene.answer(index)
    scene.clock.advance(0.015)
    slow, _ = scene.transport.calls[0]
    before = scene.board.leaves.state_by_id[slow].latency.mean
    scene.answer(4)
    assert scene.transport.cancelled == [(slow, "call-1")]
    scene.answer(0, _STATUS.CANCELLED)
    assert scene.board.leaves.state_by_id[slow].latency.mean > before


def test_call_queued_behind_a_slow_leaf_moves():
    # A call in the queue of a lane was never hedged, since only sent calls
    # were looked at.
    scene = scripted.GatherHarness(shards=2, replicas=2)
    scene.gather(shards=[0])
    busy, _ = scene.transport.calls[0]
    other = next(i for i in ("leaf-0-0", "leaf-0-1") if i != busy)
    state = scene.board.leaves.state_by_id[other]
    state.latency.mean = 1.0
    scene.gather(shards=[0])
    assert len(scene.transport.calls) == 1
    state.latency.mean = 0.005
    scene.clock.advance(0.05)
    assert any(leaf_id == other for leaf_id, _ in scene.transport.calls)


def test_straggler_is_asked_again_at_its_leaf_when_the_other_is_slow():
    # With one replica slow, a straggling call on the other had no way out.
    scene = scripted.GatherHarness(shards=4)
    scene.gather()
    for index in range(1, 4):
        scene.answer(index)
    here, call = scene.transport.calls[0]
    for leaf_id in scene.group.leaf_ids_by_shard[call.shard]:
        if leaf_id != here:
            scene.board.leaves.state_by_id[leaf_id].latency.mean = 1.0
    scene.clock.advance(0.015)
    assert scene.transport.cancelled[0] == (here, "call-1")
    scene.answer(0, _STATUS.CANCELLED)
    assert scene.transport.calls[4][0] == here


def test_no_hedge_when_most_shards_are_late():
    scene = scripted.GatherHarness(shards=8)
    scene.gather()
    scene.clock.advance(0.2)
    assert len(scene.transport.calls) == 8


def test_hedges_stay_within_the_budget():
    scene = scripted.GatherHarness(shards=30, hedge_budget=0.05)
    for _ in range(100):
        before = len(scene.transport.calls)
        scene.gather()
        for index in range(before + 10, before + 30):
            scene.answer(index)
        scene.clock.advance(0.4)
        for index in range(before + 30, len(scene.transport.calls)):
            scene.answer(index, _STATUS.CANCELLED)
        for index in range(before, before + 10):
            scene.answer(index, _STATUS.CANCELLED)
    first = 100 * 30
    burst = 2 * 30
    assert scene.board.queries.leaf_calls_extra <= 0.05 * first + burst


def test_request_that_must_not_be_repeated_is_sent_once():
    for status in (_STATUS.LOST, _STATUS.SILENT, _STATUS.MALFORMED):
        scene = scripted.GatherHarness(shards=2)
        scene.gather("reserve", shards=[0], deadline=1.0)
        scene.clock.advance(0.5)
        scene.answer(0, status)
        scene.clock.advance(2.0)
        assert len(scene.transport.calls) == 1
        assert scene.results[0].ran == base.Ran.UNKNOWN


@pytest.mark.parametrize(
    "status",
    [
        _STATUS.SHED,
        _STATUS.DRAINING,
        _STATUS.NOT_MINE,
        _STATUS.VERSION_GONE,
        _STATUS.NOT_SENT,
    ],
)
def test_request_that_was_not_run_may_go_to_another_leaf(status):
    scene = scripted.GatherHarness(shards=2)
    scene.gather("reserve", shards=[0], deadline=1.0)
    scene.answer(0, status)
    scene.clock.advance(0.1)
    assert len(scene.transport.calls) == 2
    scene.answer(1)
    assert scene.results[0].ran == base.Ran.YES


def test_refusal_by_every_leaf_is_not_run():
    scene = scripted.GatherHarness(shards=2)
    scene.gather("reserve", shards=[0], deadline=1.0)
    scene.answer(0, _STATUS.DRAINING)
    scene.answer(1, _STATUS.DRAINING)
    assert scene.results[0].ran == base.Ran.NO
    assert scene.results[0].reason_by_missing == {
        0: routing.MissReason.NO_REPLICA
    }


def test_tail_query_answers_at_the_soft_deadline():
    scene = scripted.GatherHarness(shards=4, mode="tail", soft_deadline="100ms")
    scene.gather()
    for index in range(3):
        scene.answer(index)
    scene.clock.advance(0.099)
    assert not scene.results
    scene.clock.advance(0.002)
    assert len(scene.results[0].answered) == 3
    assert scene.results[0].reason_by_missing == {3: routing.MissReason.LATE}


def test_coverage_query_waits_to_the_deadline():
    scene = scripted.GatherHarness(shards=4, mode="coverage")
    scene.gather(deadline=0.3)
    for index in range(3):
        scene.answer(index)
    scene.clock.advance(0.29)
    assert not scene.results
    scene.clock.advance(0.02)
    assert len(scene.results[0].answered) == 3


def test_silent_connection_is_not_held_against_its_leaf():
    # The time that a silent connection was waited for counted as the leaf's
    # latency, and requests were then refused for a deadline too short.
    scene = scripted.GatherHarness(shards=2)
    scene.gather(shards=[0], deadline=1.0)
    here, _ = scene.transport.calls[0]
    state = scene.board.leaves.state_by_id[here]
    before = state.latency.mean
    scene.clock.advance(0.9)
    scene.answer(0, _STATUS.SILENT)
    assert state.latency.mean == before
