"""The peer network over TCP and UDP with Twisted."""

import contextlib
import os
import struct
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints, error, protocol

from trefoilpier import base
from trefoilpier.peer import auth, codec, messages, network

MAX_FRAME_BYTES = 8_000_000
_NONCE_BYTES = 16
_HELLO_TIMEOUT_S = 2.0
_MAX_QUEUED_MESSAGES = 4096
_LENGTH = struct.Struct("!I")  # Precedes each frame.
_FRAME_OVERHEAD_BYTES = _LENGTH.size + auth.MAC_BYTES
# Of a peer that has not shown that it knows the key.
_MAX_HELLO_BYTES = 4096
_CONNECT_TIMEOUT_S = 1.0


class PeerLink(protocol.Protocol):
    """One TCP connection between two entry VMs.

    Attributes:
        peer_id: Node id of the peer; empty until its Hello is accepted.
    """

    def __init__(self, *, owner: "TwistedPeerNetwork", own_id: str) -> None:
        self._owner = owner
        self._own_id = own_id
        self._nonce = os.urandom(_NONCE_BYTES)
        self._outbound_mac: auth.FrameMac | None = None
        self._inbound_mac: auth.FrameMac | None = None
        self._queued_messages: list[bytes] = []
        self._hello_timer: base.Timer | None = None
        self._received = bytearray()
        self._rejected = False
        self.peer_id = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Send the Hello and start the timeout for the peer's Hello."""
        self.transport.setTcpNoDelay(True)
        hello = messages.Envelope(
            sender=self._own_id,
            config_version=0,
            message=messages.Hello(nonce=self._nonce),
        )
        data = codec.encode(hello)
        self._send_frame(auth.hello_mac(self._owner.key, data) + data)
        self._hello_timer = self._owner.clock.call_later(
            _HELLO_TIMEOUT_S, self._check_hello_timeout
        )

    def _check_hello_timeout(self) -> None:
        if not self.peer_id:
            self._reject("timed out waiting for the Hello message")

    def send(self, data: bytes) -> None:
        """Send a message, or queue it until the peer's Hello is accepted."""
        if self._outbound_mac is None:
            if len(self._queued_messages) < _MAX_QUEUED_MESSAGES:
                self._queued_messages.append(data)
            return
        self._send_frame(self._outbound_mac.sign(data) + data)

    def _send_frame(self, frame: bytes) -> None:
        self.transport.write(_LENGTH.pack(len(frame)) + frame)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the frames that are complete.

        An incomplete one is not copied for each of its parts.
        """
        self._received += data
        begin = 0
        while not self._rejected:
            if len(self._received) - begin < _LENGTH.size:
                break
            (length,) = _LENGTH.unpack_from(self._received, begin)
            if length > self._max_frame_bytes:
                self._reject(f"frame of {length} bytes exceeds the limit")
                break
            end = begin + _LENGTH.size + length
            if end > len(self._received):
                break
            self._handle_frame(bytes(self._received[end - length : end]))
            begin = end
        if self._rejected:
            self._received.clear()
        elif begin:
            del self._received[:begin]

    @property
    def _max_frame_bytes(self) -> int:
        if self._inbound_mac is None:
            return _MAX_HELLO_BYTES
        return MAX_FRAME_BYTES

    def _handle_frame(self, frame: bytes) -> None:
        """Authenticate a frame and deliver its message."""
        mac, data = frame[: auth.MAC_BYTES], frame[auth.MAC_BYTES :]
        if self._inbound_mac is None:
            self._handle_hello(mac, data)
            return
        if not self._inbound_mac.check(data, mac):
            self._reject("invalid frame MAC")
            return
        try:
            envelope = codec.decode(data)
        except ValueError as decode_error:
            self._reject(str(decode_error))
            return
        if envelope.sender != self.peer_id:
            self._reject("sender is not the peer of this link")
            return
        self._owner.handle_envelope(envelope)

    def _handle_hello(self, mac: bytes, data: bytes) -> None:
        """Authenticate the peer's Hello and derive the keys of the link."""
        key = self._owner.key
        if auth.hello_mac(key, data) != mac:
            self._reject("invalid Hello MAC: the peers' keys may differ")
            return
        try:
            envelope = codec.decode(data)
        except ValueError as decode_error:
            self._reject(str(decode_error))
            return
        hello = envelope.message
        if not isinstance(hello, messages.Hello) or (
            hello.nonce == self._nonce or len(hello.nonce) != _NONCE_BYTES
        ):
            self._reject("first message is not a valid Hello")
            return
        self.peer_id = envelope.sender
        self._outbound_mac = auth.FrameMac(
            key=key, sender_nonce=self._nonce, receiver_nonce=hello.nonce
        )
        self._inbound_mac = auth.FrameMac(
            key=key, sender_nonce=hello.nonce, receiver_nonce=self._nonce
        )
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self._owner.register_link(self)
        queued, self._queued_messages = self._queued_messages, []
        for queued_data in queued:
            self.send(queued_data)

    def _reject(self, reason: str) -> None:
        self._rejected = True
        self._owner.log.emit(
            base.Event.PEER_REJECTED,
            peer=self.peer_id or str(self.transport.getPeer().host),
            reason=reason,
        )
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel the Hello timeout and report the lost link."""
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self._owner.unregister_link(self)


class _DatagramReceiver(protocol.DatagramProtocol):
    """The UDP protocol, which passes datagrams to the network."""

    def __init__(self, *, owner: "TwistedPeerNetwork") -> None:
        self._owner = owner

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple
    ) -> None:
        self._owner.handle_datagram(datagram, addr)


class _LinkFactory(protocol.Factory):
    """Factory for the link of an accepted or outbound connection."""

    noisy = False

    def __init__(self, *, build: Callable[[], PeerLink]) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return self._build()


class TwistedPeerNetwork(network.PeerNetwork):
    """The links and the UDP port of one process.

    Messages to a peer use the link that was established last, whether this
    node or the peer opened it; without one, this node opens a link.

    Attributes:
        key: The shared key of the nodes.
        clock: The clock for timeouts.
        log: The log for link events.
    """

    __slots__ = (
        "_link_by_peer",
        "_listening_ports",
        "_on_link_lost",
        "_on_message",
        "_outbound_link_by_peer",
        "_own_id",
        "_reactor",
        "_udp_port",
        "clock",
        "key",
        "log",
    )

    def __init__(
        self,
        *,
        reactor: Any,
        clock: base.Clock,
        log: base.EventLog,
        own_id: str,
        key: bytes,
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self.log = log
        self.key = key
        self._own_id = own_id
        self._link_by_peer: dict[str, PeerLink] = {}
        self._outbound_link_by_peer: dict[str, PeerLink | None] = {}
        self._on_message: Callable[
            [messages.Envelope, network.PeerAddress | None], None
        ] = lambda envelope, address: None
        self._on_link_lost: Callable[[str], None] = lambda node_id: None
        self._listening_ports: list[Any] = []
        self._udp_port: Any = None

    def set_listener(
        self,
        on_message: Callable[
            [messages.Envelope, network.PeerAddress | None], None
        ],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Set the callbacks for received messages and lost links."""
        self._on_message = on_message
        self._on_link_lost = on_link_lost

    def listen(self, host: str, port: int) -> None:
        """Listen on a TCP and a UDP port.

        Raises:
            CannotListenError: If a port is not available.
        """
        factory = _LinkFactory(build=self._build_link)
        self._listening_ports.append(
            self._reactor.listenTCP(port, factory, interface=host)
        )
        self._udp_port = self._reactor.listenUDP(
            port, _DatagramReceiver(owner=self), interface=host
        )
        self._listening_ports.append(self._udp_port)

    def stop(self) -> None:
        """Stop listening and close every link; later datagrams are dropped."""
        self._udp_port = None
        for port in self._listening_ports:
            port.stopListening()
        for link in list(self._link_by_peer.values()):
            link.transport.loseConnection()

    def has_link(self, node_id: str) -> bool:
        """Return whether a link to or from a node is open."""
        return node_id in self._link_by_peer

    def send(
        self,
        node_id: str,
        address: network.PeerAddress | None,
        envelope: messages.Envelope,
    ) -> int:
        """Send a message over a link and return its size in bytes."""
        link = self._link_by_peer.get(node_id)
        if link is None and address is None:
            return 0
        if link is None:
            link = self._open_link(node_id, address)
        data = codec.encode(envelope)
        link.send(data)
        return len(data) + _FRAME_OVERHEAD_BYTES

    def send_datagram(
        self, address: network.PeerAddress, envelope: messages.Envelope
    ) -> int:
        """Send a datagram; a failure to send is treated as packet loss."""
        if self._udp_port is None:
            return 0
        data = codec.encode(envelope)
        packet = auth.sign_datagram(self.key, data) + data
        with contextlib.suppress(OSError, error.MessageLengthError):
            self._udp_port.write(packet, (address.host, address.port))
        return len(packet)

    def handle_datagram(self, packet: bytes, addr: tuple) -> None:
        """Authenticate a datagram and deliver its message."""
        mac, data = packet[: auth.MAC_BYTES], packet[auth.MAC_BYTES :]
        if auth.sign_datagram(self.key, data) != mac:
            self._log_rejected_datagram(
                addr, "invalid datagram MAC: the peers' keys may differ"
            )
            return
        try:
            envelope = codec.decode(data)
        except ValueError as decode_error:
            self._log_rejected_datagram(addr, str(decode_error))
            return
        self._on_message(
            envelope, network.PeerAddress(host=addr[0], port=addr[1])
        )

    def _log_rejected_datagram(self, addr: tuple, reason: str) -> None:
        self.log.emit(base.Event.PEER_REJECTED, peer=addr[0], reason=reason)

    def handle_envelope(self, envelope: messages.Envelope) -> None:
        """Deliver a message received over a link."""
        self._on_message(envelope, None)

    def register_link(self, link: PeerLink) -> None:
        """Record a link whose Hello was accepted."""
        self._link_by_peer[link.peer_id] = link
        self.log.emit(base.Event.PEER_CONNECTED, peer=link.peer_id)

    def unregister_link(self, link: PeerLink) -> None:
        """Drop a lost link and report it."""
        node_id = link.peer_id
        for target_id, outbound_link in list(
            self._outbound_link_by_peer.items()
        ):
            if outbound_link is link:
                del self._outbound_link_by_peer[target_id]
                node_id = node_id or target_id
        if self._link_by_peer.get(node_id) is link:
            del self._link_by_peer[node_id]
        if node_id:
            self.log.emit(base.Event.PEER_LOST, peer=node_id)
            self._on_link_lost(node_id)

    def _build_link(self) -> PeerLink:
        return PeerLink(owner=self, own_id=self._own_id)

    def _open_link(
        self, node_id: str, address: network.PeerAddress
    ) -> PeerLink:
        """Open a link, or return the one that is being opened.

        The link queues messages until the peer's Hello is accepted.
        """
        link = self._outbound_link_by_peer.get(node_id)
        if link is not None:
            return link
        link = self._build_link()
        self._outbound_link_by_peer[node_id] = link
        endpoint_class = endpoints.TCP4ClientEndpoint
        if ":" in address.host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        endpoint = endpoint_class(
            self._reactor,
            address.host,
            address.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        connecting = endpoint.connect(_LinkFactory(build=lambda: link))
        connecting.addErrback(lambda reason: self.unregister_link(link))
        return link
