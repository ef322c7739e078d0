"""Tests of the sockets between entry VMs."""

import pytest
from twisted.internet import reactor

from trefoilpier import base, peer


@pytest.fixture(name="network")
def make_network():
    network = peer.TwistedPeerNetwork(
        reactor=reactor,
        clock=base.VirtualClock(),
        log=base.NullEventLog(),
        own_id="vm-1",
        key=b"k",
    )
    network.listen("127.0.0.1", 0)
    yield network
    network.stop()


def test_datagram_after_the_end_of_listening_is_dropped(network):
    # A VM that stops still has timers that send membership probes.
    address = peer.PeerAddress(host="127.0.0.1", port=9)
    envelope = peer.Envelope(
        sender="vm-1", config_version=0, message=peer.Notice(hops=0)
    )
    assert network.send_datagram(address, envelope) > 0
    network.stop()
    assert network.send_datagram(address, envelope) == 0
