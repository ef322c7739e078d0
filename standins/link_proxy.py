"""A proxy on loopback that delays, resets, cuts one way or goes silent."""

import enum
from typing import Any

from twisted.internet import protocol, reactor


class LinkFault(enum.Enum):
    """What the link does to bytes."""

    NONE = enum.auto()
    DELAY = enum.auto()
    SILENT = enum.auto()
    CUT_THERE = enum.auto()
    CUT_BACK = enum.auto()


class _Far(protocol.Protocol):
    """The proxy's connection to the server."""

    def __init__(self, *, near: "_Near") -> None:
        self.near = near

    def connectionMade(self) -> None:  # noqa: N802
        self.near.far_open(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.near.proxy.carry(
            self.near.transport, data, cut_by=LinkFault.CUT_BACK
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.near.transport.loseConnection()


class _FarFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, *, near: "_Near") -> None:
        self._near = near

    def buildProtocol(self, addr: Any) -> _Far:  # noqa: N802
        return _Far(near=self._near)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._near.transport.abortConnection()


class _Near(protocol.Protocol):
    """The connection that a VM has opened."""

    def __init__(self, *, proxy: "FaultProxy") -> None:
        self.proxy = proxy
        self._far: _Far | None = None
        self._waiting: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.connections.add(self)
        host, port = self.proxy.target
        reactor.connectTCP(host, port, _FarFactory(near=self))

    def far_open(self, far: _Far) -> None:
        self._far = far
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            self.dataReceived(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._far is None:
            self._waiting.append(data)
            return
        self.proxy.carry(self._far.transport, data, cut_by=LinkFault.CUT_THERE)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.proxy.connections.discard(self)
        if self._far is not None:
            self._far.transport.abortConnection()

    def reset(self) -> None:
        self.transport.abortConnection()


class FaultProxy(protocol.Factory):
    """Listens for VMs and passes bytes on to one server.

    Attributes:
        target: The server.
        fault: What the link does now.
        delay_s: How late bytes are under `LinkFault.DELAY`.
        connections: The open ones.
    """

    noisy = False

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.connections: set[_Near] = set()

    def buildProtocol(self, addr: Any) -> _Near:  # noqa: N802
        """Makes one connection."""
        return _Near(proxy=self)

    def carry(self, transport: Any, data: bytes, *, cut_by: LinkFault) -> None:
        """Passes bytes on, later or never as the fault says."""
        if self.fault in (LinkFault.SILENT, cut_by):
            return
        if self.fault is LinkFault.DELAY:
            reactor.callLater(self.delay_s, transport.write, data)
            return
        transport.write(data)

    def reset_all(self) -> None:
        """Resets every open connection."""
        for connection in list(self.connections):
            connection.reset()
