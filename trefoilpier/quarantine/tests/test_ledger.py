"""Tests of the ledger of evidence, and of the admission by it."""

from standins import memory_tier
from trefoilpier import base, quarantine, replicas
from trefoilpier.quarantine import ledger as ledgers


class Harness:
    """A ledger with its gate, on a virtual clock."""

    def __init__(self):
        self.clock = base.VirtualClock(start=100.0)
        self.log = memory_tier.RecordingLog()
        self.ledger = quarantine.QuarantineLedger(
            clock=self.clock, log=self.log
        )
        self.gate = quarantine.QuarantineGate(ledger=self.ledger)

    def end_leaf(self, name, leaf, service="s"):
        now_ms = self.ledger.now_ms()
        self.ledger.record_end(
            identity(name),
            leaf=leaf,
            end=quarantine.LeafEnd(
                service=service, sent_ms=now_ms - 10, ended_ms=now_ms
            ),
        )

    def bar(self, name):
        for k in range(3):
            self.end_leaf(name, f"{name}-{k}")
            self.clock.advance(1.0)


def identity(name):
    return replicas.RequestIdentity(
        fingerprint=name, description=f"GET /{name}"
    )


def test_flood_of_distinct_requests_fills_the_memory():
    harness = Harness()
    harness.bar("poison")
    for k in range(3_000):
        harness.end_leaf(f"q{k}", f"leaf-{k}")
        harness.clock.advance(0.01)
    known = harness.ledger.record_by_fingerprint
    assert len(known) == ledgers.RECORDS_MAX
    assert len(harness.ledger.own_by_fingerprint) == ledgers.OWN_RECORDS_MAX
    assert harness.gate.admit(identity("poison")).refused
    data = quarantine.encode_records(harness.ledger.own_by_fingerprint)
    assert len(data) < 100_000


def test_flood_from_other_vms_fills_the_memory():
    harness, other = Harness(), Harness()
    harness.bar("poison")
    for k in range(20):
        other.ledger.own_by_fingerprint.clear()
        for j in range(150):
            other.end_leaf(f"q{k}-{j}", f"leaf-{k}-{j}")
        harness.ledger.merge(other.ledger.own_by_fingerprint)
    assert len(harness.ledger.record_by_fingerprint) == ledgers.RECORDS_MAX
    assert harness.gate.admit(identity("poison")).refused


def test_expired_evidence_is_kept():
    harness = Harness()
    harness.end_leaf("once", "a")
    harness.bar("poison")
    harness.clock.advance(11 * 60.0)
    assert harness.ledger.drop_expired()
    assert set(harness.ledger.record_by_fingerprint) == {"poison"}
    harness.clock.advance(3_700.0)
    assert harness.ledger.drop_expired()
    assert harness.ledger.record_by_fingerprint == {}


def test_evidence_that_was_cleared_at_once_is_published():
    harness = Harness()
    harness.end_leaf("once", "a")
    harness.ledger.clear_service("once", "s")
    assert harness.ledger.records_to_publish() == {}
    harness.end_leaf("known", "b")
    harness.ledger.handle_published(["known"])
    harness.ledger.clear_service("known", "s")
    assert set(harness.ledger.records_to_publish()) == {"known"}


def test_evidence_from_a_clock_far_ahead_bars_a_request():
    harness, ahead = Harness(), Harness()
    ahead.clock.advance(600.0)
    ahead.bar("poison")
    harness.ledger.merge(ahead.ledger.own_by_fingerprint)
    assert not harness.gate.admit(identity("poison")).refused


def test_two_trials_run_at_the_same_time():
    harness = Harness()
    harness.bar("poison")
    harness.clock.advance(61.0)
    assert harness.gate.admit(identity("poison")).on_trial
    assert harness.gate.admit(identity("poison")).refused
    harness.gate.end_trial(identity("poison"))
    assert harness.gate.admit(identity("poison")).on_trial


def test_leaf_that_runs_after_all_counts_as_ended():
    harness = Harness()
    harness.bar("poison")
    harness.ledger.clear_leaf("poison-1")
    assert not harness.gate.admit(identity("poison")).refused


def test_records_are_lost_between_vms():
    harness, other = Harness(), Harness()
    other.bar("poison")
    other.ledger.clear_leaf("poison-1")
    data = quarantine.encode_records(other.ledger.own_by_fingerprint)
    harness.ledger.merge(quarantine.decode_records(data).ok)
    assert (
        harness.ledger.record_by_fingerprint
        == other.ledger.record_by_fingerprint
    )


def test_malformed_records_are_read():
    for data in (b"", b"[]", b"{", b'{"f": 1}', b'{"f": {"ends": {}}}', None):
        assert quarantine.decode_records(data).is_error()


def bar_together(harness, *names):
    """Let leaves end under several requests at once."""
    for k in range(3):
        for name in names:
            harness.end_leaf(name, f"leaf-{k}")
        harness.clock.advance(1.0)


def test_one_of_several_barred_requests_waits_for_its_bar_to_end():
    # Guards against popular requests that stay refused for a minute, since they
    # were in flight as a service crashed for another reason.
    harness = Harness()
    harness.gate.owns_trial = lambda fingerprint, since_s: True
    bar_together(harness, "a", "b", "c")
    refusal = harness.gate.admit(identity("a"))
    assert refusal.refused and refusal.retry_after_s < 8.0
    harness.clock.advance(8.0)
    for name in "abc":
        assert harness.gate.admit(identity(name)).on_trial
        assert harness.gate.admit(identity(name)).refused
        assert not harness.gate.is_barred(identity(name), on_trial=True)
        assert harness.gate.is_barred(identity(name))
        harness.gate.record_answer(identity(name), "s")
        harness.gate.end_trial(identity(name))
        assert not harness.gate.admit(identity(name)).refused


def test_early_trial_is_made_by_each_vm():
    harness = Harness()
    bar_together(harness, "a", "b")
    harness.clock.advance(9.0)
    assert harness.gate.admit(identity("a")).refused


def test_early_trial_that_ends_a_leaf_is_repeated():
    harness = Harness()
    harness.gate.owns_trial = lambda fingerprint, since_s: True
    bar_together(harness, "a", "b")
    harness.clock.advance(9.0)
    assert harness.gate.admit(identity("a")).on_trial
    harness.end_leaf("a", "leaf-9")
    harness.gate.end_trial(identity("a"))
    assert harness.gate.is_barred(identity("a"), on_trial=True)
    for _ in range(50):
        harness.clock.advance(1.0)
        assert harness.gate.admit(identity("a")).refused


def test_request_that_alone_ends_leaves_is_tried_early():
    harness = Harness()
    harness.gate.owns_trial = lambda fingerprint, since_s: True
    harness.bar("poison")
    harness.bar("other")
    for _ in range(50):
        harness.clock.advance(1.0)
        assert harness.gate.admit(identity("poison")).refused
