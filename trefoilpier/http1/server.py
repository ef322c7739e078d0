"""The callers' side: connections that hand over whole requests."""

import abc
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
from twisted.internet import protocol

from trefoilpier import base
from trefoilpier.http1 import message

_SWEEP_S = 0.25  # Precision of the header and idle timeouts.
_PIPELINE_MAX = 16  # Requests that a caller may send ahead of its responses.
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# The round trip time in microseconds within Linux's ``struct tcp_info``.
_TCP_INFO_BYTES = 104
_TCP_INFO_RTT = struct.Struct("I")
_TCP_INFO_RTT_AT = 68
_METHODS_REFUSED = frozenset((b"CONNECT", b"TRACE"))


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Request line and headers together.
        body_bytes: One request body.
        header_timeout_s: From the first byte of a request to its last header,
            and between two parts of its body.
        idle_timeout_s: Between two requests on one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """One request of a caller, until its response is written.

    Attributes:
        request: The request.
        received_at: Monotonic instant of its last byte.
        on_gone: Called once if the caller leaves before the response.
    """

    __slots__ = ("_connection", "on_gone", "received_at", "request")

    def __init__(
        self,
        *,
        connection: "ServerConnection",
        request: message.HttpRequest,
        received_at: float,
    ) -> None:
        self._connection = connection
        self.request = request
        self.received_at = received_at
        self.on_gone: Callable[[], None] | None = None

    @property
    def connection(self) -> "ServerConnection":
        """The connection that it came over."""
        return self._connection

    def respond(self, response: message.HttpResponse) -> None:
        """Writes the response; a second one is ignored."""
        self._connection.respond(self, response)


class RequestHandler(abc.ABC):
    """Serves whole requests."""

    __slots__ = ()

    @abc.abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Serves a request, now or later."""

    @abc.abstractmethod
    def rejected(self, status: int, reason: str) -> None:
        """Told about input that is no proper request."""


class ServerConnection(protocol.Protocol):
    """Reads requests one after the other and writes their responses."""

    def __init__(self, *, factory: "ServerFactory") -> None:
        self._factory = factory
        self._parser: Any = None
        self._headers: message.Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._in_headers = False
        self._in_request = False
        self._rejected: tuple[int, str] | None = None
        self._waiting: deque[message.HttpRequest] = deque()
        self._current: Exchange | None = None
        self._closing = False
        self._round_trip_s = 0.0
        self._count = 0
        self._since = 0.0
        self._idle_limit_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Starts to read."""
        self.transport.setTcpNoDelay(True)
        self._parser = httptools.HttpRequestParser(self)
        self._round_trip_s = _round_trip_s(self.transport.getHandle())
        self._rest()
        self._factory.connections.add(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tells the handler that the caller has left."""
        self._factory.connections.discard(self)
        self._closing = True
        self._waiting.clear()
        current, self._current = self._current, None
        if current is not None and current.on_gone is not None:
            current.on_gone()

    def _rest(self) -> None:
        """Begins an idle time."""
        self._since = self._factory.clock.monotonic()
        self._idle_limit_s = self._factory.limits.idle_timeout_s

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser and starts the requests that are whole."""
        if self._closing:
            return
        if not self._in_request or not self._in_headers:
            self._since = self._factory.clock.monotonic()
        if not self._in_request or self._in_headers:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade is not offered")
        except httptools.HttpParserCallbackError:
            if self._rejected is None:
                self._reject(400, "malformed request")
        except httptools.HttpParserError as failed:
            self._reject(400, str(failed) or "malformed request")
        too_long = self._in_headers and (
            self._header_bytes > self._factory.limits.header_bytes
        )
        if too_long and self._rejected is None:
            self._reject(431, "headers too large")
        self._advance()

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._headers = []
        self._target = b""
        self._body = []
        self._body_bytes = 0
        self._in_headers = True
        self._in_request = True

    def on_url(self, part: bytes) -> None:
        """Collects the request target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Checks what can be checked before the body."""
        self._in_headers = False
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        self._header_bytes = 0
        if size > self._factory.limits.header_bytes:
            self._refuse(431, "headers too large")
        problem = _header_problem(self._headers, self._parser)
        if problem:
            self._refuse(400, problem)
        if self._target[:1] != b"/":
            self._refuse(400, "request target is no path")
        length = message.find_header(self._headers, b"content-length")
        if length and int(length) > self._factory.limits.body_bytes:
            self._refuse(413, "body too large")
        expect = message.find_header(self._headers, b"expect")
        if expect and expect.lower() == b"100-continue" and not self._current:
            self.transport.write(_CONTINUE)

    def _refuse(self, status: int, reason: str) -> None:
        """Stops the parser; the response follows outside it."""
        self._reject(status, reason)
        raise ValueError(reason)

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body, within its bound."""
        self._body_bytes += len(part)
        if self._body_bytes > self._factory.limits.body_bytes:
            self._refuse(413, "body too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Queues a whole request."""
        self._in_request = False
        if self._rejected is not None:
            return
        self._count += 1
        # The first request waited for the connection to open.
        round_trips = 2 if self._count == 1 else 1
        self._waiting.append(
            message.HttpRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
                network_s=round_trips * self._round_trip_s,
            )
        )

    def _reject(self, status: int, reason: str) -> None:
        if self._rejected is None:
            self._rejected = (status, reason)

    def _advance(self) -> None:
        """Starts the next request, or ends the connection after a bad one."""
        if self._current is not None or self._closing:
            if len(self._waiting) > _PIPELINE_MAX:
                self.transport.pauseProducing()
            return
        if self._waiting:
            request = self._waiting.popleft()
            self._current = Exchange(
                connection=self,
                request=request,
                received_at=self._factory.clock.monotonic(),
            )
            self._factory.handler.handle(self._current)
            return
        if self._rejected is not None:
            status, reason = self._rejected
            self._factory.handler.rejected(status, reason)
            self._write(message.HttpResponse(status=status), close=True)

    def respond(
        self, exchange: Exchange, response: message.HttpResponse
    ) -> None:
        """Writes the response to the current request."""
        if exchange is not self._current:
            return
        self._current = None
        exchange.on_gone = None
        close = not exchange.request.keep_alive or (
            self._factory.closing and not self._waiting
        )
        if exchange.request.method == b"HEAD":
            response.body = b""
        self._write(response, close=close)
        if self._closing:
            return
        self._rest()
        self.transport.resumeProducing()
        if self._waiting or self._rejected is not None:
            self._advance()

    def _write(self, response: message.HttpResponse, *, close: bool) -> None:
        self.transport.write(message.encode_response(response, close=close))
        if close:
            self._closing = True
            self.transport.loseConnection()

    def check_timeouts(self, now: float) -> None:
        """Ends a connection that was idle or slow for too long."""
        if self._current is not None or self._closing:
            return
        limits = self._factory.limits
        waited = now - self._since
        if self._in_request or self._header_bytes:
            if waited > limits.header_timeout_s:
                self._reject(408, "request took too long")
                self._advance()
            return
        if waited > max(self._idle_limit_s, limits.idle_timeout_s):
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Closes a connection on which no request has begun."""
        idle = self._current is None and not self._waiting
        if idle and not self._in_request and not self._header_bytes:
            self._closing = True
            self.transport.loseConnection()

    def abort(self) -> None:
        """Closes at once."""
        self.transport.abortConnection()


def _round_trip_s(handle: Any) -> float:
    """Returns what the kernel measured while the connection opened."""
    if not isinstance(handle, socket.socket):
        return 0.0  # A transport of a test.
    try:
        info = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        return 0.0  # Not Linux, or closed already: nothing is allowed for.
    if len(info) < _TCP_INFO_BYTES:
        return 0.0
    return _TCP_INFO_RTT.unpack_from(info, _TCP_INFO_RTT_AT)[0] / 1e6


def _header_problem(headers: message.Headers, parser: Any) -> str:
    """Returns what makes a request ambiguous, or an empty string."""
    names = [name for name, _ in headers]
    if any(b"\r" in value or b"\n" in value for _, value in headers):
        return "folded header"
    version = parser.get_http_version()
    if version not in ("1.0", "1.1"):
        return "unknown protocol version"
    if names.count(b"host") != 1:
        return "exactly one host is needed"
    lengths = names.count(b"content-length")
    codings = [v.lower() for n, v in headers if n == b"transfer-encoding"]
    if lengths > 1 or (lengths and codings):
        return "more than one length"
    if codings and codings != [b"chunked"]:
        return "unknown transfer coding"
    if codings and version == "1.0":
        return "transfer coding in HTTP/1.0"
    if parser.get_method() in _METHODS_REFUSED:
        return "method is not offered"
    return ""


class ServerFactory(protocol.Factory):
    """Makes the connections of one listening address.

    Attributes:
        connections: The open ones.
        limits: What callers may send; may be replaced at any time.
        closing: Whether each response ends its connection.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock: base.Clock,
        handler: RequestHandler,
        limits: CallerLimits,
    ) -> None:
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self._sweep: base.Timer | None = None

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        """Makes one connection."""
        return ServerConnection(factory=self)

    def startFactory(self) -> None:  # noqa: N802
        """Starts the sweep for timeouts."""
        self._sweep = self.clock.call_later(_SWEEP_S, self._check)

    def stopFactory(self) -> None:  # noqa: N802
        """Ends the sweep."""
        if self._sweep is not None:
            self._sweep.cancel()

    def _check(self) -> None:
        now = self.clock.monotonic()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self._sweep = self.clock.call_later(_SWEEP_S, self._check)

    def close_idle(self) -> None:
        """Closes every connection on which no request has begun."""
        for connection in list(self.connections):
            connection.close_if_idle()
