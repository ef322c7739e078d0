"""Minimal HTTP/1.1 server for the simulated services, based on httptools."""

import urllib.parse
from collections.abc import Callable
from typing import Any

import httptools
import orjson
from twisted.internet import protocol, reactor


class HttpRequest:
    """One HTTP request that awaits its response.

    Attributes:
        method: The request method.
        path: Path of the target.
        query: Parameters of the target's query.
        body: The request body.
        make_headers: Returns further header lines of the response.
        is_answered: Returns whether a response may be sent now; one that is
            lost mutes the connection.
    """

    __slots__ = (
        "_responded",
        "_protocol",
        "body",
        "is_answered",
        "make_headers",
        "method",
        "path",
        "query",
    )

    def __init__(
        self,
        *,
        http_connection: "HttpProtocol",
        method: str,
        url: str,
        body: bytes,
    ) -> None:
        parsed = urllib.parse.urlsplit(url)
        self._protocol = http_connection
        self._responded = False
        self.method = method
        self.path = parsed.path
        self.query = dict(
            urllib.parse.parse_qsl(parsed.query, keep_blank_values=True)
        )
        self.body = body
        self.make_headers: Callable[[], bytes] = bytes
        self.is_answered: Callable[[], bool] = lambda: True

    def respond(self, content: Any, status: int = 200) -> None:
        """Send a JSON response; only the first call has an effect."""
        if self._responded:
            return
        self._responded = True
        if not self.is_answered():
            self._protocol.muted = True
            return
        data = content if isinstance(content, bytes) else orjson.dumps(content)
        self._protocol.write(status, data, self.make_headers())

    def abort(self) -> None:
        """Abort the connection without a response."""
        self._responded = True
        self._protocol.transport.abortConnection()

    @property
    def connection(self) -> "HttpProtocol":
        """The connection over which the request arrived."""
        return self._protocol


class HttpProtocol(protocol.Protocol):
    """Server side of one HTTP connection.

    Attributes:
        muted: Whether requests are discarded and responses suppressed for the
            rest of the connection.
    """

    def __init__(
        self,
        *,
        handle: Callable[[HttpRequest], None],
        on_lost: Callable[["HttpProtocol"], None] | None = None,
        read_delay_s: float = 0.0,
    ) -> None:
        """Initialize the connection.

        Args:
            handle: Called with each request.
            on_lost: Called after the connection has closed.
            read_delay_s: Seconds after the connection opens during which
                nothing is read.
        """
        self._read_delay_s = read_delay_s
        self._handle = handle
        self._on_lost = on_lost
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body_parts: list[bytes] = []
        self._parsed_requests: list[HttpRequest] = []
        self.muted = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and delay reading by the connect time."""
        self.transport.setTcpNoDelay(True)
        if self._read_delay_s:
            self.transport.pauseProducing()
            reactor.callLater(self._read_delay_s, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport.connected:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser and handle complete requests, unless muted."""
        if self.muted:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            return
        requests, self._parsed_requests = self._parsed_requests, []
        for request in requests:
            self._handle(request)

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Queue a complete request until the parser returns."""
        request = HttpRequest(
            http_connection=self,
            method=self._parser.get_method().decode(),
            url=self._url.decode(),
            body=b"".join(self._body_parts),
        )
        self._url = b""
        self._body_parts = []
        self._parsed_requests.append(request)

    def write(self, status: int, data: bytes, headers: bytes = b"") -> None:
        """Write one response, unless the connection is muted or closed."""
        if self.muted or not self.transport.connected:
            return
        self.transport.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n%b\r\n%b"
            % (status, len(data), headers, data)
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Call ``on_lost``, if given."""
        if self._on_lost is not None:
            self._on_lost(self)


class HttpFactory(protocol.Factory):
    """Factory of connections that share one request handler."""

    noisy = False

    def __init__(self, *, handle: Callable[[HttpRequest], None]) -> None:
        self._handle = handle

    def buildProtocol(self, addr: Any) -> HttpProtocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return HttpProtocol(handle=self._handle)
