"""TCP proxy on loopback that injects network faults."""

import enum
from typing import Any

from twisted.internet import protocol, reactor


class LinkFault(enum.Enum):
    """Fault of a link: delay, loss of all data, or refusal of connections.

    CUT_THERE drops the data to the server, CUT_BACK the data from it, and
    SILENT both. REFUSE resets new connections, and open ones live on.
    """

    NONE = enum.auto()
    DELAY = enum.auto()
    SILENT = enum.auto()
    CUT_THERE = enum.auto()
    CUT_BACK = enum.auto()
    REFUSE = enum.auto()


class _ServerConnection(protocol.Protocol):
    """Connection from the proxy to the server."""

    def __init__(self, *, client: "_ClientConnection") -> None:
        self.client = client

    def connectionMade(self) -> None:  # noqa: N802
        self.client.server_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.client.forward(
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

    @property
    def source(self) -> str:
        """Address of the VM."""
        return self.transport.getPeer().host

    def connectionMade(self) -> None:  # noqa: N802
        if self.proxy.fault_of(self.source) is LinkFault.REFUSE:
            self.transport.abortConnection()
            return
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
        self.forward(
            self._server.transport, data, cut_fault=LinkFault.CUT_THERE
        )

    def forward(
        self, transport: Any, data: bytes, *, cut_fault: LinkFault
    ) -> None:
        """Forward data; delay or drop it as the current fault requires.

        Args:
            transport: Transport of the receiving side.
            data: Data to forward.
            cut_fault: One-way fault that drops data in this direction.
        """
        fault = self.proxy.fault_of(self.source)
        if fault in (LinkFault.SILENT, cut_fault):
            return
        if fault is LinkFault.DELAY:
            reactor.callLater(self.proxy.delay_s, transport.write, data)
            return
        transport.write(data)

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
        fault: Fault that is in effect for all VMs.
        fault_by_source: Faults for single VMs, by their addresses.
        delay_s: Delay of data in seconds under `LinkFault.DELAY`.
        connections: Open connections from VMs.
    """

    noisy = False

    def __init__(
        self,
        *,
        target: tuple[str, int],
        fault_by_source: dict[str, LinkFault] | None = None,
    ) -> None:
        """Create a proxy without a fault.

        Args:
            target: Host and port of the server.
            fault_by_source: Faults for single VMs, which proxies may share.
        """
        self.target = target
        self.fault = LinkFault.NONE
        self.fault_by_source = (
            {} if fault_by_source is None else fault_by_source
        )
        self.delay_s = 0.0
        self.connections: set[_ClientConnection] = set()

    def buildProtocol(self, addr: Any) -> _ClientConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return _ClientConnection(proxy=self)

    def fault_of(self, source: str) -> LinkFault:
        """Return the fault that is in effect for a VM."""
        if self.fault is not LinkFault.NONE:
            return self.fault
        return self.fault_by_source.get(source, LinkFault.NONE)

    def reset_all(self, source: str = "") -> None:
        """Reset all open connections, or those of one VM."""
        for connection in list(self.connections):
            if not source or connection.source == source:
                connection.reset()
