"""HTTP client for one server, with a timeout for each request."""

from typing import Any

from twisted.internet import defer, protocol

from trefoilpier import base
from trefoilpier.http1 import buffer_budget, message
from trefoilpier.http1 import client_connection as client

_CONNECT_TIMEOUT_S = 1.0  # A healthy server accepts within milliseconds.
# Memory for all incomplete responses of one server, a tenth of a small VM's.
_BUFFERED_MAX_BYTES = 32 * 1024 * 1024


class _ConnectionFactory(protocol.ClientFactory):
    """Factory for the connection that a request waits for."""

    noisy = False

    def __init__(
        self, *, owner: "HttpClient", request: "_PendingRequest"
    ) -> None:
        self._owner = owner
        self._request = request

    def buildProtocol(self, addr: Any) -> client.ClientConnection:  # noqa: N802
        return self._owner.build_connection(self._request)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._request.complete(
            client.RequestFailed(reason=reason.getErrorMessage(), sent=False)
        )


class _PendingRequest:
    """A request that waits for its response."""

    __slots__ = ("connection", "encoded", "deferred", "method", "timer")

    def __init__(self, *, method: bytes, encoded: bytes) -> None:
        self.method = method
        self.encoded = encoded
        self.deferred: defer.Deferred[
            client.ResponseReceived | client.RequestFailed
        ] = defer.Deferred(self._handle_cancel)
        self.connection: client.ClientConnection | None = None
        self.timer: base.Timer | None = None

    def complete(
        self,
        outcome: client.ResponseReceived | client.RequestFailed,
    ) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not self.deferred.called:
            self.deferred.callback(outcome)

    def time_out(self) -> None:
        """Fail the request and close its connection, if it has one."""
        self._abandon("no response within the timeout")

    def _handle_cancel(self, deferred: defer.Deferred) -> None:
        self._abandon("cancelled")

    def _abandon(self, reason: str) -> None:
        if self.connection is not None:
            self.connection.cancel_request()
        sent = self.connection is not None
        self.complete(client.RequestFailed(reason=reason, sent=sent))


class HttpClient(client.ConnectionEvents):
    """A client with one connection per request in flight.

    Idle connections are reused.

    Attributes:
        request_count: Number of requests made so far.
    """

    __slots__ = (
        "_request_by_connection",
        "_buffers",
        "_clock",
        "_closed",
        "_host",
        "_idle_connections",
        "_port",
        "_reactor",
        "request_count",
    )

    def __init__(
        self, *, reactor: Any, clock: base.Clock, host: str, port: int
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._host = host
        self._port = port
        self._closed = False
        self._buffers = buffer_budget.BufferBudget(
            limit_bytes=_BUFFERED_MAX_BYTES
        )
        self._idle_connections: list[client.ClientConnection] = []
        self._request_by_connection: dict[
            client.ClientConnection, _PendingRequest
        ] = {}
        self.request_count = 0

    def send_request(
        self,
        method: bytes,
        target: bytes,
        *,
        timeout_s: float,
        headers: message.Headers | None = None,
        body: bytes = b"",
    ) -> "defer.Deferred[client.ResponseReceived | client.RequestFailed]":
        """Send a request and return its outcome; the Deferred never fails.

        Cancelling the Deferred fails the request and closes its connection.

        Args:
            method: The request method.
            target: The request target.
            timeout_s: Seconds until the request fails, connecting included.
            headers: Request headers; a Host header is added if missing.
            body: The request body.
        """
        self.request_count += 1
        sent_headers = list(headers or [])
        if message.find_header(sent_headers, b"host") is None:
            sent_headers.append(
                (b"host", f"{self._host}:{self._port}".encode())
            )
        request = _PendingRequest(
            method=method,
            encoded=message.encode_request(method, target, sent_headers, body),
        )
        request.timer = self._clock.call_later(timeout_s, request.time_out)
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.open:
                self._send(connection, request)
                return request.deferred
        self._reactor.connectTCP(
            self._host,
            self._port,
            _ConnectionFactory(owner=self, request=request),
            timeout=_CONNECT_TIMEOUT_S,
        )
        return request.deferred

    def close(self) -> None:
        """Close the connections, those in use after their response.

        No request may follow. The Deferred of a request fires before its
        connection is idle, so that one in use is usual.
        """
        self._closed = True
        connections, self._idle_connections = self._idle_connections, []
        for connection in connections:
            connection.abort()

    def build_connection(
        self, request: _PendingRequest
    ) -> client.ClientConnection:
        """Build the protocol of a new connection for its first request."""
        connection = client.ClientConnection(
            clock=self._clock, events=self, buffers=self._buffers
        )
        self._request_by_connection[connection] = request
        return connection

    def opened(self, connection: client.ClientConnection) -> None:
        """Send the first request, unless it has timed out."""
        request = self._request_by_connection.pop(connection)
        if request.deferred.called:
            self.freed(connection)
            return
        self._send(connection, request)

    def freed(self, connection: client.ClientConnection) -> None:
        """Keep the connection for the next request, unless closed."""
        if self._closed:
            connection.abort()
            return
        self._idle_connections.append(connection)

    def closed(self, connection: client.ClientConnection) -> None:
        """Drop the closed connection."""
        self._request_by_connection.pop(connection, None)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def _send(
        self,
        connection: client.ClientConnection,
        request: _PendingRequest,
    ) -> None:
        request.connection = connection
        connection.send(
            request.encoded,
            method=request.method,
            request_id=b"",
            on_complete=request.complete,
        )
