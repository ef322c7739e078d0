"""Publishing under races and lost answers."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer

from standins import fleet, memory_store, platform_model
from trefoilpier import base, config


class _Desk:
    """Operators on one virtual clock."""

    def __init__(self):
        self.clock = base.VirtualClock()
        self.model = platform_model.PlatformModel(clock=self.clock)
        self.store = memory_store.MemoryStore(
            clock=self.clock, model=self.model
        )

    def start(self, token, expect=None, vms=7):
        publisher = config.Publisher(store=self.store, clock=self.clock)
        outcomes = []
        work = publisher.publish(
            fleet.simple_objects(vms=vms), token=token, expect=expect
        )
        defer.ensureDeferred(work).addCallback(outcomes.append)
        return outcomes

    def publish(self, token, expect=None, vms=7):
        outcomes = self.start(token, expect, vms)
        self.clock.advance(60.0)
        return outcomes[0]

    def head(self):
        return config.Head.from_bytes(
            self.model.get("config/head").value.encode()
        )


def test_one_of_two_racing_operators_wins():
    desk = _Desk()
    first, second = desk.start("a", 0), desk.start("b", 0, vms=6)
    desk.clock.advance(60.0)
    states = {first[0].state, second[0].state}
    assert states == {config.PublishState.ACCEPTED, config.PublishState.LOST}
    assert desk.head().version == 1


def test_lost_answer_is_settled_by_reading_back():
    desk = _Desk()
    desk.publish("first")
    writes = desk.model.counts.writes
    desk.publish("count")
    per_publish = desk.model.counts.writes - writes
    outcomes = desk.start("second", vms=6)
    while desk.model.counts.writes < writes + 2 * per_publish - 1:
        desk.clock.advance(0.001)
    desk.model.faults.lose_answers = 1
    desk.clock.advance(60.0)
    assert outcomes[0].state == config.PublishState.ACCEPTED
    assert desk.head().token == "second"


def test_repeated_token_is_the_same_version():
    desk = _Desk()
    first = desk.publish("a")
    desk.publish("b", vms=6)
    again = desk.publish("a")
    assert again.state == config.PublishState.ACCEPTED
    assert again.version == first.version == 1
    assert desk.head().version == 2


def test_expected_version_that_is_old_loses():
    desk = _Desk()
    desk.publish("a")
    late = desk.publish("b", expect=0, vms=6)
    assert late.state == config.PublishState.LOST
    assert late.version == 1


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.integers(0, 3),
            st.integers(0, 3),
            st.booleans(),
        ),
        max_size=6,
    )
)
def test_told_accepted_means_in_the_history(steps):
    # Each token is accepted at most once, whatever answers are lost.
    desk = _Desk()
    accepted = {}
    for token, lost_answers, lost_writes, down in steps:
        desk.model.faults.lose_answers = lost_answers
        desk.model.faults.lose_writes = lost_writes
        desk.model.faults.down = down
        outcome = desk.publish(token)
        if outcome.state == config.PublishState.ACCEPTED:
            assert accepted.setdefault(token, outcome.version) == (
                outcome.version
            )
    desk.model.faults = platform_model.PlatformFaults()
    versions = list(accepted.values())
    assert len(set(versions)) == len(versions)
    assert desk.head().version >= max(versions, default=0)
