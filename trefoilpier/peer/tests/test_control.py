"""The budget of control bytes."""

from trefoilpier import base, peer


class _Wire:
    def __init__(self, rate, burst):
        self.clock = base.VirtualClock()
        self.budget = peer.ControlBudget(
            clock=self.clock, rate=rate, burst=burst
        )
        self.sent = []

    def submit(self, message, size=100):
        def send():
            self.sent.append((self.clock.monotonic(), message))
            return size

        self.budget.submit(message, send)


def test_traffic_stays_within_rate_and_burst():
    wire = _Wire(rate=1000.0, burst=500.0)
    for _ in range(100):
        wire.submit(peer.Notice(hops=0))
    wire.clock.advance(5.0)
    # One message may overdraw the balance, and is paid for afterwards.
    assert wire.budget.sent_bytes <= 500 + 1000 * 5 + 100
    wire.clock.advance(10.0)
    assert len(wire.sent) == 100


def test_what_waits_goes_in_order_of_importance():
    wire = _Wire(rate=1000.0, burst=50.0)
    wire.submit(peer.NodesPull(id="first"))
    wire.submit(peer.NodesPull(id="nodes"))
    wire.submit(peer.ObjectsPull(id="objects", hashes=()))
    wire.submit(peer.Notice(hops=0))
    wire.clock.advance(5.0)
    kinds = [type(message) for _, message in wire.sent]
    assert kinds == [
        peer.NodesPull,
        peer.Notice,
        peer.ObjectsPull,
        peer.NodesPull,
    ]


def test_probes_are_never_held_back():
    wire = _Wire(rate=1.0, burst=1.0)
    for sequence in range(10):
        wire.submit(peer.Ping(sequence=sequence))
    assert len(wire.sent) == 10
