"""One HTTP/1.1 connection to a server, one request at a time."""

import abc
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
from twisted.internet import error, protocol

from trefoilpier import base
from trefoilpier.http1 import body_buffer, buffer_budget, message

# One read holds the loop for some milliseconds at most, whatever it contains.
_READ_MAX_BYTES = 16 * 1024
# The limits bound memory and are far above the size of any real response.
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_HEADER_BYTES = 64 * 1024
# What a header takes in memory beside its bytes, and an interim response in
# time: some 500 of either may come, however short they are.
_HEADER_OVERHEAD_BYTES = 128
# Bytes without a complete header or a part of the body, such as one long line.
_MAX_STALLED_BYTES = 64 * 1024
# The same in all. Chunks of a few bytes each take far more time than memory.
_MAX_FRAMING_BYTES = 64 * 1024
_FRAMING_BYTES_PER_BODY_BYTE = 0.25
# Without probes, a connection that has gone silent or a server that has lost
# power goes unnoticed. TCP keepalive probes an idle connection every second;
# TCP_USER_TIMEOUT limits how long sent data may stay unacknowledged.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 1500  # Survives two losses in a row on a lossy link.
# A reset this long after a request may come from a path that hangs. A server
# that ends mostly closes its connections in order.
_PEER_RESET_MAX_S = 0.4
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
_STATUS_SWITCHING_PROTOCOLS = 101
_BODILESS_STATUSES = frozenset((204, 304))


@dataclass(slots=True, kw_only=True)
class ResponseReceived:
    """Outcome of a request that received a complete response."""

    response: message.HttpResponse


@dataclass(slots=True, kw_only=True)
class RequestFailed:
    """Outcome of a request that received no complete response.

    Attributes:
        reason: Why there is no response.
        sent: Whether the request may have been sent, and so executed.
        disconnected: Whether the other side has closed the connection, and not
            a timeout on this one.
    """

    reason: str
    sent: bool = True
    disconnected: bool = False


OutcomeCallback = Callable[[ResponseReceived | RequestFailed], None]


class ConnectionEvents(abc.ABC):
    """Callbacks for the state changes of client connections."""

    __slots__ = ()

    @abc.abstractmethod
    def opened(self, connection: "ClientConnection") -> None:
        """Handle a new connection that is ready for its first request."""

    @abc.abstractmethod
    def freed(self, connection: "ClientConnection") -> None:
        """Handle a connection that has become ready for another request."""

    @abc.abstractmethod
    def closed(self, connection: "ClientConnection") -> None:
        """Handle the loss of a connection."""


class ClientConnection(protocol.Protocol, buffer_budget.Buffer):
    """A client connection with at most one request in flight.

    If ``id_header`` is set, a response that echoes another id than that of
    the request in flight is dropped, and the connection is not reused
    afterwards. A response without the header counts as a match. Bytes that
    arrive while no request is in flight close the connection.

    Attributes:
        open: Whether the connection is established and not being closed.
        idle_since: Monotonic time of the last response, in seconds.
        reuse_until: Monotonic time after which the server may have closed
            the connection; infinite if the server announces no idle timeout.
        sent_count: Number of requests sent so far.
    """

    def __init__(
        self,
        *,
        clock: base.Clock,
        events: ConnectionEvents,
        id_header: bytes = b"",
        buffers: buffer_budget.BufferBudget | None = None,
    ) -> None:
        """Create a connection that is not open yet.

        Args:
            clock: Clock of the idle time.
            events: Called when the state changes.
            id_header: Name of the header in which a response echoes the
                request's id; empty for none.
            buffers: Memory shared with other connections, if it is limited.
        """
        self._clock = clock
        self._events = events
        self._id_header = id_header
        self._buffers = buffers
        self._parser: Any = None
        self._request_id = b""
        self._method = b""
        self._on_complete: OutcomeCallback | None = None
        self._headers: message.Headers = []
        self._body = body_buffer.BodyBuffer()
        self._header_bytes = 0
        self._body_bytes = 0
        self._stalled_bytes = 0
        self._received_bytes = 0
        self._dropped = False
        self._body_until_close = False
        self._in_message = False
        self._keep_alive = True
        self._out_of_sync = False
        self._malformed = False
        self._responses: list[message.HttpResponse] = []
        self._socket: socket.socket | None = None
        self._sent_at = 0.0
        self.open = False
        self.idle_since = 0.0
        self.reuse_until = float("inf")
        self.sent_count = 0

    @property
    def busy(self) -> bool:
        """Whether a request is in flight."""
        return self._on_complete is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the socket and report the open connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = _READ_MAX_BYTES
        self._prepare_socket()
        self._parser = httptools.HttpResponseParser(self)
        self.open = True
        self.idle_since = self._clock.monotonic()
        self._events.opened(self)

    def _prepare_socket(self) -> None:
        """Enable keepalive probes and direct writes."""
        handle = self.transport.getHandle()
        if not isinstance(handle, socket.socket):
            return  # A test transport without a socket.
        self._socket = handle
        self.transport.setTcpKeepAlive(True)
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def send(
        self,
        data: bytes,
        *,
        method: bytes,
        request_id: bytes,
        on_complete: OutcomeCallback,
    ) -> None:
        """Send an encoded request.

        Args:
            data: The encoded request.
            method: Its method.
            request_id: Its id, which the response echoes; empty for none.
            on_complete: Called once with the outcome, unless the request is
                cancelled.
        """
        self._request_id = request_id
        self._method = method
        self._on_complete = on_complete
        self._sent_at = self._clock.monotonic()
        self.sent_count += 1
        self._header_bytes = 0
        self._body_bytes = 0
        self._stalled_bytes = 0
        self._received_bytes = 0
        self._dropped = False
        self._write(data)

    def _write(self, data: bytes) -> None:
        """Write to the socket; the reactor writes what it does not accept.

        A request nearly always fits into the socket's buffer, and two calls of
        epoll are saved.
        """
        if self._socket is not None:
            try:
                sent = self._socket.send(data)
            except OSError:
                sent = 0  # The reactor meets the same error and handles it.
            if sent == len(data):
                return
            # Later data must follow what the reactor still holds.
            self._socket = None
            data = data[sent:]
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; malformed input closes the connection."""
        if self._on_complete is None:
            self.abort()
            return
        self._stalled_bytes += len(data)
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # A response that was complete before the malformed bytes counts.
            self._malformed = True
        if self._has_too_little_content():
            self._malformed = True
        if self._responses:
            self._deliver_response()
        elif self._malformed:
            self._fail_request("malformed response")
        else:
            self._count_held_bytes()

    def _count_held_bytes(self) -> None:
        """Note what the incomplete response takes of the shared memory."""
        if self._buffers is not None:
            received_bytes = self._body.size_bytes + self._header_bytes
            self._buffers.resize(self, received_bytes + self._stalled_bytes)

    def _has_too_little_content(self) -> bool:
        """Return whether what has been received is mostly no response."""
        if self._stalled_bytes > _MAX_STALLED_BYTES:
            return True
        known_bytes = self._header_bytes + self._body_bytes
        framing_bytes = self._received_bytes - known_bytes
        allowed_bytes = _FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        return framing_bytes > _MAX_FRAMING_BYTES + allowed_bytes

    def on_message_begin(self) -> None:
        """Reset the state of the message being parsed.

        Raises:
            ValueError: If too many interim responses have preceded it.
        """
        self._count_header_bytes(0)
        self._headers = []
        self._body.clear()
        self._body_until_close = False
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, within the size limit.

        Headers of interim responses and trailers count as well.
        """
        self._stalled_bytes = 0
        self._count_header_bytes(len(name) + len(value))
        self._headers.append((name.lower(), value.strip()))

    def _count_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes + _HEADER_OVERHEAD_BYTES
        if self._header_bytes > _MAX_HEADER_BYTES:
            raise ValueError("response headers too large")

    def on_headers_complete(self) -> None:
        """Determine the body framing and whether the connection is reusable.

        Raises:
            ValueError: If the status is none that may answer the request (RFC
                9110, section 15). The parser reports malformed input then.
        """
        self._stalled_bytes = 0
        self._keep_alive = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            raise ValueError("status out of range")
        if status == _STATUS_SWITCHING_PROTOCOLS:
            raise ValueError("unrequested switch of protocols")
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._body_until_close = (
            not framed
            and status >= _MIN_FINAL_STATUS
            and status not in _BODILESS_STATUSES
        )
        if self._method == b"HEAD":
            # The parser would wait for a body, which a HEAD response omits.
            self._body_until_close = False
            self._out_of_sync = True
            self._finish_message()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body, within the size limit."""
        self._stalled_bytes = 0
        self._body_bytes += len(part)
        if self._body_bytes > _MAX_BODY_BYTES:
            raise ValueError("response too large")
        if self._dropped:
            return
        self._body.add(part)
        if self._body_bytes > buffer_budget.COUNTED_FROM_BYTES:
            self._count_held_bytes()

    def drop(self, reason: str) -> None:
        """Drop the response that is being received, for lack of memory."""
        self._body.clear()
        self._dropped = True
        # Not at once, since the parser may be running.
        self._clock.call_later(0.0, self._fail_request, reason)

    def on_message_complete(self) -> None:
        """Record a complete response."""
        if self._in_message:
            self._finish_message()

    def _finish_message(self) -> None:
        self._in_message = False
        status = self._parser.get_status_code()
        if status < _MIN_FINAL_STATUS or self._dropped:
            return
        response = message.HttpResponse(
            status=status,
            headers=self._headers,
            body=self._body.take(),
        )
        self._release_buffers()
        if not self._matches_request(response):
            # A late response to an earlier request.
            self._out_of_sync = True
            return
        self._responses.append(response)

    def _matches_request(self, response: message.HttpResponse) -> bool:
        if not self._id_header:
            return True
        echoed = message.find_header(response.headers, self._id_header)
        return echoed is None or echoed == self._request_id

    def _deliver_response(self) -> None:
        """Deliver the response, then release or close the connection."""
        response = self._responses[0]
        unusable = len(self._responses) > 1 or self._in_message
        unusable = unusable or self._out_of_sync or self._malformed
        self._responses = []
        on_complete, self._on_complete = self._on_complete, None
        self.idle_since = self._clock.monotonic()
        if unusable or not self._keep_alive:
            self.abort()
        else:
            self.reuse_until = self._parse_reuse_until(response)
        if on_complete is not None:
            on_complete(ResponseReceived(response=response))
        if self.open and not self.busy:
            self._events.freed(self)

    def _parse_reuse_until(self, response: message.HttpResponse) -> float:
        """Return the end of the idle timeout in the Keep-Alive header."""
        value = message.find_header(response.headers, b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                return self.idle_since + int(seconds)
        return float("inf")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the request; an orderly close may complete its response."""
        was_open = self.open
        self.open = False
        orderly = reason is not None and reason.check(error.ConnectionDone)
        if (
            self._on_complete is not None
            and orderly
            and self._is_complete_at_close()
        ):
            self._finish_message()
        self._release_buffers()
        # The parser refers to this connection. Without it, both are freed now
        # and not when cycles are searched.
        self._parser = None
        on_complete, self._on_complete = self._on_complete, None
        if on_complete is not None:
            if self._responses:
                on_complete(ResponseReceived(response=self._responses.pop()))
            else:
                how = "closed" if orderly else "reset"
                on_complete(
                    RequestFailed(
                        reason=f"connection {how} before a complete response",
                        disconnected=was_open
                        and (orderly or self._is_reset_by_peer()),
                    )
                )
        self._events.closed(self)

    def _is_reset_by_peer(self) -> bool:
        """Return whether a reset is too early for a path that hangs."""
        return self._clock.monotonic() - self._sent_at < _PEER_RESET_MAX_S

    def _is_complete_at_close(self) -> bool:
        return (
            self._in_message and self._body_until_close and not self._malformed
        )

    def _release_buffers(self) -> None:
        self._body.clear()
        if self._buffers is not None:
            self._buffers.release(self)

    def _fail_request(self, reason: str) -> None:
        on_complete, self._on_complete = self._on_complete, None
        self.abort()
        if on_complete is not None:
            on_complete(RequestFailed(reason=reason))

    def cancel_request(self) -> None:
        """Cancel the request in flight by closing the connection."""
        self._on_complete = None
        self.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.open = False
        self._release_buffers()
        if self.transport is not None:
            self.transport.abortConnection()
