"""Admission control by sustained queue wait, fair share and deadline."""

import random

from trefoilpier import base, limits
from trefoilpier.routing.tests import scripted


class _AdmissionHarness:
    def __init__(self):
        self.gather_harness = scripted.GatherHarness(shards=2)
        self.admission = limits.Admission(
            blackboard=self.gather_harness.board,
            clock=self.gather_harness.clock,
            rng=random.Random(1),
            max_in_flight=100,
        )

    def set_queued_calls(self, calls):
        for leaf_state in self.gather_harness.board.leaves.state_by_id.values():
            leaf_state.queued = calls

    def admit(self, seconds, caller="c", remaining=0.32):
        """Request admission every millisecond and return the refusals."""
        refused = []
        for _ in range(round(seconds * 1000)):
            self.gather_harness.clock.advance(0.001)
            decision = self.admission.admit(
                service=self.gather_harness.set.service_by_name["search"],
                group=self.gather_harness.group,
                policy=self.gather_harness.set.policy_by_name["usual"],
                caller=caller,
                remaining=remaining,
            )
            if decision.is_error():
                refused.append(decision.error)
        return refused


def test_short_queue_refuses_no_request():
    harness = _AdmissionHarness()
    harness.set_queued_calls(2)
    assert harness.admit(1.0) == []


def test_sustained_long_queue_refuses_requests_with_retry_after():
    harness = _AdmissionHarness()
    harness.set_queued_calls(100)
    harness.admit(0.2)
    refused = harness.admit(0.1)
    assert len(refused) == 100
    assert all(f.code == base.ResultCode.OVERLOADED for f in refused)
    assert all(f.ran == base.Ran.NO for f in refused)
    assert all(f.retry_after.total_seconds() > 0 for f in refused)


def test_short_lived_queue_refuses_no_request():
    # Guards against refusals at 30 % load because of a short-lived queue for
    # one leaf.
    harness = _AdmissionHarness()
    harness.admit(0.2)
    harness.set_queued_calls(30)
    refused = harness.admit(0.03)
    harness.set_queued_calls(0)
    assert refused + harness.admit(0.2) == []


def test_caller_is_limited_to_its_fair_share_under_load():
    harness = _AdmissionHarness()
    queries = harness.gather_harness.board.queries
    queries.in_flight = 80
    queries.in_flight_by_caller = {"greedy": 60, "other": 20}
    assert len(harness.admit(0.01, caller="greedy")) == 10
    assert harness.admit(0.01, caller="other") == []


def test_too_short_deadline_is_refused_with_retry_after():
    harness = _AdmissionHarness()
    (refused,) = harness.admit(0.001, remaining=0.002)
    assert refused.code == base.ResultCode.DEADLINE_TOO_SHORT
    assert refused.ran == base.Ran.NO
    assert refused.retry_after.total_seconds() > 0


def test_queue_wait_rises_after_few_slow_answers():
    # Restarted replicas answered five times slower, but the mean latency took
    # 20 answers to reflect it. Requests admitted until then got partial
    # results.
    harness = _AdmissionHarness()
    leaf_states = harness.gather_harness.board.leaves.state_by_id.values()
    for leaf_state in leaf_states:
        for _ in range(50):
            leaf_state.latency.add(0.005)
    harness.set_queued_calls(10)
    harness.admit(0.1)
    usual_wait = harness.admission.queue_wait(harness.gather_harness.group)
    for leaf_state in leaf_states:
        for _ in range(3):
            leaf_state.latency.add(0.026)
    harness.admit(0.01)
    assert (
        harness.admission.queue_wait(harness.gather_harness.group)
        > 3.0 * usual_wait
    )
