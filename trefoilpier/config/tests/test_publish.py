"""Tests of publishing under races, lost responses and store outages."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer

from standins import fleet, memory_store, platform_model
from trefoilpier import base, config


class _PublishHarness:
    """Publishers that share a store on a virtual clock."""

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


def test_one_of_two_concurrent_publishes_is_accepted():
    harness = _PublishHarness()
    first, second = harness.start("a", 0), harness.start("b", 0, vms=6)
    harness.clock.advance(60.0)
    states = {first[0].state, second[0].state}
    assert states == {config.PublishState.ACCEPTED, config.PublishState.LOST}
    assert harness.head().version == 1


def test_lost_head_response_is_resolved_by_read_back():
    harness = _PublishHarness()
    harness.publish("first")
    writes_before = harness.model.counts.writes
    harness.publish("count")
    writes_per_publish = harness.model.counts.writes - writes_before
    outcomes = harness.start("second", vms=6)
    while (
        harness.model.counts.writes < writes_before + 2 * writes_per_publish - 1
    ):
        harness.clock.advance(0.001)
    harness.model.faults.lose_answers = 1
    harness.clock.advance(60.0)
    assert outcomes[0].state == config.PublishState.ACCEPTED
    assert harness.head().token == "second"


def test_repeated_token_returns_same_version():
    harness = _PublishHarness()
    first = harness.publish("a")
    harness.publish("b", vms=6)
    repeated = harness.publish("a")
    assert repeated.state == config.PublishState.ACCEPTED
    assert repeated.version == first.version == 1
    assert harness.head().version == 2


def test_publish_with_stale_expected_version_is_rejected():
    harness = _PublishHarness()
    harness.publish("a")
    stale = harness.publish("b", expect=0, vms=6)
    assert stale.state == config.PublishState.LOST
    assert stale.version == 1


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
def test_accepted_publishes_stay_in_history(steps):
    # Whatever requests and responses are lost, each token is accepted for at
    # most one version.
    harness = _PublishHarness()
    accepted = {}
    for token, lost_answers, lost_writes, down in steps:
        harness.model.faults.lose_answers = lost_answers
        harness.model.faults.lose_writes = lost_writes
        harness.model.faults.down = down
        outcome = harness.publish(token)
        if outcome.state == config.PublishState.ACCEPTED:
            assert accepted.setdefault(token, outcome.version) == (
                outcome.version
            )
    harness.model.faults = platform_model.PlatformFaults()
    versions = list(accepted.values())
    assert len(set(versions)) == len(versions)
    assert harness.head().version >= max(versions, default=0)
