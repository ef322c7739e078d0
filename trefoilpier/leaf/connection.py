"""HTTP/1.1 client connection to a leaf, without pipelining."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet import protocol

from trefoilpier import http1

_MAX_BODY_BYTES = 4_000_000
_STATUS_OK = 200


class LeafConnection(protocol.Protocol):
    """Client connection that carries one request at a time.

    Attributes:
        open: Whether the connection is open.
        idle_since: Monotonic time in seconds of the last complete response,
            or of the connection's opening before the first one.
        has_responded: Whether a response with status 200 has arrived on it.
    """

    def __init__(
        self,
        *,
        host_header: bytes,
        now: Callable[[], float],
        on_open: Callable[["LeafConnection"], None],
        on_close: Callable[["LeafConnection"], None],
    ) -> None:
        self._host_header = host_header
        self._now = now
        self._on_open = on_open
        self._on_close = on_close
        self._parser: Any = None
        self._body = http1.BodyBuffer()
        self._message_complete = False
        self._keep_alive = True
        self._on_response: Callable[[bytes | None], None] | None = None
        self.open = False
        self.idle_since = 0.0
        self.has_responded = False

    @property
    def ready(self) -> bool:
        """Whether the connection is open and has no request in flight."""
        return self.open and self._on_response is None

    def connectionMade(self) -> None:  # noqa: N802
        """Report the open connection to the pool."""
        self.transport.setTcpNoDelay(True)
        self._parser = httptools.HttpResponseParser(self)
        self.open = True
        self.idle_since = self._now()
        self._on_open(self)

    def send(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
        on_response: Callable[[bytes | None], None],
    ) -> None:
        """Send a request.

        Args:
            method: The HTTP method.
            path: The request path.
            body: The request body, as JSON.
            on_response: Called once with the response body, or with None if
                the connection fails or the status is not 200.
        """
        self._on_response = on_response
        self.transport.write(
            b"%b %b HTTP/1.1\r\nHost: %b\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (method, path, self._host_header, len(body), body)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data; close the connection if it is malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            return
        if self._message_complete:
            # Not called from the parser, which swallows exceptions.
            self._message_complete = False
            self._deliver_response()

    def on_headers_complete(self) -> None:
        """Record whether the response allows keep-alive.

        The parser's answer is valid only here; after the body it is always
        false.
        """
        self._keep_alive = self._parser.should_keep_alive()

    def on_body(self, chunk: bytes) -> None:
        """Collect a chunk of the body, up to the size limit."""
        if self._body.size_bytes + len(chunk) > _MAX_BODY_BYTES:
            raise ValueError("leaf response body too large")
        self._body.add(chunk)

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self._message_complete = True

    def _deliver_response(self) -> None:
        """Pass the complete body to the waiting request."""
        body = self._body.take()
        self.idle_since = self._now()
        response_callback, self._on_response = self._on_response, None
        if (
            response_callback is None
            or self._parser.get_status_code() != _STATUS_OK
        ):
            # Unsolicited response or error status: client and leaf may be
            # out of sync.
            self.abort()
            if response_callback is not None:
                response_callback(None)
            return
        self.has_responded = True
        if not self._keep_alive:
            self.open = False
            self.transport.loseConnection()
        response_callback(body)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the loss to the waiting request and to the pool."""
        self.open = False
        response_callback, self._on_response = self._on_response, None
        if response_callback is not None:
            response_callback(None)
        self._on_close(self)

    def abort(self) -> None:
        """Close at once; a request in flight ends as lost."""
        self.open = False
        self.transport.abortConnection()
