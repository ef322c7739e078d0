"""The queue of one node's calls to one leaf."""

from trefoilpier import limits
from trefoilpier.routing.tests import scripted


class _LeafQueueHarness:
    def __init__(self):
        self.gather_harness = scripted.GatherHarness(shards=2, slots=2)
        self.leaf_queue = self.gather_harness.context.queue_by_leaf["leaf-0-0"]
        self.sent = []
        self.expired = []

    def submit(self, name, service="search", deadline=1.0):
        call = limits.QueuedCall(
            deadline=self.gather_harness.clock.monotonic() + deadline,
            send=lambda: self.sent.append(name),
            on_expired=lambda: self.expired.append(name),
        )
        self.leaf_queue.submit(service, call)
        return call


def test_calls_in_flight_stay_within_the_limit():
    harness = _LeafQueueHarness()
    for name in "abcd":
        harness.submit(name)
    assert harness.sent == ["a"]
    assert harness.leaf_queue.leaf_state.in_flight == 1
    assert harness.leaf_queue.leaf_state.queued == 3


def test_earliest_deadline_is_sent_first():
    harness = _LeafQueueHarness()
    harness.submit("first")
    harness.submit("late", deadline=3.0)
    harness.submit("soon", deadline=2.0)
    harness.leaf_queue.on_call_ended()
    assert harness.sent == ["first", "soon"]


def test_services_are_served_round_robin():
    harness = _LeafQueueHarness()
    harness.submit("first")
    for name in ("a1", "a2", "a3"):
        harness.submit(name, service="a")
    harness.submit("b1", service="b", deadline=9.0)
    harness.leaf_queue.on_call_ended()
    harness.leaf_queue.on_call_ended()
    assert harness.sent == ["first", "a1", "b1"]


def test_expired_call_is_not_sent():
    harness = _LeafQueueHarness()
    harness.submit("first")
    harness.submit("old", deadline=0.1)
    harness.submit("new", deadline=5.0)
    harness.gather_harness.clock.advance(1.0)
    harness.leaf_queue.on_call_ended()
    assert harness.sent == ["first", "new"]
    assert harness.expired == ["old"]


def test_withdrawn_call_is_not_sent():
    harness = _LeafQueueHarness()
    harness.submit("first")
    call = harness.submit("gone")
    harness.submit("next")
    harness.leaf_queue.withdraw(call)
    harness.leaf_queue.on_call_ended()
    assert harness.sent == ["first", "next"]
    assert harness.leaf_queue.leaf_state.queued == 0


def test_limit_increases_on_fast_answers_and_decreases_on_shed_calls():
    harness = _LeafQueueHarness()
    for _ in range(50):
        harness.submit("x")
        harness.leaf_queue.on_answer(0.005)
        harness.leaf_queue.on_call_ended()
    assert harness.leaf_queue.limit.value == 2.0
    harness.leaf_queue.on_shed()
    assert harness.leaf_queue.limit.value < 2.0
