"""Tests that the peer port rejects hostile and damaged input."""

import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import testing

from standins import fleet
from trefoilpier import base, peer
from trefoilpier.peer import codec, tcp

_KEY = b"a key that the fleet shares"


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        self.no_delay = enabled


class _LinkHarness:
    """Two networks and both ends of a link between them, without sockets."""

    def __init__(self, other_key=_KEY):
        self.clock = base.VirtualClock()
        self.log = fleet.RecordingLog()
        self.received = []
        self.links = [
            self._make_link("vm-1", _KEY),
            self._make_link("vm-2", other_key),
        ]

    def _make_link(self, own_id, key):
        network = peer.TwistedPeerNetwork(
            reactor=None, clock=self.clock, log=self.log, own_id=own_id, key=key
        )
        network.set_listener(
            lambda envelope, address: self.received.append(envelope),
            lambda node_id: None,
        )
        link = tcp.PeerLink(owner=network, own_id=own_id)
        link.makeConnection(_Transport())
        return link

    def exchange_hellos(self):
        first, second = self.links
        first_hello, second_hello = (
            first.transport.value(),
            second.transport.value(),
        )
        first.transport.clear()
        second.transport.clear()
        first.dataReceived(second_hello)
        second.dataReceived(first_hello)

    def send_from_first(self, message):
        first, second = self.links
        envelope = peer.Envelope(
            sender="vm-1", config_version=1, message=message
        )
        first.send(codec.encode(envelope))
        data = first.transport.value()
        first.transport.clear()
        return data, second


def test_message_arrives_after_handshake():
    harness = _LinkHarness()
    harness.exchange_hellos()
    data, second = harness.send_from_first(peer.Cancel(id="q"))
    second.dataReceived(data)
    assert harness.received[0].message == peer.Cancel(id="q")


def test_peer_with_different_key_is_rejected():
    harness = _LinkHarness(other_key=b"another key than the fleet's")
    harness.exchange_hellos()
    assert all(peer_link.transport.disconnecting for peer_link in harness.links)
    assert base.Event.PEER_REJECTED in [event for event, _ in harness.log.rows]


def test_replayed_frame_is_rejected():
    harness = _LinkHarness()
    harness.exchange_hellos()
    data, second = harness.send_from_first(peer.Cancel(id="q"))
    second.dataReceived(data)
    second.dataReceived(data)
    assert len(harness.received) == 1
    assert second.transport.disconnecting


def test_oversized_frame_closes_its_link():
    harness = _LinkHarness()
    harness.exchange_hellos()
    second = harness.links[1]
    second.dataReceived((tcp.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
    assert second.transport.disconnecting
    assert harness.received == []


def test_frame_before_the_hello_may_not_be_long():
    # Guards against whoever reaches the port and sends a frame of 8 MB.
    harness = _LinkHarness()
    link = harness.links[1]
    link.dataReceived((100_000).to_bytes(4, "big"))
    assert link.transport.disconnecting


def test_long_frame_in_small_parts_is_copied_once():
    # Guards against a copy of all that has come for each part that comes, which
    # held the loop for seconds in all.
    harness = _LinkHarness()
    harness.exchange_hellos()
    second = harness.links[1]
    second.dataReceived(tcp.MAX_FRAME_BYTES.to_bytes(4, "big"))
    tracemalloc.start()
    for _ in range(4000):
        second.dataReceived(b"x" * 1000)
    _, most_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert most_bytes < 6_000_000
    assert not second.transport.disconnecting


def test_frames_after_a_rejected_one_are_ignored():
    harness = _LinkHarness()
    harness.exchange_hellos()
    data, second = harness.send_from_first(peer.Cancel(id="q"))
    second.dataReceived(b"\0\0\0\x40" + b"x" * 64 + data)
    assert second.transport.disconnecting
    assert harness.received == []


def test_link_without_hello_is_closed_after_timeout():
    harness = _LinkHarness()
    harness.clock.advance(5.0)
    assert all(peer_link.transport.disconnecting for peer_link in harness.links)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_random_bytes_deliver_no_message(data):
    harness = _LinkHarness()
    harness.exchange_hellos()
    harness.links[1].dataReceived(data)
    assert harness.received == []


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.integers(1, 255))
def test_flipped_bits_deliver_no_message(position, bit_mask):
    harness = _LinkHarness()
    harness.exchange_hellos()
    data, second = harness.send_from_first(peer.Cancel(id="query"))
    damaged = bytearray(data)
    damaged[position % len(damaged)] ^= bit_mask
    second.dataReceived(bytes(damaged))
    assert harness.received == []


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=600))
def test_decoder_raises_only_value_error(data):
    try:
        codec.decode(data)
    except ValueError:
        return


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.integers(1, 255))
def test_damaged_message_raises_only_value_error(position, bit_mask):
    envelope = peer.Envelope(
        sender="vm-1",
        config_version=3,
        message=peer.VersionsReply(id="q", versions_by_shard={1: (2, 3)}),
    )
    data = bytearray(codec.encode(envelope))
    data[position % len(data)] ^= bit_mask
    try:
        codec.decode(bytes(data))
    except ValueError:
        return


def _encode_cancel(major, minor):
    builder = codec._ENVELOPE.new_message(
        major=major, minor=minor, sender="vm-1"
    )
    builder.init("cancel").id = "q"
    return builder.to_bytes()


def test_newer_minor_version_is_accepted():
    assert codec.decode(_encode_cancel(1, 9)).message == peer.Cancel(id="q")


def test_newer_major_version_is_rejected():
    with pytest.raises(ValueError, match="version 2"):
        codec.decode(_encode_cancel(2, 0))
