"""Limits on the connections and request bodies of callers."""

from dataclasses import dataclass
from typing import Any

from twisted.internet import protocol
from twisted.web import http, resource, server

from trefoilpier import base, query


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerBounds:
    """Limits of the HTTP interface for callers.

    Attributes:
        max_body_bytes: Maximum size of a request body, in bytes.
        max_connections: Maximum number of open connections.
        idle_timeout_s: Seconds without received data after which a connection
            is closed.
        request_timeout_s: Seconds within which a request must arrive in full.
    """

    max_body_bytes: int
    max_connections: int
    idle_timeout_s: float
    request_timeout_s: float = 10.0


def format_error_response(code: base.ResultCode, detail: str) -> bytes:
    """Return a complete HTTP response that reports an error.

    It is written to the transport directly, for connections on which there is
    no parsed request to respond to.

    >>> format_error_response(base.ResultCode.MALFORMED_HTTP, "bad")[:24]
    b'HTTP/1.1 400 Bad Request'
    """
    rejection = query.Outcome(code=code, detail=detail)
    body = rejection.to_json()
    status = rejection.http_status
    reason = http.RESPONSES.get(status, b"")
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\nConnection: close\r\n\r\n%b"
        % (status, reason, len(body), body)
    )


class BoundedRequest(server.Request):
    """A request whose body size is limited while it arrives."""

    _received_bytes = 0
    _rejected = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a body whose announced length exceeds the limit."""
        super().gotLength(length)
        if (
            length is not None
            and length > self.channel.site.bounds.max_body_bytes
        ):
            self._reject_oversized_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk to the body, up to the size limit."""
        if self._rejected:
            return
        self._received_bytes += len(data)
        if self._received_bytes > self.channel.site.bounds.max_body_bytes:
            self._reject_oversized_body()
            return
        super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Process a complete request unless it was rejected."""
        if not self._rejected:
            super().requestReceived(command, path, version)

    def _reject_oversized_body(self) -> None:
        self._rejected = True
        self.channel.reject(
            base.ResultCode.BODY_TOO_LARGE, "the request body is too large"
        )


class _BoundedChannel(http.HTTPChannel):
    """A connection that limits the time in which a request may arrive."""

    _request_timer: Any = None
    _closed_by_rejection = False

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._start_request_timer()

    def _start_request_timer(self) -> None:
        """Start the timeout for the next request."""
        site = self.site
        self._request_timer = site.clock.call_later(
            site.bounds.request_timeout_s, self._handle_request_timeout
        )

    def _cancel_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _handle_request_timeout(self) -> None:
        self._request_timer = None
        if self._is_partially_received():
            self.reject(
                base.ResultCode.SLOW_SENDER,
                "the request did not arrive in time",
            )

    def _is_partially_received(self) -> bool:
        """Return whether a request has been received only in part."""
        started = bool(self._command) or bool(getattr(self, "_buffer", b""))
        return started and not self._processing_request

    _processing_request = False

    def allContentReceived(self) -> None:  # noqa: N802
        """Process a request that has arrived in full."""
        self._cancel_request_timer()
        self._processing_request = True
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Start the timeout for the next request on the connection."""
        self._processing_request = False
        super().requestDone(request)
        if not self._closed_by_rejection:
            self._start_request_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data unless the connection is being closed."""
        if self._closed_by_rejection:
            return
        super().dataReceived(data)

    def reject(self, code: base.ResultCode, detail: str) -> None:
        """Respond with a result code and close the connection."""
        if self._closed_by_rejection:
            return
        self._closed_by_rejection = True
        self._cancel_request_timer()
        self.site.event_log.emit(
            base.Event.CALLER_REJECTED,
            caller=str(self.getPeer().host),
            code=str(code),
        )
        self.transport.write(format_error_response(code, detail))
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.reject(base.ResultCode.MALFORMED_HTTP, "malformed HTTP request")

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._cancel_request_timer()
        self.site.handle_connection_closed()
        super().connectionLost(reason)


class _ConnectionLimitProtocol(protocol.Protocol):
    """A connection beyond the limit: it gets an error and is closed."""

    def __init__(self, *, site: "BoundedSite") -> None:
        self._site = site

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(
            format_error_response(
                base.ResultCode.CONNECTION_LIMIT, "too many connections"
            )
        )
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._site.handle_connection_closed()


class BoundedSite(server.Site):
    """An HTTP site that enforces `CallerBounds`.

    Attributes:
        bounds: The limits to enforce.
        clock: The clock for request timeouts.
        event_log: The log for rejected requests.
        open_connections: Number of open connections.
    """

    def __init__(
        self,
        root: resource.Resource,
        *,
        bounds: CallerBounds,
        clock: base.Clock,
        log: base.EventLog,
    ) -> None:
        super().__init__(root, requestFactory=BoundedRequest)
        self.timeOut = bounds.idle_timeout_s
        self.bounds = bounds
        self.clock = clock
        self.event_log = log
        self.open_connections = 0
        self.displayTracebacks = False

    def handle_connection_closed(self) -> None:
        """Decrement the number of open connections."""
        self.open_connections -= 1

    def log(self, request: Any) -> None:
        """Write no access log entry; each request is logged as an event."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Accept a connection, or reject it if the limit is reached."""
        self.open_connections += 1
        if self.open_connections > self.bounds.max_connections:
            return _ConnectionLimitProtocol(site=self)
        channel = _BoundedChannel()
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.factory = self
        channel.timeOut = self.timeOut
        return channel
