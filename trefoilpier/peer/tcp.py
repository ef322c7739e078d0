"""Peers over TCP and UDP, by Twisted."""

import contextlib
import os
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints, error, protocol
from twisted.protocols import basic

from trefoilpier import base
from trefoilpier.peer import auth, codec, messages, network

FRAME_BYTES_MAX = 8_000_000
_NONCE_BYTES = 16
_HELLO_TIMEOUT_S = 2.0
_QUEUE_MAX = 4096
_FRAME_OVERHEAD_BYTES = 4 + auth.MAC_BYTES
_CONNECT_TIMEOUT_S = 1.0


class PeerLink(basic.Int32StringReceiver):
    """One TCP connection between two entry VMs.

    Attributes:
        peer_id: The other end's id, empty until its hello has come.
    """

    MAX_LENGTH = FRAME_BYTES_MAX

    def __init__(self, *, owner: "TwistedPeerNetwork", own_id: str) -> None:
        self._owner = owner
        self._own_id = own_id
        self._nonce = os.urandom(_NONCE_BYTES)
        self._out: auth.FrameMac | None = None
        self._in: auth.FrameMac | None = None
        self._waiting: list[bytes] = []
        self._hello_timer: base.Timer | None = None
        self.peer_id = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the hello and bounds the wait for the other's."""
        self.transport.setTcpNoDelay(True)
        hello = messages.Envelope(
            sender=self._own_id,
            config_version=0,
            message=messages.Hello(nonce=self._nonce),
        )
        data = codec.encode(hello)
        self.sendString(auth.hello_mac(self._owner.key, data) + data)
        self._hello_timer = self._owner.clock.call_later(
            _HELLO_TIMEOUT_S, self._no_hello
        )

    def _no_hello(self) -> None:
        if not self.peer_id:
            self._reject("no hello in time")

    def send(self, data: bytes) -> None:
        """Sends a message, after the hello of the other end."""
        if self._out is None:
            if len(self._waiting) < _QUEUE_MAX:
                self._waiting.append(data)
            return
        self.sendString(self._out.sign(data) + data)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Checks one frame and hands its message over."""
        mac, data = frame[: auth.MAC_BYTES], frame[auth.MAC_BYTES :]
        if self._in is None:
            self._hello_received(mac, data)
            return
        if not self._in.check(data, mac):
            self._reject("wrong code")
            return
        try:
            envelope = codec.decode(data)
        except ValueError as bad:
            self._reject(str(bad))
            return
        if envelope.sender != self.peer_id:
            self._reject("wrong sender")
            return
        self._owner.received(envelope)

    def _hello_received(self, mac: bytes, data: bytes) -> None:
        """Checks the hello and derives the keys of the link."""
        key = self._owner.key
        if auth.hello_mac(key, data) != mac:
            self._reject("wrong key")
            return
        try:
            envelope = codec.decode(data)
        except ValueError as bad:
            self._reject(str(bad))
            return
        hello = envelope.message
        if not isinstance(hello, messages.Hello) or (
            hello.nonce == self._nonce or len(hello.nonce) != _NONCE_BYTES
        ):
            self._reject("no hello")
            return
        self.peer_id = envelope.sender
        self._out = auth.FrameMac(
            key=key, first=self._nonce, second=hello.nonce
        )
        self._in = auth.FrameMac(key=key, first=hello.nonce, second=self._nonce)
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self._owner.link_up(self)
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            self.send(each)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Closes the link of a frame that is too large."""
        self._reject(f"frame of {length} bytes")

    def _reject(self, reason: str) -> None:
        self._owner.log.emit(
            base.Event.PEER_REJECTED,
            peer=self.peer_id or str(self.transport.getPeer().host),
            reason=reason,
        )
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Reports the lost link."""
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self._owner.link_down(self)


class _DatagramPort(protocol.DatagramProtocol):
    """The UDP side."""

    def __init__(self, *, owner: "TwistedPeerNetwork") -> None:
        self._owner = owner

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple
    ) -> None:
        self._owner.datagram_received(datagram, addr)


class _LinkFactory(protocol.Factory):
    """Builds the link of an accepted or opened connection."""

    noisy = False

    def __init__(self, *, build: Callable[[], PeerLink]) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return self._build()


class TwistedPeerNetwork(network.PeerNetwork):
    """Links and datagrams of one process.

    Each node opens its own link to a peer and also answers over the links
    that peers have opened.

    Attributes:
        key: The shared key.
        clock: The clock.
        log: Where events go.
    """

    __slots__ = (
        "_link_by_peer",
        "_listening",
        "_on_link_lost",
        "_on_message",
        "_opened_by_peer",
        "_own_id",
        "_reactor",
        "_udp",
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
        self._opened_by_peer: dict[str, PeerLink | None] = {}
        self._on_message: Callable[
            [messages.Envelope, network.PeerAddress | None], None
        ] = lambda envelope, address: None
        self._on_link_lost: Callable[[str], None] = lambda node_id: None
        self._listening: list[Any] = []
        self._udp: Any = None

    def set_listener(
        self,
        on_message: Callable[
            [messages.Envelope, network.PeerAddress | None], None
        ],
        on_link_lost: Callable[[str], None],
    ) -> None:
        """Sets who hears messages and lost links."""
        self._on_message = on_message
        self._on_link_lost = on_link_lost

    def listen(self, host: str, port: int) -> None:
        """Listens by TCP and UDP; raises ``CannotListenError``."""
        factory = _LinkFactory(build=self._build)
        self._listening.append(
            self._reactor.listenTCP(port, factory, interface=host)
        )
        self._udp = self._reactor.listenUDP(
            port, _DatagramPort(owner=self), interface=host
        )
        self._listening.append(self._udp)

    def stop(self) -> None:
        """Stops listening and closes every link."""
        for port in self._listening:
            port.stopListening()
        for link in list(self._link_by_peer.values()):
            link.transport.loseConnection()

    def has_link(self, node_id: str) -> bool:
        """Tells whether a link to or from a node is open."""
        return node_id in self._link_by_peer

    def send(
        self,
        node_id: str,
        address: network.PeerAddress | None,
        envelope: messages.Envelope,
    ) -> int:
        """Sends over a link, opened if there is none; returns the bytes."""
        link = self._link_by_peer.get(node_id)
        if link is None and address is None:
            return 0
        if link is None:
            link = self._open(node_id, address)
        data = codec.encode(envelope)
        link.send(data)
        return len(data) + _FRAME_OVERHEAD_BYTES

    def send_datagram(
        self, address: network.PeerAddress, envelope: messages.Envelope
    ) -> int:
        """Sends one datagram; a failure to send counts as a loss."""
        if self._udp is None:
            return 0
        data = codec.encode(envelope)
        packet = auth.sign_datagram(self.key, data) + data
        with contextlib.suppress(OSError, error.MessageLengthError):
            self._udp.write(packet, (address.host, address.port))
        return len(packet)

    def datagram_received(self, packet: bytes, addr: tuple) -> None:
        """Checks one datagram and hands its message over."""
        mac, data = packet[: auth.MAC_BYTES], packet[auth.MAC_BYTES :]
        if auth.sign_datagram(self.key, data) != mac:
            self._datagram_rejected(addr, "wrong key")
            return
        try:
            envelope = codec.decode(data)
        except ValueError as bad:
            self._datagram_rejected(addr, str(bad))
            return
        self._on_message(
            envelope, network.PeerAddress(host=addr[0], port=addr[1])
        )

    def _datagram_rejected(self, addr: tuple, reason: str) -> None:
        self.log.emit(base.Event.PEER_REJECTED, peer=addr[0], reason=reason)

    def received(self, envelope: messages.Envelope) -> None:
        """Hands a link's message over."""
        self._on_message(envelope, None)

    def link_up(self, link: PeerLink) -> None:
        """Notes a link whose hello has come."""
        self._link_by_peer[link.peer_id] = link
        self.log.emit(base.Event.PEER_CONNECTED, peer=link.peer_id)

    def link_down(self, link: PeerLink) -> None:
        """Forgets a link and reports it once."""
        node_id = link.peer_id
        for peer, opened in list(self._opened_by_peer.items()):
            if opened is link:
                del self._opened_by_peer[peer]
                node_id = node_id or peer
        if self._link_by_peer.get(node_id) is link:
            del self._link_by_peer[node_id]
        if node_id:
            self.log.emit(base.Event.PEER_LOST, peer=node_id)
            self._on_link_lost(node_id)

    def _build(self) -> PeerLink:
        return PeerLink(owner=self, own_id=self._own_id)

    def _open(self, node_id: str, address: network.PeerAddress) -> PeerLink:
        """Opens a link; messages wait in it until its hello has come."""
        link = self._opened_by_peer.get(node_id)
        if link is not None:
            return link
        link = self._build()
        self._opened_by_peer[node_id] = link
        endpoint_class = endpoints.TCP4ClientEndpoint
        if ":" in address.host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        endpoint = endpoint_class(
            self._reactor,
            address.host,
            address.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        opening = endpoint.connect(_LinkFactory(build=lambda: link))
        opening.addErrback(lambda reason: self.link_down(link))
        return link
