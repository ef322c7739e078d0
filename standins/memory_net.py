"""In-memory TCP connections on a virtual clock.

`MemoryReactor` replaces the reactor: protocols connect, write and close as over
sockets, and each step takes effect after a one-way network delay.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.python import failure

from trefoilpier import base

_ONE_WAY_DELAY_S = 0.0005


class MemoryTransport:
    """Transport at one end of a connection.

    Attributes:
        number: Number of the connection, in the order of their opening.
        peer: Transport at the other end.
        protocol: Protocol that receives the data.
        source: Name of who opened the connection, at the accepting end.
        silent: Whether everything sent from this end is lost.
        disconnecting: Whether this end has begun an orderly close.
    """

    __slots__ = (
        "_clock",
        "_delay_s",
        "_last_delivery_at",
        "_open",
        "bufferSize",
        "disconnecting",
        "number",
        "peer",
        "protocol",
        "silent",
        "source",
    )

    def __init__(self, *, clock: base.Clock, delay_s: float) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self._open = True
        self._last_delivery_at = 0.0
        self.disconnecting = False
        self.silent = False
        self.source = ""
        self.number = 0
        self.peer: MemoryTransport
        self.protocol: Any = None

    def _deliver(self, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at the other end, in the order of the calls."""
        if self.silent:
            return
        now = self._clock.monotonic()
        self._last_delivery_at = max(
            self._last_delivery_at, now + self._delay_s
        )
        self._clock.call_later(self._last_delivery_at - now, callback, *args)

    @property
    def connected(self) -> bool:
        """Whether this end is open."""
        return self._open

    def write(self, data: bytes) -> None:
        """Send data to the other end."""
        if self._open and not self.disconnecting:
            self._deliver(self.peer.receive, bytes(data))

    def receive(self, data: bytes) -> None:
        """Pass data from the other end to the protocol."""
        if self._open:
            self.protocol.dataReceived(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after the data already written."""
        if self.disconnecting or not self._open:
            return
        self.disconnecting = True
        self._deliver(self.peer.connection_ended, error.ConnectionDone())
        self._clock.call_later(
            0.0, self.connection_ended, error.ConnectionDone()
        )

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""
        if not self._open:
            return
        self._deliver(self.peer.connection_ended, error.ConnectionLost())
        self._clock.call_later(
            0.0, self.connection_ended, error.ConnectionAborted()
        )

    def connection_ended(self, reason: Exception) -> None:
        """Close this end and notify its protocol."""
        if self._open:
            self._open = False
            self.protocol.connectionLost(failure.Failure(reason))

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; tests send too little data to need flow control."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; tests send too little data to need flow control."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Do nothing; tests send too little data to need flow control."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing; tests send too little data to need flow control."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def getHandle(self) -> None:  # noqa: N802
        """Return None, as there is no socket."""


class MemoryReactor:
    """In-memory replacement of the reactor for TCP.

    Attributes:
        unresponsive_addresses: Addresses at which connection attempts time out.
        transports: Connecting ends of all connections so far.
    """

    __slots__ = (
        "_clock",
        "_connect_s",
        "_delay_s",
        "_factory_by_address",
        "unresponsive_addresses",
        "transports",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        connect_s: float = 2 * _ONE_WAY_DELAY_S,
        delay_s: float = _ONE_WAY_DELAY_S,
    ) -> None:
        """Create a network without listeners.

        Args:
            clock: Clock of the simulation.
            connect_s: Time to open a connection, in seconds.
            delay_s: Delay of the links in one direction, in seconds.
        """
        self._clock = clock
        self._delay_s = delay_s
        self._connect_s = connect_s
        self._factory_by_address: dict[tuple[str, int], Any] = {}
        self.unresponsive_addresses: set[tuple[str, int]] = set()
        self.transports: list[MemoryTransport] = []

    def listen(self, host: str, port: int, factory: Any) -> None:
        """Accept connections at an address."""
        self._factory_by_address[host, port] = factory

    def stop_listening(self, host: str, port: int) -> None:
        """Refuse further connections at an address."""
        self._factory_by_address.pop((host, port), None)

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30.0
    ) -> None:
        """Connect, or fail; for an unresponsive address, after the timeout."""
        if (host, port) in self.unresponsive_addresses:
            self._clock.call_later(
                timeout, self._fail_connection, factory, error.TimeoutError()
            )
            return
        self._clock.call_later(
            self._connect_s, self._connect, host, port, factory
        )

    def _fail_connection(self, factory: Any, reason: Exception) -> None:
        factory.clientConnectionFailed(None, failure.Failure(reason))

    def _connect(self, host: str, port: int, factory: Any) -> None:
        server_factory = self._factory_by_address.get((host, port))
        if server_factory is None:
            self._fail_connection(factory, error.ConnectionRefusedError())
            return
        client = MemoryTransport(clock=self._clock, delay_s=self._delay_s)
        server = MemoryTransport(clock=self._clock, delay_s=self._delay_s)
        client.peer, server.peer = server, client
        server.source = getattr(factory, "source", "")
        client.number = server.number = len(self.transports)
        for transport, protocol_factory in (
            (server, server_factory),
            (client, factory),
        ):
            protocol = protocol_factory.buildProtocol(None)
            transport.protocol = protocol
            protocol.transport = transport
        self.transports.append(client)
        server.protocol.connectionMade()
        client.protocol.connectionMade()
