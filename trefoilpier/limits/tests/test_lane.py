"""A lane: one leaf's queue on one node."""

from trefoilpier import limits
from trefoilpier.routing.tests import scripted


class _Queue:
    def __init__(self):
        self.scene = scripted.Scene(shards=2, slots=2)
        self.lane = self.scene.context.lane_by_leaf["leaf-0-0"]
        self.sent = []
        self.expired = []

    def submit(self, name, service="search", deadline=1.0):
        item = limits.LaneItem(
            deadline=self.scene.clock.monotonic() + deadline,
            send=lambda: self.sent.append(name),
            expire=lambda: self.expired.append(name),
        )
        self.lane.submit(service, item)
        return item


def test_no_more_calls_are_out_than_the_limit():
    queue = _Queue()
    for name in "abcd":
        queue.submit(name)
    assert queue.sent == ["a"]
    assert queue.lane.state.in_flight == 1
    assert queue.lane.state.queued == 3


def test_earliest_deadline_goes_first():
    queue = _Queue()
    queue.submit("first")
    queue.submit("late", deadline=3.0)
    queue.submit("soon", deadline=2.0)
    queue.lane.finished()
    assert queue.sent == ["first", "soon"]


def test_services_take_turns():
    queue = _Queue()
    queue.submit("first")
    for name in ("a1", "a2", "a3"):
        queue.submit(name, service="a")
    queue.submit("b1", service="b", deadline=9.0)
    queue.lane.finished()
    queue.lane.finished()
    assert queue.sent == ["first", "a1", "b1"]


def test_call_whose_deadline_passed_is_not_sent():
    queue = _Queue()
    queue.submit("first")
    queue.submit("old", deadline=0.1)
    queue.submit("new", deadline=5.0)
    queue.scene.clock.advance(1.0)
    queue.lane.finished()
    assert queue.sent == ["first", "new"]
    assert queue.expired == ["old"]


def test_dropped_call_is_passed_over():
    queue = _Queue()
    queue.submit("first")
    item = queue.submit("gone")
    queue.submit("next")
    queue.lane.drop(item)
    queue.lane.finished()
    assert queue.sent == ["first", "next"]
    assert queue.lane.state.queued == 0


def test_limit_grows_while_answers_are_fast_and_falls_with_sheds():
    queue = _Queue()
    for _ in range(50):
        queue.submit("x")
        queue.lane.answered(0.005)
        queue.lane.finished()
    assert queue.lane.limit.value == 2.0
    queue.lane.shed()
    assert queue.lane.limit.value < 2.0
