"""Single calls to one server, each with a bounded wait."""

from typing import Any

from twisted.internet import defer, protocol

from trefoilpier import base
from trefoilpier.http1 import client, message

_CONNECT_TIMEOUT_S = 1.0  # A healthy server accepts within milliseconds.


class _Factory(protocol.ClientFactory):
    """Makes the connection of one call and reports a failed one."""

    noisy = False

    def __init__(self, *, asker: "Asker", call: "_Call") -> None:
        self._asker = asker
        self._call = call

    def buildProtocol(self, addr: Any) -> client.ClientConnection:  # noqa: N802
        return self._asker.make_connection(self._call)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._call.end(client.Lost(reason=reason.getErrorMessage(), sent=False))


class _Call:
    """One call that waits for its answer."""

    __slots__ = ("connection", "data", "done", "method", "timer")

    def __init__(self, *, method: bytes, data: bytes) -> None:
        self.method = method
        self.data = data
        self.done: defer.Deferred[client.Exchanged | client.Lost] = (
            defer.Deferred()
        )
        self.connection: client.ClientConnection | None = None
        self.timer: base.Timer | None = None

    def end(self, outcome: client.Exchanged | client.Lost) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not self.done.called:
            self.done.callback(outcome)

    def time_out(self) -> None:
        """Gives up; nothing further is expected over the connection."""
        if self.connection is not None:
            self.connection.withdraw()
        sent = self.connection is not None
        self.end(client.Lost(reason="no answer in time", sent=sent))


class Asker(client.ConnectionEvents):
    """Calls one server over as many connections as calls are out.

    Attributes:
        calls: Calls made so far.
    """

    __slots__ = (
        "_call_by_connection",
        "_clock",
        "_host",
        "_idle",
        "_port",
        "_reactor",
        "calls",
    )

    def __init__(
        self, *, reactor: Any, clock: base.Clock, host: str, port: int
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._host = host
        self._port = port
        self._idle: list[client.ClientConnection] = []
        self._call_by_connection: dict[client.ClientConnection, _Call] = {}
        self.calls = 0

    def ask(
        self,
        method: bytes,
        target: bytes,
        *,
        timeout_s: float,
        headers: message.Headers | None = None,
        body: bytes = b"",
    ) -> "defer.Deferred[client.Exchanged | client.Lost]":
        """Makes one call; the Deferred never fails."""
        self.calls += 1
        given = list(headers or [])
        if message.find_header(given, b"host") is None:
            given.append((b"host", f"{self._host}:{self._port}".encode()))
        call = _Call(
            method=method,
            data=message.encode_request(method, target, given, body),
        )
        call.timer = self._clock.call_later(timeout_s, call.time_out)
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                self._send(connection, call)
                return call.done
        self._reactor.connectTCP(
            self._host,
            self._port,
            _Factory(asker=self, call=call),
            timeout=_CONNECT_TIMEOUT_S,
        )
        return call.done

    def close(self) -> None:
        """Closes the connections on which no call is out."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def make_connection(self, call: _Call) -> client.ClientConnection:
        """Makes the protocol of a connection for its first call."""
        connection = client.ClientConnection(clock=self._clock, events=self)
        self._call_by_connection[connection] = call
        return connection

    def opened(self, connection: client.ClientConnection) -> None:
        """Sends the connection's first call."""
        call = self._call_by_connection.pop(connection)
        if call.done.called:
            self._idle.append(connection)
            return
        self._send(connection, call)

    def freed(self, connection: client.ClientConnection) -> None:
        """Keeps the connection for the next call."""
        self._idle.append(connection)

    def closed(self, connection: client.ClientConnection) -> None:
        """Forgets the connection."""
        self._call_by_connection.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def _send(self, connection: client.ClientConnection, call: _Call) -> None:
        call.connection = connection
        connection.send(
            call.data, method=call.method, own_id=b"", on_end=call.end
        )
