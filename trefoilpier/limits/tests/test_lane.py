"""The queue of one node's calls to one leaf."""

from trefoilpier import limits
from trefoilpier.routing.tests import scripted


class _LaneHarness:
    def __init__(self):
        self.gather_harness = scripted.GatherHarness(shards=2, slots=2)
        self.lane = self.gather_harness.context.lane_by_leaf["leaf-0-0"]
        self.sent = []
        self.expired = []

    def submit(self, name, service="search", deadline=1.0):
        call = limits.QueuedCall(
            deadline=self.gather_harness.clock.monotonic() + deadline,
            send=lambda: self.sent.append(name),
            on_expired=lambda: self.expired.append(name),
        )
        self.lane.submit(service, call)
        return call


def test_calls_in_flight_stay_within_the_limit():
    harness = _LaneHarness()
    for name in "abcd":
        harness.submit(name)
    assert harness.sent == ["a"]
    assert harness.lane.state.in_flight == 1
    assert harness.lane.state.queued == 3


def test_earliest_deadline_is_sent_first():
    harness = _LaneHarness()
    harness.submit("first")
    harness.submit("late", deadline=3.0)
    harness.submit("soon", deadline=2.0)
    harness.lane.on_call_ended()
    assert harness.sent == ["first", "soon"]


def test_services_are_served_round_robin():
    harness = _LaneHarness()
    harness.submit("first")
    for name in ("a1", "a2", "a3"):
        harness.submit(name, service="a")
    harness.submit("b1", service="b", deadline=9.0)
    harness.lane.on_call_ended()
    harness.lane.on_call_ended()
    assert harness.sent == ["first", "a1", "b1"]


def test_expired_call_is_not_sent():
    harness = _LaneHarness()
    harness.submit("first")
    harness.submit("old", deadline=0.1)
    harness.submit("new", deadline=5.0)
    harness.gather_harness.clock.advance(1.0)
    harness.lane.on_call_ended()
    assert harness.sent == ["first", "new"]
    assert harness.expired == ["old"]


def test_withdrawn_call_is_not_sent():
    harness = _LaneHarness()
    harness.submit("first")
    call = harness.submit("gone")
    harness.submit("next")
    harness.lane.withdraw(call)
    harness.lane.on_call_ended()
    assert harness.sent == ["first", "next"]
    assert harness.lane.state.queued == 0


def test_limit_increases_on_fast_answers_and_decreases_on_shed_calls():
    harness = _LaneHarness()
    for _ in range(50):
        harness.submit("x")
        harness.lane.on_answer(0.005)
        harness.lane.on_call_ended()
    assert harness.lane.limit.value == 2.0
    harness.lane.on_shed()
    assert harness.lane.limit.value < 2.0
