"""TCP between objects of one process, at a virtual clock.

`MemoryNet` takes the reactor's place: protocols connect, write and close as
over sockets, each step after the delay of the network.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.python import failure

from trefoilpier import base

_DELAY_S = 0.0005


class MemoryTransport:
    """One end of a connection.

    Attributes:
        silent: Whether nothing that is written arrives any more.
        disconnecting: Whether the end has asked to close.
    """

    __slots__ = (
        "_clock",
        "_delay_s",
        "_last_at",
        "_open",
        "disconnecting",
        "peer",
        "protocol",
        "silent",
    )

    def __init__(self, *, clock: base.Clock, delay_s: float) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self._open = True
        self._last_at = 0.0
        self.disconnecting = False
        self.silent = False
        self.peer: MemoryTransport
        self.protocol: Any = None

    def _deliver(self, callback: Callable[..., None], *args: Any) -> None:
        """Runs a step at the other end, never before an earlier one."""
        if self.silent:
            return
        now = self._clock.monotonic()
        self._last_at = max(self._last_at, now + self._delay_s)
        self._clock.call_later(self._last_at - now, callback, *args)

    @property
    def connected(self) -> bool:
        """Whether this end is open."""
        return self._open

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if self._open and not self.disconnecting:
            self._deliver(self.peer.receive, bytes(data))

    def receive(self, data: bytes) -> None:
        """Takes bytes from the other end."""
        if self._open:
            self.protocol.dataReceived(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes in order."""
        if self.disconnecting or not self._open:
            return
        self.disconnecting = True
        self._deliver(self.peer.end, error.ConnectionDone())
        self._clock.call_later(0.0, self.end, error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Resets."""
        if not self._open:
            return
        self._deliver(self.peer.end, error.ConnectionLost())
        self._clock.call_later(0.0, self.end, error.ConnectionAborted())

    def end(self, reason: Exception) -> None:
        """Ends this side."""
        if self._open:
            self._open = False
            self.protocol.connectionLost(failure.Failure(reason))

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; the amounts of a test are small."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing; the amounts of a test are small."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Does nothing."""

    def getHandle(self) -> None:  # noqa: N802
        """Returns no socket."""


class MemoryNet:
    """Listens and connects.

    Attributes:
        dark: Addresses that do not answer.
        transports: The callers' ends of all connections so far.
    """

    __slots__ = ("_clock", "_factory_by_address", "dark", "transports")

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._factory_by_address: dict[tuple[str, int], Any] = {}
        self.dark: set[tuple[str, int]] = set()
        self.transports: list[MemoryTransport] = []

    def listen(self, host: str, port: int, factory: Any) -> None:
        """Starts to accept connections."""
        self._factory_by_address[host, port] = factory

    def unlisten(self, host: str, port: int) -> None:
        """Refuses connections from now on."""
        self._factory_by_address.pop((host, port), None)

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30.0
    ) -> None:
        """Connects, fails, or fails after the timeout."""
        if (host, port) in self.dark:
            self._clock.call_later(
                timeout, self._fail, factory, error.TimeoutError()
            )
            return
        self._clock.call_later(2 * _DELAY_S, self._connect, host, port, factory)

    def _fail(self, factory: Any, reason: Exception) -> None:
        factory.clientConnectionFailed(None, failure.Failure(reason))

    def _connect(self, host: str, port: int, factory: Any) -> None:
        listening = self._factory_by_address.get((host, port))
        if listening is None:
            self._fail(factory, error.ConnectionRefusedError())
            return
        near = MemoryTransport(clock=self._clock, delay_s=_DELAY_S)
        far = MemoryTransport(clock=self._clock, delay_s=_DELAY_S)
        near.peer, far.peer = far, near
        for transport, maker in ((far, listening), (near, factory)):
            protocol = maker.buildProtocol(None)
            transport.protocol = protocol
            protocol.transport = transport
        self.transports.append(near)
        far.protocol.connectionMade()
        near.protocol.connectionMade()
