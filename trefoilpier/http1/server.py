"""HTTP/1.1 server for callers."""

import abc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
from twisted.internet import protocol

from trefoilpier import base
from trefoilpier.http1 import (
    body_buffer,
    buffer_budget,
    message,
    request_head,
    tcp_info,
)

_TIMEOUT_SWEEP_PERIOD_S = 0.25  # Precision of the request and idle timeouts.
# With more in the queue, reading pauses.
_MAX_PIPELINED_REQUESTS = 16
_MAX_PIPELINED_BYTES = 256 * 1024
# One read holds the loop for some milliseconds at most, whatever it contains.
_READ_MAX_BYTES = 16 * 1024
_MAX_REQUESTS_AT_ONCE = 16  # Begun before others get their turn.
# Memory for incomplete requests, a fifth of a small VM's.
_BUFFERED_MAX_BYTES = 60 * 1024 * 1024
_RETRY_AFTER_S = b"1"  # Of a request that there is no memory for.
_STATUS_UNAVAILABLE = 503
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_HEADERS = 1000  # Each takes time and memory, however short it is.
_HEADER_FRAMING_BYTES = 4  # Separator, space and line break.


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests.

    Attributes:
        header_bytes: Maximum size of the request line and headers together.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum seconds from the first byte of a request to
            its last header, and between two parts of its body.
        idle_timeout_s: Maximum seconds between two requests on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """A caller's request and the means to respond to it.

    Attributes:
        request: The request.
        received_at: Monotonic time at which the request was passed to the
            handler, in seconds.
        on_disconnect: Called once on a disconnect before the response.
        on_expire: Called if the VM ends before the response; responds at once.
    """

    __slots__ = (
        "_connection",
        "on_disconnect",
        "on_expire",
        "received_at",
        "request",
    )

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
        self.on_disconnect: Callable[[], None] | None = None
        self.on_expire: Callable[[], None] | None = None

    @property
    def connection(self) -> "ServerConnection":
        """The connection that the request arrived on."""
        return self._connection

    def respond(self, response: message.HttpResponse) -> None:
        """Write the response; a second one is ignored."""
        self._connection.respond(self, response)


class RequestHandler(abc.ABC):
    """The handler of complete requests."""

    __slots__ = ()

    @abc.abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Serve a request, immediately or later."""

    @abc.abstractmethod
    def rejected(self, status: int, reason: str) -> None:
        """Handle the rejection of a malformed, oversized or slow request.

        The connection itself responds to the caller.
        """


class ServerConnection(protocol.Protocol, buffer_budget.Buffer):
    """A caller's connection, which serves its requests one at a time.

    While the caller does not read responses, no further request is served.
    """

    def __init__(self, *, factory: "ServerFactory") -> None:
        self._factory = factory
        self._parser: Any = None
        self._headers: message.Headers = []
        self._target = b""
        self._body = body_buffer.BodyBuffer()
        self._header_bytes = 0
        self._header_count = 0
        # Bytes since the last element of a request that was complete: its
        # head, a part of its body, or all of it.
        self._pending_bytes = 0
        self._in_headers = False
        self._in_request = False
        self._continue_due = False
        self._rejection: tuple[int, str] | None = None
        self._queued_requests: deque[message.HttpRequest] = deque()
        self._queued_bytes = 0
        self._processing = False
        self._output_full = False
        self._current_exchange: Exchange | None = None
        self._closing = False
        self._rtt_s = 0.0
        self._request_count = 0
        self._wait_started_at = 0.0
        self._idle_limit_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Set up the parser and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = _READ_MAX_BYTES
        self.transport.registerProducer(self, True)
        self._parser = httptools.HttpRequestParser(self)
        self._rtt_s = tcp_info.handshake_rtt_s(self.transport.getHandle())
        self._start_idle_wait()
        self._factory.connections.add(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notify the current request that the caller has disconnected."""
        self._factory.connections.discard(self)
        self._closing = True
        self._queued_requests.clear()
        self._factory.buffers.release(self)
        # The parser refers to this connection. Without it, both are freed now
        # and not when cycles are searched.
        self._parser = None
        current, self._current_exchange = self._current_exchange, None
        if current is not None and current.on_disconnect is not None:
            current.on_disconnect()

    def _start_idle_wait(self) -> None:
        """Start the idle timeout, with the limit that now applies."""
        self._wait_started_at = self._factory.clock.monotonic()
        self._idle_limit_s = self._factory.limits.idle_timeout_s

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and serve the next complete request."""
        if self._closing or self._rejection is not None:
            return
        if not self._in_request:
            # Empty lines may precede a request (RFC 9112, section 2.2).
            self._pending_bytes = 0
        self._pending_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError:
            if self._rejection is None:
                self._reject(400, "malformed request")
        except httptools.HttpParserError as error:
            self._reject(400, str(error) or "malformed request")
        if self._in_request and self._pending_bytes > self._header_limit:
            self._reject(431, "headers or framing too large")
        if self._rejection is not None:
            self._headers = []
            self._body.clear()
        self._factory.buffers.resize(self, self._body.size_bytes)
        self._process_next()

    @property
    def _header_limit(self) -> int:
        return self._factory.limits.header_bytes

    def _parse(self, data: bytes) -> None:
        """Feed the parser, which stops behind the head of an upgrade.

        It would take the body for another protocol's. The upgrade is ignored
        (RFC 9110, section 7.8): the head is parsed again without it.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                rest = data[upgrade.args[0] :]
                data = self._encode_head_without_upgrade() + rest
                self._parser = httptools.HttpRequestParser(self)
            else:
                return

    def _encode_head_without_upgrade(self) -> bytes:
        """Return the head of the request being parsed, for a new parser."""
        version = self._parser.get_http_version().encode()
        lines = [
            b"%b %b HTTP/%b"
            % (self._parser.get_method(), self._target, version),
            *(
                b"%b: %b" % header
                for header in self._headers
                if header[0] != b"upgrade"
            ),
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_message_begin(self) -> None:
        """Reset the state of the request being parsed."""
        self._headers = []
        self._header_bytes = 0
        self._header_count = 0
        self._target = b""
        self._body.clear()
        self._in_headers = True
        self._in_request = True
        self._wait_started_at = self._factory.clock.monotonic()

    def on_url(self, part: bytes) -> None:
        """Collect a part of the request target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are ignored.

        They could contradict headers that have been checked.

        Raises:
            ValueError: If they are too large together.
        """
        self._header_bytes += len(name) + len(value) + _HEADER_FRAMING_BYTES
        self._header_count += 1
        if (
            self._header_bytes > self._header_limit
            or self._header_count > _MAX_HEADERS
        ):
            self._reject_and_stop_parser(431, "headers too large")
        if not self._in_headers:
            return
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Validate the request line and headers before the body arrives."""
        self._in_headers = False
        # The pause before the body has a limit of its own.
        self._wait_started_at = self._factory.clock.monotonic()
        self._pending_bytes = 0
        if self._header_bytes + len(self._target) > self._header_limit:
            self._reject_and_stop_parser(431, "headers too large")
        self._header_bytes = 0  # Those of the trailers count anew.
        header_error = request_head.find_error(self._headers, self._parser)
        if header_error:
            self._reject_and_stop_parser(400, header_error)
        if self._target[:1] != b"/":
            self._reject_and_stop_parser(
                400, "request target is not an absolute path"
            )
        length = message.find_header(self._headers, b"content-length")
        if length and int(length) > self._factory.limits.body_bytes:
            self._reject_and_stop_parser(413, "body too large")
        if self._parser.should_upgrade():
            return  # The head is parsed again.
        self._continue_due = request_head.expects_continue(
            self._headers, self._parser
        )

    def _reject_and_stop_parser(self, status: int, reason: str) -> None:
        """Reject the request and stop the parser by raising ValueError.

        The response is written after the parser has returned.
        """
        self._reject(status, reason)
        raise ValueError(reason)

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body, within the size limit."""
        self._continue_due = False  # The body comes without it.
        self._pending_bytes = 0
        self._wait_started_at = self._factory.clock.monotonic()
        self._body.add(part)
        if self._body.size_bytes > self._factory.limits.body_bytes:
            self._reject_and_stop_parser(413, "body too large")

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._parser.should_upgrade():
            return  # Only its head is complete.
        self._in_request = self._continue_due = False
        self._pending_bytes = 0
        if self._rejection is not None:
            return
        self._queued_bytes += self._body.size_bytes
        self._request_count += 1
        # The first request also waited for the TCP handshake.
        round_trips = 2 if self._request_count == 1 else 1
        self._queued_requests.append(
            message.HttpRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=self._body.take(),
                keep_alive=self._parser.should_keep_alive(),
                network_s=round_trips * self._rtt_s,
                link_s_per_byte=self._factory.link_s_per_byte,
            )
        )

    def _reject(self, status: int, reason: str) -> None:
        if self._rejection is None:
            self._rejection = (status, reason)

    def drop(self, reason: str) -> None:
        """Reject the request that is being received, for lack of memory."""
        self._reject(_STATUS_UNAVAILABLE, reason)
        self._body.clear()
        # Not at once, since another connection's request may be in progress.
        self._factory.clock.call_later(0.0, self._process_next)

    def pauseProducing(self) -> None:  # noqa: N802
        """Serve no further request while the caller does not read."""
        self._output_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Serve the next request, since the caller has read."""
        self._output_full = False
        self._process_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the loss of the connection is reported otherwise."""

    def _process_next(self) -> None:
        """Write what is due next, after the responses to earlier requests."""
        if self._processing:
            return  # The loop below goes on.
        self._processing = True
        try:
            for _ in range(_MAX_REQUESTS_AT_ONCE):
                if not self._begin_next_request():
                    return
        finally:
            self._processing = False
        self._factory.clock.call_later(0.0, self._process_next)

    def _begin_next_request(self) -> bool:
        """Serve the next queued request, or write what else is due.

        Returns:
            Whether another request may be served at once.
        """
        if self._current_exchange is not None or self._closing:
            if (
                len(self._queued_requests) > _MAX_PIPELINED_REQUESTS
                or self._queued_bytes > _MAX_PIPELINED_BYTES
            ):
                self.transport.pauseProducing()
            return False
        if self._output_full:
            self.transport.pauseProducing()
            return False
        if self._queued_requests:
            request = self._queued_requests.popleft()
            self._queued_bytes -= len(request.body)
            self._current_exchange = Exchange(
                connection=self,
                request=request,
                received_at=self._factory.clock.monotonic(),
            )
            self._factory.handler.handle(self._current_exchange)
            return self._current_exchange is None
        if self._rejection is not None:
            status, reason = self._rejection
            self._factory.handler.rejected(status, reason)
            response = message.HttpResponse(status=status)
            if status == _STATUS_UNAVAILABLE:
                response.headers.append((b"retry-after", _RETRY_AFTER_S))
            self._write(response, close=True)
            return False
        # Nothing is left that the caller has sent in full.
        self.transport.resumeProducing()
        if self._continue_due:
            self._continue_due = False
            self.transport.write(_CONTINUE_RESPONSE)
        return False

    def respond(
        self, exchange: Exchange, response: message.HttpResponse
    ) -> None:
        """Write the response to the current request and go on to the next."""
        if exchange is not self._current_exchange:
            return
        self._current_exchange = None
        exchange.on_disconnect = exchange.on_expire = None
        close = not exchange.request.keep_alive or (
            self._factory.closing and not self._queued_requests
        )
        to_head = exchange.request.method == b"HEAD"
        self._write(response, close=close, to_head=to_head)
        if self._closing:
            return
        self._start_idle_wait()
        self._process_next()

    def _write(
        self,
        response: message.HttpResponse,
        *,
        close: bool,
        to_head: bool = False,
    ) -> None:
        self.transport.write(
            message.encode_response(response, close=close, to_head=to_head)
        )
        if close:
            self._close()

    def _close(self) -> None:
        """Close the connection once what was written has been sent."""
        self._closing = True
        # Else the transport would wait for more.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def check_timeouts(self, now: float) -> None:
        """Reject a request that is too slow; close an idle connection."""
        if self._current_exchange is not None or self._closing:
            return
        if self._output_full:
            return  # The VM itself does not read on.
        limits = self._factory.limits
        waited_s = now - self._wait_started_at
        if self._in_request:
            if waited_s > limits.header_timeout_s:
                self._reject(408, "timed out receiving the request")
                self._process_next()
            return
        if waited_s > max(self._idle_limit_s, limits.idle_timeout_s):
            self.close_if_idle()

    def expire_request(self) -> None:
        """Let the request in progress be answered at once."""
        current = self._current_exchange
        if current is not None and current.on_expire is not None:
            current.on_expire()

    def close_if_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connection unless a request has begun on it.

        Args:
            min_idle_s: Seconds for which it must have been idle, so that a
                new connection has time for its first request.
        """
        idle_s = self._factory.clock.monotonic() - self._wait_started_at
        idle = self._current_exchange is None and not self._queued_requests
        if idle_s < min_idle_s:
            return
        if idle and not self._in_request:
            self._close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.transport.abortConnection()


class ServerFactory(protocol.Factory):
    """Factory for the connections of one listening address.

    Attributes:
        clock: The clock for the timeouts.
        handler: The handler of the requests.
        connections: The open connections.
        limits: Limits for callers; may be replaced at any time.
        closing: Whether each connection closes after its pending responses.
        link_s_per_byte: Seconds for which a byte of a response occupies the
            VM's network link; 0 if not known.
        buffers: Memory that incomplete requests share.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock: base.Clock,
        handler: RequestHandler,
        limits: CallerLimits,
        link_s_per_byte: float = 0.0,
    ) -> None:
        self.clock = clock
        self.link_s_per_byte = link_s_per_byte
        self.handler = handler
        self.limits = limits
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self.buffers = buffer_budget.BufferBudget(
            limit_bytes=_BUFFERED_MAX_BYTES
        )
        self._sweep_timer: base.Timer | None = None

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        """Build the protocol of an accepted connection."""
        return ServerConnection(factory=self)

    def startFactory(self) -> None:  # noqa: N802
        """Start the periodic check for timeouts."""
        self._sweep_timer = self.clock.call_later(
            _TIMEOUT_SWEEP_PERIOD_S, self._sweep_timeouts
        )

    def stopFactory(self) -> None:  # noqa: N802
        """Stop the periodic check for timeouts."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _sweep_timeouts(self) -> None:
        now = self.clock.monotonic()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self._sweep_timer = self.clock.call_later(
            _TIMEOUT_SWEEP_PERIOD_S, self._sweep_timeouts
        )

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close every connection on which no request has begun.

        Args:
            min_idle_s: Seconds for which it must have been idle.
        """
        for connection in list(self.connections):
            connection.close_if_idle(min_idle_s)

    def expire_requests(self) -> None:
        """Let all requests in progress be answered at once."""
        for connection in list(self.connections):
            connection.expire_request()
