"""Tests of what tells that a leaf has ended, and under which calls."""

import random

import pytest

from standins import memory_net, opaque_leaf
from trefoilpier import base, http1, replicas

_ADDRESS = ("10.0.0.1", 8000)


class RecordingObserver(replicas.LeafEndObserver):
    """Records the reports."""

    def __init__(self):
        self.ends = []
        self.ended_at_by_id = {}
        self.alive_count = 0

    def handle_end(self, ended, running, evidence):
        ids = sorted(call.request_id for call in running)
        self.ends.append((ids, evidence))
        for call in running:
            self.ended_at_by_id[call.request_id] = call.ended_at

    def handle_alive(self, alive):
        self.alive_count += 1


class Harness:
    """One leaf with its pool."""

    def __init__(self, work_s=0.1):
        self.clock = base.VirtualClock(start=100.0)
        self.net = memory_net.MemoryReactor(clock=self.clock)
        self.observer = RecordingObserver()
        self.leaf = opaque_leaf.OpaqueLeaf(
            clock=self.clock,
            rng=random.Random(1),
            leaf_id="a",
            work_time=lambda _: work_s,
        )
        self.server = self.leaf.factory()
        self.net.listen(*_ADDRESS, self.server)
        self.registry = replicas.LeafRegistry(
            clock=self.clock,
            log=base.NullEventLog(),
            reactor=self.net,
            id_header=b"x-request-id",
            on_capacity=lambda pool: None,
            end_observer=self.observer,
        )
        self.registry.set_vm_count(1)
        self.registry.set_connection_limits({"s": 10})
        self.registry.put(self.entry())
        self.pool = self.registry.pool_by_id["a"]

    def entry(self, incarnation=1, phase=replicas.LeafPhase.READY):
        return replicas.LeafEntry(
            id="a",
            incarnation=incarnation,
            service="s",
            host=_ADDRESS[0],
            port=_ADDRESS[1],
            zone="z",
            slots=2,
            phase=phase,
        )

    def send(self, request_id):
        call = replicas.LeafCall(
            method=b"GET",
            request_id=request_id,
            repeatable=True,
            median_latency_s=0.1,
            encode_request=lambda: http1.encode_request(
                b"GET",
                b"/",
                [(b"host", b"s"), (b"x-request-id", request_id)],
                b"",
            ),
            on_end=lambda call, result: None,
            identity=replicas.RequestIdentity(
                fingerprint=request_id.decode(), description=""
            ),
        )
        self.pool.start(call)
        return call

    def reset_connections(self):
        for connection in list(self.server.connections):
            connection.abort()

    def end_leaf(self):
        self.net.stop_listening(*_ADDRESS)
        self.leaf.ended = True
        self.reset_connections()


@pytest.fixture
def harness():
    made = Harness()
    made.send(b"q1")
    made.send(b"q2")
    made.clock.advance(0.05)
    return made


def test_leaf_that_refuses_connections_has_ended_under_its_calls(harness):
    harness.end_leaf()
    harness.clock.advance(0.1)
    assert harness.observer.ends == [([b"q1", b"q2"], "connection refused")]


def test_leaf_that_accepts_connections_after_a_reset_has_not_ended(harness):
    harness.reset_connections()
    harness.clock.advance(20.0)
    assert harness.observer.ends == []


def test_leaf_whose_entry_is_replaced_after_a_loss_has_ended(harness):
    harness.reset_connections()
    harness.clock.advance(3.0)
    harness.registry.put(harness.entry(incarnation=2))
    assert harness.observer.ends == [([b"q1", b"q2"], "leaf restarted")]


def test_entry_removed_long_after_a_reset_is_no_end_under_a_call(harness):
    harness.reset_connections()
    harness.clock.advance(30.0)
    harness.registry.remove_leaf("a")
    assert harness.observer.ends == []


def test_leaf_that_has_said_that_it_leaves_ends_under_no_call(harness):
    harness.registry.put(harness.entry(phase=replicas.LeafPhase.LEAVING))
    harness.end_leaf()
    harness.clock.advance(1.0)
    harness.registry.remove_leaf("a")
    assert harness.observer.ends == []


def test_call_cancelled_shortly_before_the_end_was_running(harness):
    cancelled = harness.send(b"q3")
    harness.clock.advance(0.01)
    harness.pool.cancel_call(cancelled)
    harness.clock.advance(0.02)
    harness.end_leaf()
    harness.clock.advance(0.1)
    ids, _ = harness.observer.ends[0]
    assert ids == [b"q1", b"q2", b"q3"]


def test_answer_after_a_report_shows_that_the_leaf_runs(harness):
    harness.reset_connections()
    harness.net.stop_listening(*_ADDRESS)
    harness.clock.advance(0.1)
    assert len(harness.observer.ends) == 1
    harness.pool.end_detector.record_answer(harness.clock.monotonic())
    assert harness.observer.alive_count == 1


def test_leaf_of_an_evacuated_zone_that_is_stopped_counts_as_crashed(harness):
    harness.registry.set_evacuated_zones({"z"})
    harness.end_leaf()
    harness.clock.advance(0.1)
    harness.registry.remove_leaf("a")
    assert harness.observer.ends == []


def test_leaf_that_resets_all_answers_fills_the_memory(harness):
    for k in range(200):
        harness.send(b"r%d" % k)
        harness.clock.advance(0.05)
        harness.reset_connections()
        harness.clock.advance(0.05)
    assert harness.observer.ends == []
    assert len(harness.pool.end_detector._lost) <= 51


def test_loss_beside_connections_that_stay_open_is_harmless(harness):
    # Guards against requests that are suspected for a reset connection.
    first = next(iter(harness.server.connections))
    first.abort()
    harness.clock.advance(0.001)
    losses = [each.loss for each in harness.pool.end_detector._lost]
    assert [each.harmless for each in losses] == [False]
    harness.clock.advance(0.002)
    assert [each.harmless for each in losses] == [True]


def test_loss_of_all_connections_is_decided_by_a_new_one(harness):
    harness.reset_connections()
    harness.clock.advance(0.0005)
    losses = [each.loss for each in harness.pool.end_detector._lost]
    assert [each.harmless for each in losses] == [False, False]
    harness.clock.advance(0.005)
    assert [each.harmless for each in losses] == [True, True]


def test_leaf_that_has_ended_is_no_harmless_loss(harness):
    harness.end_leaf()
    harness.clock.advance(0.0005)
    losses = [each.loss for each in harness.pool.end_detector._lost]
    harness.clock.advance(0.1)
    assert losses
    assert {each.cause for each in losses} == {replicas.LossCause.LEAF_ENDED}


def test_cancelled_call_ends_apart_from_its_leaf():
    # Guards against popular requests that are barred since one crash of many
    # leaves looked like several that followed each other.
    harness = Harness(work_s=5.0)
    harness.send(b"q1")
    cancelled = harness.send(b"q2")
    harness.clock.advance(0.1)
    harness.pool.cancel_call(cancelled)
    harness.clock.advance(0.3)
    harness.end_leaf()
    harness.clock.advance(0.1)
    ended_at_by_id = harness.observer.ended_at_by_id
    assert sorted(ended_at_by_id) == [b"q1", b"q2"]
    assert len(set(ended_at_by_id.values())) == 1
