"""Connection pool of one node to one leaf."""

import collections
import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import protocol

from trefoilpier import base, config
from trefoilpier.leaf import api, codec, connection

_RESPONSE_GRACE_S = 0.25
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 1.0
_NON_REPEATABLE_MAX_IDLE_S = 1.0
_KEEPALIVE_IDLE_S = 10.0
_NON_CALL_TIMEOUT_S = 0.5
_SILENCE_CLOSE_FACTOR = 2.0
_STATE_PATH = b"/v1/state"
_CALL_PATH = b"/v1/call"
_CANCEL_PATH = b"/v1/cancel"


class _InFlightRequest:
    """Request in flight on a connection.

    Attributes:
        call: The call, or None for a probe or a cancellation.
        sent_at: Monotonic time in seconds at which it was sent.
        suspected_silent: Whether its response is overdue.
    """

    __slots__ = ("call", "sent_at", "suspected_silent")

    def __init__(self, *, call: api.LeafCall | None, sent_at: float) -> None:
        self.call = call
        self.sent_at = sent_at
        self.suspected_silent = False


class _ConnectionFactory(protocol.Factory):
    """Twisted factory for the connections of one pool."""

    noisy = False

    def __init__(
        self, *, build: Callable[[], connection.LeafConnection]
    ) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build one connection."""
        return self._build()


class ConnectionPool:
    """Connection pool to one leaf.

    It keeps one connection more than the calls need, up to the maximum, so
    that a call rarely waits for a connection to open. A new connection is
    probed first. A call that is not repeatable is sent only over a connection
    that has responded recently.
    """

    __slots__ = (
        "_backoff",
        "_calls_in_flight",
        "_queued_cancel_ids",
        "_clock",
        "_closed",
        "_connect",
        "_idle",
        "_leaf",
        "_log",
        "_next_connect_at",
        "_on_report",
        "_connecting_count",
        "_in_flight_by_connection",
        "_rng",
        "_max_connections",
        "_last_suspected_at",
        "_call_queue",
    )

    def __init__(
        self,
        *,
        leaf: config.Leaf,
        max_connections: int,
        clock: base.Clock,
        rng: random.Random,
        log: base.EventLog,
        connect: Callable[[config.Leaf, protocol.Factory], Any],
        on_report: Callable[[api.LeafReport | None], None],
    ) -> None:
        self._leaf = leaf
        self._max_connections = max_connections
        self._clock = clock
        self._rng = rng
        self._log = log
        self._connect = connect
        self._on_report = on_report
        self._idle: list[connection.LeafConnection] = []
        self._in_flight_by_connection: dict[
            connection.LeafConnection, _InFlightRequest
        ] = {}
        self._call_queue: collections.deque[api.LeafCall] = collections.deque()
        self._queued_cancel_ids: collections.deque[str] = collections.deque()
        self._connecting_count = 0
        self._calls_in_flight = 0
        self._backoff = _BACKOFF_MIN_S
        self._next_connect_at = 0.0
        self._last_suspected_at = 0.0
        self._closed = False
        self._open_connections()

    @property
    def address(self) -> tuple[str, int]:
        """The leaf's IP address and port."""
        return self._leaf.host, self._leaf.port

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return (
            self._connecting_count
            + len(self._idle)
            + len(self._in_flight_by_connection)
        )

    @property
    def has_no_calls(self) -> bool:
        """Whether no call is in flight or queued."""
        return not self._calls_in_flight and not self._call_queue

    def set_max_connections(self, max_connections: int) -> None:
        """Change the maximum number of connections."""
        self._max_connections = max_connections
        while self._idle and self.connection_count > max_connections:
            self._idle.pop(0).abort()

    def call(self, call: api.LeafCall) -> None:
        """Send a call over an idle connection, or queue it."""
        if self._closed:
            self._fail_call(call, api.CallStatus.NOT_SENT)
            return
        self._call_queue.append(call)
        self._process_queues()

    def cancel(self, call_id: str) -> None:
        """Cancel a call: remove it from the queue, or notify the leaf."""
        for call in self._call_queue:
            if call.id == call_id:
                self._call_queue.remove(call)
                self._fail_call(call, api.CallStatus.NOT_SENT)
                return
        if self._idle:
            body = orjson.dumps({"id": call_id})
            self._send_non_call(
                self._idle.pop(), _CANCEL_PATH, body, self._ignore_response
            )
            return
        self._queued_cancel_ids.append(call_id)

    def probe(self) -> None:
        """Request a report; a pool without connections opens one."""
        if self._idle:
            self._send_probe(self._idle.pop())
            return
        if not self.connection_count:
            self._open_connections()

    def close(self) -> None:
        """Close idle connections now and the others as their calls end."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()
        while self._call_queue:
            self._fail_call(self._call_queue.popleft(), api.CallStatus.NOT_SENT)

    def sweep(self, now: float) -> None:
        """Close silent connections and probe those that were idle for long."""
        for in_use, request in list(self._in_flight_by_connection.items()):
            self._check_silence(in_use, request, now)
        for idle in list(self._idle):
            if now - idle.idle_since > _KEEPALIVE_IDLE_S:
                self._idle.remove(idle)
                self._send_probe(idle)
        while self._call_queue and self._call_queue[0].deadline <= now:
            self._fail_call(self._call_queue.popleft(), api.CallStatus.NOT_SENT)
        if not self._closed:
            self._open_connections()

    def _check_silence(
        self,
        in_use: connection.LeafConnection,
        request: _InFlightRequest,
        now: float,
    ) -> None:
        """Close a connection whose response is overdue.

        A connection is closed if a probe or cancellation times out on it, or
        after the deadline of its call. It is closed earlier if the call is
        repeatable and another connection has received a response since the
        last suspicion, which shows that the leaf itself is responsive.
        """
        age = now - request.sent_at
        call = request.call
        if call is None:
            if age > _NON_CALL_TIMEOUT_S:
                self._close_silent(in_use, request)
            return
        if now > call.deadline + _RESPONSE_GRACE_S:
            self._close_silent(in_use, request)
            return
        if age < call.silence_timeout:
            return
        if not request.suspected_silent:
            request.suspected_silent = True
            self._last_suspected_at = max(self._last_suspected_at, now)
            return
        newer_response_seen = any(
            idle.has_responded and idle.idle_since > self._last_suspected_at
            for idle in self._idle
        )
        if (
            call.repeatable
            and newer_response_seen
            and age > (_SILENCE_CLOSE_FACTOR * call.silence_timeout)
        ):
            self._close_silent(in_use, request)

    def _close_silent(
        self, in_use: connection.LeafConnection, request: _InFlightRequest
    ) -> None:
        """Close a silent connection and fail its call, if it carries one."""
        self._remove_in_flight(in_use)
        in_use.abort()
        self._last_suspected_at = self._clock.monotonic()
        self._log.emit(
            base.Event.LEAF_SILENT,
            leaf=self._leaf.id,
            call=request.call.id if request.call else "probe",
        )
        if request.call is not None:
            self._fail_call(request.call, api.CallStatus.SILENT)
        self._process_queues()

    def _remove_in_flight(
        self, in_use: connection.LeafConnection
    ) -> _InFlightRequest | None:
        """Remove and return the request in flight on a connection."""
        request = self._in_flight_by_connection.pop(in_use, None)
        if request is not None and request.call is not None:
            self._calls_in_flight -= 1
        return request

    def _fail_call(self, call: api.LeafCall, status: api.CallStatus) -> None:
        """Fail a call without a response, on the next event loop iteration."""
        reply = api.LeafReply(status=status)
        self._clock.call_later(0, call.on_reply, reply)

    def _process_queues(self) -> None:
        """Send queued calls and cancellations over idle connections."""
        while self._call_queue and self._idle:
            self._dispatch_call(self._call_queue.popleft(), self._idle.pop())
        while self._queued_cancel_ids and self._idle:
            body = orjson.dumps({"id": self._queued_cancel_ids.popleft()})
            self._send_non_call(
                self._idle.pop(), _CANCEL_PATH, body, self._ignore_response
            )
        if not self._closed:
            self._open_connections()

    def _dispatch_call(
        self, call: api.LeafCall, idle: connection.LeafConnection
    ) -> None:
        """Send one call, or first probe the connection if it may be stale."""
        now = self._clock.monotonic()
        if call.deadline <= now:
            self._idle.append(idle)
            self._fail_call(call, api.CallStatus.NOT_SENT)
            return
        stale = idle.idle_since < self._last_suspected_at
        if (
            not call.repeatable
            and now - idle.idle_since > _NON_REPEATABLE_MAX_IDLE_S
        ):
            stale = True
        if stale:
            self._call_queue.appendleft(call)
            self._send_probe(idle)
            return
        remaining_ms = max(1, int((call.deadline - now) * 1000))
        body = codec.encode_call(
            call.body_prefix, call.id, call.shard, remaining_ms
        )
        request = _InFlightRequest(call=call, sent_at=now)
        self._in_flight_by_connection[idle] = request
        self._calls_in_flight += 1
        idle.send(
            b"POST",
            _CALL_PATH,
            body,
            lambda data: self._on_call_response(idle, data),
        )

    def _on_call_response(
        self, busy: connection.LeafConnection, data: bytes | None
    ) -> None:
        """Handle the response to a call; None if the request failed."""
        request = self._remove_in_flight(busy)
        if request is None or request.call is None:
            return
        call = request.call
        if data is None:
            call.on_reply(api.LeafReply(status=api.CallStatus.LOST))
            return
        try:
            call_id, reply, report = codec.decode_reply(data)
        except ValueError:
            call_id, reply, report = "", None, None
        if reply is None or report is None or call_id != call.id:
            busy.abort()
            self._log.emit(
                base.Event.LEAF_WRONG_ANSWER,
                leaf=self._leaf.id,
                call=call.id,
                answered=call_id,
            )
            call.on_reply(api.LeafReply(status=api.CallStatus.MALFORMED))
            return
        self._return_connection(busy)
        self._on_report(report)
        call.on_reply(reply)
        self._process_queues()

    def _return_connection(self, released: connection.LeafConnection) -> None:
        """Return a connection to the pool, or close it if it is surplus."""
        if self._closed or self.connection_count >= self._max_connections:
            released.abort()
            return
        if released.open:
            self._idle.append(released)

    def _send_non_call(
        self,
        idle: connection.LeafConnection,
        path: bytes,
        body: bytes,
        on_success: Callable[[bytes], None],
    ) -> None:
        """Send a probe or a cancellation."""
        request = _InFlightRequest(call=None, sent_at=self._clock.monotonic())
        self._in_flight_by_connection[idle] = request

        def on_response(data: bytes | None) -> None:
            self._in_flight_by_connection.pop(idle, None)
            if data is None:
                return
            self._return_connection(idle)
            on_success(data)
            self._process_queues()

        method = b"GET" if path == _STATE_PATH else b"POST"
        idle.send(method, path, body, on_response)

    def _send_probe(self, idle: connection.LeafConnection) -> None:
        self._send_non_call(idle, _STATE_PATH, b"", self._on_probe_response)

    def _on_probe_response(self, data: bytes) -> None:
        try:
            report = codec.decode_report(data)
        except ValueError:
            self._on_report(None)
            return
        self._backoff = _BACKOFF_MIN_S
        self._on_report(report)

    def _ignore_response(self, data: bytes) -> None:
        """Ignore the response to a cancellation."""

    def _open_connections(self) -> None:
        """Open connections up to one more than the calls need."""
        now = self._clock.monotonic()
        target_count = min(
            self._max_connections,
            self._calls_in_flight + len(self._call_queue) + 1,
        )
        if now < self._next_connect_at:
            return
        while self.connection_count < target_count:
            self._open_connection()

    def _open_connection(self) -> None:
        self._connecting_count += 1
        factory = _ConnectionFactory(build=self._build_connection)
        connecting = self._connect(self._leaf, factory)
        connecting.addErrback(self._on_connect_failed)

    def _build_connection(self) -> connection.LeafConnection:
        return connection.LeafConnection(
            host_header=f"{self._leaf.host}:{self._leaf.port}".encode(),
            now=self._clock.monotonic,
            on_open=self._on_connected,
            on_close=self._on_connection_closed,
        )

    def _on_connected(self, new: connection.LeafConnection) -> None:
        self._connecting_count -= 1
        if self._closed:
            new.abort()
            return
        self._send_probe(new)

    def _on_connect_failed(self, reason: Any) -> None:
        self._connecting_count -= 1
        self._back_off()

    def _back_off(self) -> None:
        """Back off after a failure to connect.

        The queued calls fail if no connection is idle and no call in flight.
        """
        self._backoff = min(_BACKOFF_MAX_S, self._backoff * 2)
        jitter = 0.5 + self._rng.random()
        self._next_connect_at = self._clock.monotonic() + self._backoff * jitter
        if self._idle or self._calls_in_flight:
            return
        while self._call_queue:
            self._fail_call(self._call_queue.popleft(), api.CallStatus.NOT_SENT)
        self._on_report(None)

    def _on_connection_closed(self, closed: connection.LeafConnection) -> None:
        """Remove a closed connection from the pool."""
        self._remove_in_flight(closed)
        if closed in self._idle:
            self._idle.remove(closed)
        if not closed.has_responded and not self._closed:
            self._back_off()
        elif not self._closed:
            self._open_connections()
