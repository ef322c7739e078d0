"""TCP proxy on loopback that injects network faults."""

import enum
from typing import Any

from twisted.internet import protocol, reactor


class LinkFault(enum.Enum):
    """Fault of a link: delay, or loss of all data in one or both directions.

    CUT_THERE drops the data to the server, CUT_BACK the data from it, and
    SILENT both.
    """

    NONE = enum.auto()
    DELAY = enum.auto()
    SILENT = enum.auto()
    CUT_THERE = enum.auto()
    CUT_BACK = enum.auto()


class _ServerConnection(protocol.Protocol):
    """Connection from the proxy to the server."""

    def __init__(self, *, client: "_ClientConnection") -> None:
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802
        self.client.server_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.client.proxy.forward(
            self.client.transport, data, cut_fault=LinkFault.CUT_BACK
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.client.transport.loseConnection()


class _ServerConnectionFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, *, client: "_ClientConnection") -> None:
        self._client = client

    def buildProtocol(self, addr: Any) -> _ServerConnection:  # noqa: N802
        return _ServerConnection(client=self._client)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._client.transport.abortConnection()


class _ClientConnection(protocol.Protocol):
    """Connection from a VM to the proxy.

    Data that arrives before the connection to the server is open is kept.
    """

    def __init__(self, *, proxy: "FaultProxy") -> None:
        self.proxy = proxy
        self._server: _ServerConnection | None = None
        self._pending_chunks: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.connections.add(self)
        host, port = self.proxy.target
        reactor.connectTCP(host, port, _ServerConnectionFactory(client=self))

    def server_connected(self, server: _ServerConnection) -> None:
        self._server = server
        pending, self._pending_chunks = self._pending_chunks, []
        for data in pending:
            self.dataReceived(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._server is None:
            self._pending_chunks.append(data)
            return
        self.proxy.forward(
            self._server.transport, data, cut_fault=LinkFault.CUT_THERE
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.connections.discard(self)
        if self._server is not None:
            self._server.transport.abortConnection()

    def reset(self) -> None:
        self.transport.abortConnection()


class FaultProxy(protocol.Factory):
    """Factory of proxied connections from VMs to one server.

    Attributes:
        target: Host and port of the server.
        fault: Fault that is in effect.
        delay_s: Delay of data in seconds under `LinkFault.DELAY`.
        connections: Open connections from VMs.
    """

    noisy = False

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.connections: set[_ClientConnection] = set()

    def buildProtocol(self, addr: Any) -> _ClientConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return _ClientConnection(proxy=self)

    def forward(
        self, transport: Any, data: bytes, *, cut_fault: LinkFault
    ) -> None:
        """Forward data; delay or drop it as the current fault requires.

        Args:
            transport: Transport of the receiving side.
            data: Data to forward.
            cut_fault: One-way fault that drops data in this direction.
        """
        if self.fault in (LinkFault.SILENT, cut_fault):
            return
        if self.fault is LinkFault.DELAY:
            reactor.callLater(self.delay_s, transport.write, data)
            return
        transport.write(data)

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()
