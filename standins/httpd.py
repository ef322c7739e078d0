"""A small HTTP/1.1 server for the stand-ins, over httptools."""

import urllib.parse
from collections.abc import Callable
from typing import Any

import httptools
import orjson
from twisted.internet import protocol, reactor


class HttpCall:
    """One request that waits for its answer."""

    __slots__ = ("_answered", "_protocol", "body", "method", "path", "query")

    def __init__(
        self, *, owner: "HttpProtocol", method: str, url: str, body: bytes
    ) -> None:
        parsed = urllib.parse.urlsplit(url)
        self._protocol = owner
        self._answered = False
        self.method = method
        self.path = parsed.path
        self.query = dict(
            urllib.parse.parse_qsl(parsed.query, keep_blank_values=True)
        )
        self.body = body

    def answer(self, row: Any, status: int = 200) -> None:
        """Sends a JSON answer, once."""
        if self._answered:
            return
        self._answered = True
        data = row if isinstance(row, bytes) else orjson.dumps(row)
        self._protocol.write(status, data)

    def drop(self) -> None:
        """Closes the connection without an answer."""
        self._answered = True
        self._protocol.transport.abortConnection()

    @property
    def connection(self) -> "HttpProtocol":
        """The connection it came over."""
        return self._protocol


class HttpProtocol(protocol.Protocol):
    """One connection of a stand-in.

    Attributes:
        muted: Whether the connection has gone silent for good.
    """

    def __init__(
        self,
        *,
        handle: Callable[[HttpCall], None],
        on_lost: Callable[["HttpProtocol"], None] | None = None,
        wait_s: float = 0.0,
    ) -> None:
        """Prepares a connection.

        Args:
            handle: Gets each request.
            on_lost: Called when the connection has closed.
            wait_s: Seconds for which nothing is read after it has opened.
        """
        self._wait_s = wait_s
        self._handle = handle
        self._on_lost = on_lost
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        self._complete: list[HttpCall] = []
        self.muted = False

    def connectionMade(self) -> None:  # noqa: N802
        """Turns off Nagle's algorithm and waits out the cost of opening."""
        self.transport.setTcpNoDelay(True)
        if self._wait_s:
            self.transport.pauseProducing()
            reactor.callLater(self._wait_s, self._begin)

    def _begin(self) -> None:
        if self.transport.connected:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser, unless the connection is silent."""
        if self.muted:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            return
        calls, self._complete = self._complete, []
        for call in calls:
            self._handle(call)

    def on_url(self, url: bytes) -> None:
        """Collects the URL."""
        self._url += url

    def on_body(self, part: bytes) -> None:
        """Collects the body."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Keeps a whole request for after the parser."""
        call = HttpCall(
            owner=self,
            method=self._parser.get_method().decode(),
            url=self._url.decode(),
            body=b"".join(self._body),
        )
        self._url = b""
        self._body = []
        self._complete.append(call)

    def write(self, status: int, data: bytes) -> None:
        """Writes one response, unless the connection is silent."""
        if self.muted or not self.transport.connected:
            return
        self.transport.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Reports the closed connection."""
        if self._on_lost is not None:
            self._on_lost(self)


class HttpFactory(protocol.Factory):
    """Serves one handler."""

    noisy = False

    def __init__(self, *, handle: Callable[[HttpCall], None]) -> None:
        self._handle = handle

    def buildProtocol(self, addr: Any) -> HttpProtocol:  # noqa: N802
        """Builds one connection."""
        return HttpProtocol(handle=self._handle)
