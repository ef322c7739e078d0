"""Tests of the rate limit for control traffic."""

from trefoilpier import base, peer


class _BudgetHarness:
    def __init__(self, rate_bytes_per_s, burst_bytes):
        self.clock = base.VirtualClock()
        self.budget = peer.ControlBudget(
            clock=self.clock,
            rate_bytes_per_s=rate_bytes_per_s,
            burst_bytes=burst_bytes,
        )
        self.sent = []

    def submit(self, message, size=100):
        def send():
            self.sent.append((self.clock.monotonic(), message))
            return size

        self.budget.submit(message, send)


def test_traffic_stays_within_rate_and_burst():
    harness = _BudgetHarness(rate_bytes_per_s=1000.0, burst_bytes=500.0)
    for _ in range(100):
        harness.submit(peer.Notice(hops=0))
    harness.clock.advance(5.0)
    # One message may exceed the budget; later refills make up for it.
    assert harness.budget.sent_bytes <= 500 + 1000 * 5 + 100
    harness.clock.advance(10.0)
    assert len(harness.sent) == 100


def test_queued_messages_are_sent_by_priority():
    harness = _BudgetHarness(rate_bytes_per_s=1000.0, burst_bytes=50.0)
    harness.submit(peer.NodesPull(id="first"))
    harness.submit(peer.NodesPull(id="nodes"))
    harness.submit(peer.ObjectsPull(id="objects", hashes=()))
    harness.submit(peer.Notice(hops=0))
    harness.clock.advance(5.0)
    sent_types = [type(message) for _, message in harness.sent]
    assert sent_types == [
        peer.NodesPull,
        peer.Notice,
        peer.ObjectsPull,
        peer.NodesPull,
    ]


def test_probes_are_never_queued():
    harness = _BudgetHarness(rate_bytes_per_s=1.0, burst_bytes=1.0)
    for sequence in range(10):
        harness.submit(peer.Ping(sequence=sequence))
    assert len(harness.sent) == 10
