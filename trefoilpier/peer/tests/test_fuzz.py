"""Hostile and damaged bytes on the peer port change nothing."""

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


class _Pair:
    """Two networks and a link between them, without sockets."""

    def __init__(self, other_key=_KEY):
        self.clock = base.VirtualClock()
        self.log = fleet.RecordingLog()
        self.heard = []
        self.ends = [self._end("vm-1", _KEY), self._end("vm-2", other_key)]

    def _end(self, own_id, key):
        network = peer.TwistedPeerNetwork(
            reactor=None, clock=self.clock, log=self.log, own_id=own_id, key=key
        )
        network.set_listener(
            lambda envelope, address: self.heard.append(envelope),
            lambda node_id: None,
        )
        link = tcp.PeerLink(owner=network, own_id=own_id)
        link.makeConnection(_Transport())
        return link

    def shake(self):
        first, second = self.ends
        one, two = first.transport.value(), second.transport.value()
        first.transport.clear()
        second.transport.clear()
        first.dataReceived(two)
        second.dataReceived(one)

    def carry(self, message):
        first, second = self.ends
        envelope = peer.Envelope(
            sender="vm-1", config_version=1, message=message
        )
        first.send(codec.encode(envelope))
        data = first.transport.value()
        first.transport.clear()
        return data, second


def test_message_arrives_after_the_handshake():
    pair = _Pair()
    pair.shake()
    data, second = pair.carry(peer.Cancel(id="q"))
    second.dataReceived(data)
    assert pair.heard[0].message == peer.Cancel(id="q")


def test_stranger_with_another_key_is_refused():
    pair = _Pair(other_key=b"another key than the fleet's")
    pair.shake()
    assert all(end.transport.disconnecting for end in pair.ends)
    assert base.Event.PEER_REJECTED in [event for event, _ in pair.log.rows]


def test_repeated_frame_is_refused():
    pair = _Pair()
    pair.shake()
    data, second = pair.carry(peer.Cancel(id="q"))
    second.dataReceived(data)
    second.dataReceived(data)
    assert len(pair.heard) == 1
    assert second.transport.disconnecting


def test_frame_that_is_too_large_closes_only_its_link():
    pair = _Pair()
    pair.shake()
    second = pair.ends[1]
    second.dataReceived((tcp.FRAME_BYTES_MAX + 1).to_bytes(4, "big"))
    assert second.transport.disconnecting
    assert pair.heard == []


def test_link_without_a_hello_is_closed_in_time():
    pair = _Pair()
    pair.clock.advance(5.0)
    assert all(end.transport.disconnecting for end in pair.ends)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_random_bytes_are_heard_by_nobody(data):
    pair = _Pair()
    pair.shake()
    pair.ends[1].dataReceived(data)
    assert pair.heard == []


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.integers(1, 255))
def test_flipped_bit_is_heard_by_nobody(place, change):
    pair = _Pair()
    pair.shake()
    data, second = pair.carry(peer.Cancel(id="query"))
    damaged = bytearray(data)
    damaged[place % len(damaged)] ^= change
    second.dataReceived(bytes(damaged))
    assert pair.heard == []


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=600))
def test_decoder_raises_only_value_errors(data):
    try:
        codec.decode(data)
    except ValueError:
        return


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.integers(1, 255))
def test_damaged_message_never_breaks_the_decoder(place, change):
    envelope = peer.Envelope(
        sender="vm-1",
        config_version=3,
        message=peer.VersionsReply(id="q", versions_by_shard={1: (2, 3)}),
    )
    data = bytearray(codec.encode(envelope))
    data[place % len(data)] ^= change
    try:
        codec.decode(bytes(data))
    except ValueError:
        return


def _raw_cancel(major, minor):
    row = codec._ENVELOPE.new_message(major=major, minor=minor, sender="vm-1")
    row.init("cancel").id = "q"
    return row.to_bytes()


def test_newer_minor_version_is_tolerated():
    assert codec.decode(_raw_cancel(1, 9)).message == peer.Cancel(id="q")


def test_newer_major_version_is_refused():
    with pytest.raises(ValueError, match="version 2"):
        codec.decode(_raw_cancel(2, 0))
