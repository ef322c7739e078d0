"""Retries, hedges and results of one gather with scripted replies."""

import pytest

from trefoilpier import base, leaf, routing
from trefoilpier.routing.tests import scripted

_STATUS = leaf.CallStatus


def test_each_shard_gets_one_call_and_one_result_is_reported():
    harness = scripted.GatherHarness(shards=4)
    harness.gather()
    assert sorted(c.shard for _, c in harness.transport.calls) == [0, 1, 2, 3]
    for index in range(4):
        harness.answer(index)
    (gather_result,) = harness.results
    assert sorted(gather_result.answered) == [0, 1, 2, 3]
    assert not gather_result.reason_by_missing
    assert gather_result.ran == base.Ran.YES


@pytest.mark.parametrize(
    "wrong", [{"version": 2}, {"epoch": 2}, {"shard": 3}, {"result": "text"}]
)
def test_mismatched_answer_is_never_merged(wrong):
    harness = scripted.GatherHarness(shards=1, replicas=1)
    harness.gather()
    harness.answer(0, **wrong)
    harness.clock.advance(1.0)
    (gather_result,) = harness.results
    assert gather_result.answered == []
    assert gather_result.result is None
    assert harness.log.rows[0][0] == base.Event.LEAF_WRONG_ANSWER


def test_shard_answered_twice_is_merged_once():
    harness = scripted.GatherHarness(shards=4)
    harness.gather()
    for index in (1, 2):
        harness.answer(index)
    harness.clock.advance(0.015)
    called_shards = [call.shard for _, call in harness.transport.calls]
    shard = called_shards[4]
    assert called_shards.count(shard) == 2
    harness.answer(called_shards.index(shard))
    harness.answer(4)
    harness.clock.advance(1.0)
    (gather_result,) = harness.results
    assert sorted(gather_result.answered).count(shard) == 1
    assert len(gather_result.result) == len(gather_result.answered) == 3


def test_shed_hedge_is_retried():
    # Guards against a shard that is not hedged again before the deadline
    # after its hedge was shed while the first call was in flight.
    harness = scripted.GatherHarness(shards=4)
    harness.gather()
    for index in range(1, 4):
        harness.answer(index)
    harness.clock.advance(0.015)
    assert len(harness.transport.calls) == 5
    harness.answer(4, _STATUS.SHED, retry_after=0.01)
    harness.clock.advance(0.05)
    assert len(harness.transport.calls) == 6
    harness.answer(5)
    assert len(harness.results[0].answered) == 4


def test_cancelled_call_raises_the_mean_latency_of_its_leaf():
    # Cancelled calls didn't count as latency samples, so a slow leaf whose
    # calls were all cancelled after a hedge kept its low mean latency and was
    # chosen first again and again.
    harness = scripted.GatherHarness(shards=4)
    harness.gather()
    for index in range(1, 4):
        harness.answer(index)
    harness.clock.advance(0.015)
    slow_leaf_id, _ = harness.transport.calls[0]
    mean_before = harness.board.leaves.state_by_id[slow_leaf_id].latency.mean
    harness.answer(4)
    assert harness.transport.cancelled == [(slow_leaf_id, "call-1")]
    harness.answer(0, _STATUS.CANCELLED)
    assert (
        harness.board.leaves.state_by_id[slow_leaf_id].latency.mean
        > mean_before
    )


def test_call_queued_for_a_busy_leaf_moves_to_another_replica():
    # Guards against queued calls that are never hedged because only sent
    # calls are checked.
    harness = scripted.GatherHarness(shards=2, replicas=2)
    harness.gather(shards=[0])
    busy_leaf_id, _ = harness.transport.calls[0]
    other_leaf_id = next(
        i for i in ("leaf-0-0", "leaf-0-1") if i != busy_leaf_id
    )
    leaf_state = harness.board.leaves.state_by_id[other_leaf_id]
    leaf_state.latency.mean = 1.0
    harness.gather(shards=[0])
    assert len(harness.transport.calls) == 1
    leaf_state.latency.mean = 0.005
    harness.clock.advance(0.05)
    assert any(
        leaf_id == other_leaf_id for leaf_id, _ in harness.transport.calls
    )


def test_straggler_is_hedged_at_its_leaf_if_the_other_replica_is_slow():
    # Guards against a straggling call that is never hedged because the only
    # other replica is slow.
    harness = scripted.GatherHarness(shards=4)
    harness.gather()
    for index in range(1, 4):
        harness.answer(index)
    first_leaf_id, call = harness.transport.calls[0]
    for leaf_id in harness.group.leaf_ids_by_shard[call.shard]:
        if leaf_id != first_leaf_id:
            harness.board.leaves.state_by_id[leaf_id].latency.mean = 1.0
    harness.clock.advance(0.015)
    assert harness.transport.cancelled[0] == (first_leaf_id, "call-1")
    harness.answer(0, _STATUS.CANCELLED)
    assert harness.transport.calls[4][0] == first_leaf_id


def test_no_hedge_when_most_shards_are_late():
    harness = scripted.GatherHarness(shards=8)
    harness.gather()
    harness.clock.advance(0.2)
    assert len(harness.transport.calls) == 8


def test_extra_calls_stay_within_the_budget():
    harness = scripted.GatherHarness(shards=30, hedge_budget=0.05)
    for _ in range(100):
        calls_before = len(harness.transport.calls)
        harness.gather()
        for index in range(calls_before + 10, calls_before + 30):
            harness.answer(index)
        harness.clock.advance(0.4)
        for index in range(calls_before + 30, len(harness.transport.calls)):
            harness.answer(index, _STATUS.CANCELLED)
        for index in range(calls_before, calls_before + 10):
            harness.answer(index, _STATUS.CANCELLED)
    first_calls = 100 * 30
    burst = 2 * 30
    assert harness.board.queries.leaf_calls_extra <= 0.05 * first_calls + burst


def test_non_repeatable_request_is_sent_once_if_it_may_have_run():
    for status in (_STATUS.LOST, _STATUS.SILENT, _STATUS.MALFORMED):
        harness = scripted.GatherHarness(shards=2)
        harness.gather("reserve", shards=[0], deadline=1.0)
        harness.clock.advance(0.5)
        harness.answer(0, status)
        harness.clock.advance(2.0)
        assert len(harness.transport.calls) == 1
        assert harness.results[0].ran == base.Ran.UNKNOWN


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
def test_non_repeatable_request_is_retried_if_it_did_not_run(status):
    harness = scripted.GatherHarness(shards=2)
    harness.gather("reserve", shards=[0], deadline=1.0)
    harness.answer(0, status)
    harness.clock.advance(0.1)
    assert len(harness.transport.calls) == 2
    harness.answer(1)
    assert harness.results[0].ran == base.Ran.YES


def test_request_refused_by_every_leaf_did_not_run():
    harness = scripted.GatherHarness(shards=2)
    harness.gather("reserve", shards=[0], deadline=1.0)
    harness.answer(0, _STATUS.DRAINING)
    harness.answer(1, _STATUS.DRAINING)
    assert harness.results[0].ran == base.Ran.NO
    assert harness.results[0].reason_by_missing == {
        0: routing.MissReason.NO_REPLICA
    }


def test_tail_query_ends_at_the_soft_deadline():
    harness = scripted.GatherHarness(
        shards=4, mode="tail", soft_deadline="100ms"
    )
    harness.gather()
    for index in range(3):
        harness.answer(index)
    harness.clock.advance(0.099)
    assert not harness.results
    harness.clock.advance(0.002)
    assert len(harness.results[0].answered) == 3
    assert harness.results[0].reason_by_missing == {3: routing.MissReason.LATE}


def test_coverage_query_ends_at_the_deadline():
    harness = scripted.GatherHarness(shards=4, mode="coverage")
    harness.gather(deadline=0.3)
    for index in range(3):
        harness.answer(index)
    harness.clock.advance(0.29)
    assert not harness.results
    harness.clock.advance(0.02)
    assert len(harness.results[0].answered) == 3


def test_silent_connection_does_not_raise_the_mean_latency_of_its_leaf():
    # The time spent waiting on a silent connection counted as the leaf's
    # latency, and later requests were refused with DEADLINE_TOO_SHORT.
    harness = scripted.GatherHarness(shards=2)
    harness.gather(shards=[0], deadline=1.0)
    first_leaf_id, _ = harness.transport.calls[0]
    leaf_state = harness.board.leaves.state_by_id[first_leaf_id]
    mean_before = leaf_state.latency.mean
    harness.clock.advance(0.9)
    harness.answer(0, _STATUS.SILENT)
    assert leaf_state.latency.mean == mean_before
