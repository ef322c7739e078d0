"""One HTTP/1.1 connection to a server, one request at a time."""

import abc
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
from twisted.internet import error, protocol

from trefoilpier import base
from trefoilpier.http1 import message

_BODY_BYTES_MAX = 16 * 1024 * 1024  # Far above any answer; bounds memory.
_HEADER_BYTES_MAX = 64 * 1024  # Far above any answer; bounds memory.
# A connection that has gone silent, or whose other end has lost its power,
# shows only by probes: one a second while idle, and a bound on data that the
# other end does not acknowledge.
_KEEP_IDLE_S = 1
_KEEP_INTERVAL_S = 1
_KEEP_COUNT = 2
_UNACKNOWLEDGED_MS = 1500  # Bears two losses in a row on a lossy link.
_STATUS_FINAL_LEAST = 200
_BODILESS = frozenset((204, 304))


@dataclass(slots=True, kw_only=True)
class Exchanged:
    """A whole response to the request that was sent."""

    response: message.HttpResponse


@dataclass(slots=True, kw_only=True)
class Lost:
    """No whole response came; a request that was sent may have run."""

    reason: str
    sent: bool = True


OnEnd = Callable[[Exchanged | Lost], None]


class ConnectionEvents(abc.ABC):
    """Told about a connection by itself."""

    __slots__ = ()

    @abc.abstractmethod
    def opened(self, connection: "ClientConnection") -> None:
        """The connection can take its first request."""

    @abc.abstractmethod
    def freed(self, connection: "ClientConnection") -> None:
        """A request has ended and the connection can take another."""

    @abc.abstractmethod
    def closed(self, connection: "ClientConnection") -> None:
        """The connection is gone."""


class ClientConnection(protocol.Protocol):
    """Sends a request and hands over its whole response.

    A response is the request's own only if it comes while the request is out
    and bears its id; the caller gives ``own_id`` for that. Responses to other
    ids are dropped, and the connection is not used again after one. Bytes
    that come while no request is out close the connection.

    Attributes:
        idle_since: Monotonic instant of the last response.
        reuse_until: Monotonic instant after which the server may have closed
            the connection; infinite when the server does not say.
        sent_count: Requests sent so far.
    """

    def __init__(
        self,
        *,
        clock: base.Clock,
        events: ConnectionEvents,
        id_header: bytes = b"",
    ) -> None:
        self._clock = clock
        self._events = events
        self._id_header = id_header
        self._parser: Any = None
        self._own_id = b""
        self._method = b""
        self._on_end: OnEnd | None = None
        self._headers: message.Headers = []
        self._body: list[bytes] = []
        self._bytes = 0
        self._until_close = False
        self._in_message = False
        self._keep_alive = True
        self._out_of_step = False
        self._malformed = False
        self._done: list[message.HttpResponse] = []
        self.open = False
        self.idle_since = 0.0
        self.reuse_until = float("inf")
        self.sent_count = 0

    @property
    def busy(self) -> bool:
        """Whether a request is out."""
        return self._on_end is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Reports the open connection."""
        self.transport.setTcpNoDelay(True)
        self._probe_when_silent()
        self._parser = httptools.HttpResponseParser(self)
        self.open = True
        self.idle_since = self._clock.monotonic()
        self._events.opened(self)

    def _probe_when_silent(self) -> None:
        handle = self.transport.getHandle()
        if not isinstance(handle, socket.socket):
            return  # A transport of a test.
        self.transport.setTcpKeepAlive(True)
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEP_IDLE_S),
            (socket.TCP_KEEPINTVL, _KEEP_INTERVAL_S),
            (socket.TCP_KEEPCNT, _KEEP_COUNT),
            (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def send(
        self, data: bytes, *, method: bytes, own_id: bytes, on_end: OnEnd
    ) -> None:
        """Sends an encoded request; ``on_end`` is called once."""
        self._own_id = own_id
        self._method = method
        self._on_end = on_end
        self.sent_count += 1
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser; anything malformed closes the connection."""
        if self._on_end is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # What came whole before the malformed bytes still counts.
            self._malformed = True
        if self._done:
            self._hand_over()
        elif self._malformed:
            self._fail("malformed response")

    def on_message_begin(self) -> None:
        """Starts a message."""
        self._headers = []
        self._body = []
        self._bytes = 0
        self._until_close = False
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._bytes += len(name) + len(value)
        if self._bytes > _HEADER_BYTES_MAX:
            raise ValueError("response headers too large")
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Notes how the body ends and whether the connection stays open."""
        self._keep_alive = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._until_close = (
            not framed
            and status >= _STATUS_FINAL_LEAST
            and status not in _BODILESS
        )
        if self._method == b"HEAD":
            # The parser expects the body that a HEAD response leaves out.
            self._until_close = False
            self._out_of_step = True
            self._finish_message()

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body, within its bound."""
        self._bytes += len(part)
        if self._bytes > _BODY_BYTES_MAX:
            raise ValueError("response too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Notes a whole response."""
        if self._in_message:
            self._finish_message()

    def _finish_message(self) -> None:
        self._in_message = False
        status = self._parser.get_status_code()
        if status < _STATUS_FINAL_LEAST:
            return
        response = message.HttpResponse(
            status=status,
            headers=self._headers,
            body=b"".join(self._body),
        )
        if not self._is_own(response):
            # An extra response to an earlier request.
            self._out_of_step = True
            return
        self._done.append(response)

    def _is_own(self, response: message.HttpResponse) -> bool:
        if not self._id_header:
            return True
        echoed = message.find_header(response.headers, self._id_header)
        return echoed is None or echoed == self._own_id

    def _hand_over(self) -> None:
        """Gives the response away and frees or closes the connection."""
        response = self._done[0]
        extra = len(self._done) > 1 or self._in_message
        extra = extra or self._out_of_step or self._malformed
        self._done = []
        on_end, self._on_end = self._on_end, None
        self.idle_since = self._clock.monotonic()
        if extra or not self._keep_alive:
            self.abort()
        else:
            self.reuse_until = self._reuse_until(response)
        if on_end is not None:
            on_end(Exchanged(response=response))
        if self.open and not self.busy:
            self._events.freed(self)

    def _reuse_until(self, response: message.HttpResponse) -> float:
        """Reads the server's idle timeout, in whole seconds if given."""
        value = message.find_header(response.headers, b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                return self.idle_since + int(seconds)
        return float("inf")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the request; an orderly close may complete its response."""
        self.open = False
        orderly = reason is not None and reason.check(error.ConnectionDone)
        if self._on_end is not None and orderly and self._whole_at_close():
            self._finish_message()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            if self._done:
                on_end(Exchanged(response=self._done.pop()))
            else:
                why = "closed" if orderly else "reset"
                on_end(Lost(reason=f"connection {why} before the response"))
        self._events.closed(self)

    def _whole_at_close(self) -> bool:
        return self._in_message and self._until_close and not self._malformed

    def _fail(self, reason: str) -> None:
        on_end, self._on_end = self._on_end, None
        self.abort()
        if on_end is not None:
            on_end(Lost(reason=reason))

    def withdraw(self) -> None:
        """Closes the connection under a request whose end nobody awaits."""
        self._on_end = None
        self.abort()

    def abort(self) -> None:
        """Closes at once."""
        self.open = False
        if self.transport is not None:
            self.transport.abortConnection()
