"""The connections of one node to one leaf."""

import collections
import random
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet import protocol

from trefoilpier import base, config
from trefoilpier.leaf import api, codec, connection

_ANSWER_GRACE_S = 0.25
_BACKOFF_MIN_S = 0.1
_BACKOFF_MAX_S = 1.0
_FRESH_FOR_ONCE_S = 1.0
_KEEPALIVE_S = 10.0
_KEEPALIVE_ANSWER_S = 0.5
_SILENT_FACTOR = 2.0
_STATE_PATH = b"/v1/state"
_CALL_PATH = b"/v1/call"
_CANCEL_PATH = b"/v1/cancel"


class _Out:
    """A request that is out on a connection."""

    __slots__ = ("call", "sent_at", "suspected")

    def __init__(self, *, call: api.LeafCall | None, sent_at: float) -> None:
        self.call = call
        self.sent_at = sent_at
        self.suspected = False


class _ConnectionFactory(protocol.Factory):
    """Builds the connections of one pool."""

    noisy = False

    def __init__(
        self, *, build: Callable[[], connection.LeafConnection]
    ) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Builds one connection."""
        return self._build()


class LeafPool:
    """Opens, uses and retires connections to one leaf.

    It keeps one connection more than are busy, up to the share, so that a
    call seldom waits for a connection to open. Each new connection carries a
    probe first; a call that must not be repeated goes only over a connection
    that has answered lately.
    """

    __slots__ = (
        "_backoff",
        "_calls_out",
        "_cancelled",
        "_clock",
        "_closed",
        "_connect",
        "_idle",
        "_leaf",
        "_log",
        "_next_open_at",
        "_on_report",
        "_opening",
        "_out_by_connection",
        "_random",
        "_share",
        "_suspect_since",
        "_waiting",
    )

    def __init__(
        self,
        *,
        leaf: config.Leaf,
        share: int,
        clock: base.Clock,
        rng: random.Random,
        log: base.EventLog,
        connect: Callable[[config.Leaf, protocol.Factory], Any],
        on_report: Callable[[api.LeafReport | None], None],
    ) -> None:
        self._leaf = leaf
        self._share = share
        self._clock = clock
        self._random = rng
        self._log = log
        self._connect = connect
        self._on_report = on_report
        self._idle: list[connection.LeafConnection] = []
        self._out_by_connection: dict[connection.LeafConnection, _Out] = {}
        self._waiting: collections.deque[api.LeafCall] = collections.deque()
        self._cancelled: collections.deque[str] = collections.deque()
        self._opening = 0
        self._calls_out = 0
        self._backoff = _BACKOFF_MIN_S
        self._next_open_at = 0.0
        self._suspect_since = 0.0
        self._closed = False
        self._grow()

    @property
    def address(self) -> tuple[str, int]:
        """The leaf's IP number and port."""
        return self._leaf.host, self._leaf.port

    @property
    def connection_count(self) -> int:
        """Connections that are open or being opened."""
        return self._opening + len(self._idle) + len(self._out_by_connection)

    @property
    def quiet(self) -> bool:
        """Whether no call is out or waiting."""
        return not self._calls_out and not self._waiting

    def set_share(self, share: int) -> None:
        """Changes how many connections may be open."""
        self._share = share
        while self._idle and self.connection_count > share:
            self._idle.pop(0).abort()

    def call(self, call: api.LeafCall) -> None:
        """Sends a call over a ready connection, or waits for one."""
        if self._closed:
            self._end(call, api.CallStatus.NOT_SENT)
            return
        self._waiting.append(call)
        self._pump()

    def cancel(self, call_id: str) -> None:
        """Withdraws a call: from the queue, or by word to the leaf."""
        for call in self._waiting:
            if call.id == call_id:
                self._waiting.remove(call)
                self._end(call, api.CallStatus.NOT_SENT)
                return
        if self._idle:
            body = orjson.dumps({"id": call_id})
            self._send(self._idle.pop(), _CANCEL_PATH, body, self._ignore)
            return
        self._cancelled.append(call_id)

    def probe(self) -> None:
        """Asks for a report; a pool without connections opens one."""
        if self._idle:
            self._probe_over(self._idle.pop())
            return
        if not self.connection_count:
            self._grow()

    def close(self) -> None:
        """Closes idle connections now and the others as their calls end."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()
        while self._waiting:
            self._end(self._waiting.popleft(), api.CallStatus.NOT_SENT)

    def sweep(self, now: float) -> None:
        """Retires silent connections and probes those idle for long."""
        for out_connection, out in list(self._out_by_connection.items()):
            self._judge(out_connection, out, now)
        for idle in list(self._idle):
            if now - idle.idle_since > _KEEPALIVE_S:
                self._idle.remove(idle)
                self._probe_over(idle)
        while self._waiting and self._waiting[0].deadline <= now:
            self._end(self._waiting.popleft(), api.CallStatus.NOT_SENT)
        if not self._closed:
            self._grow()

    def _judge(
        self, out_connection: connection.LeafConnection, out: _Out, now: float
    ) -> None:
        """Decides whether a connection that waits has gone silent."""
        age = now - out.sent_at
        call = out.call
        if call is None:
            if age > _KEEPALIVE_ANSWER_S:
                self._retire(out_connection, out)
            return
        if now > call.deadline + _ANSWER_GRACE_S:
            self._retire(out_connection, out)
            return
        if age < call.silence:
            return
        if not out.suspected:
            out.suspected = True
            self._suspect_since = max(self._suspect_since, now)
            return
        newer_works = any(
            idle.proven and idle.idle_since > self._suspect_since
            for idle in self._idle
        )
        if (
            call.repeatable
            and newer_works
            and age > (_SILENT_FACTOR * call.silence)
        ):
            self._retire(out_connection, out)

    def _retire(
        self, out_connection: connection.LeafConnection, out: _Out
    ) -> None:
        """Closes a silent connection and ends its call."""
        self._forget_out(out_connection)
        out_connection.abort()
        self._suspect_since = self._clock.monotonic()
        self._log.emit(
            base.Event.LEAF_SILENT,
            leaf=self._leaf.id,
            call=out.call.id if out.call else "probe",
        )
        if out.call is not None:
            self._end(out.call, api.CallStatus.SILENT)
        self._pump()

    def _forget_out(
        self, out_connection: connection.LeafConnection
    ) -> _Out | None:
        """Takes a connection out of those with a request out."""
        out = self._out_by_connection.pop(out_connection, None)
        if out is not None and out.call is not None:
            self._calls_out -= 1
        return out

    def _end(self, call: api.LeafCall, status: api.CallStatus) -> None:
        """Ends a call without an answer, on the next turn of the loop."""
        reply = api.LeafReply(status=status)
        self._clock.call_later(0, call.on_reply, reply)

    def _pump(self) -> None:
        """Gives waiting calls to idle connections."""
        while self._waiting and self._idle:
            self._dispatch(self._waiting.popleft(), self._idle.pop())
        while self._cancelled and self._idle:
            body = orjson.dumps({"id": self._cancelled.popleft()})
            self._send(self._idle.pop(), _CANCEL_PATH, body, self._ignore)
        if not self._closed:
            self._grow()

    def _dispatch(
        self, call: api.LeafCall, idle: connection.LeafConnection
    ) -> None:
        """Sends one call, or proves the connection before it."""
        now = self._clock.monotonic()
        if call.deadline <= now:
            self._idle.append(idle)
            self._end(call, api.CallStatus.NOT_SENT)
            return
        stale = idle.idle_since < self._suspect_since
        if not call.repeatable and now - idle.idle_since > _FRESH_FOR_ONCE_S:
            stale = True
        if stale:
            self._waiting.appendleft(call)
            self._probe_over(idle)
            return
        remaining_ms = max(1, int((call.deadline - now) * 1000))
        body = codec.encode_call(call.head, call.id, call.shard, remaining_ms)
        out = _Out(call=call, sent_at=now)
        self._out_by_connection[idle] = out
        self._calls_out += 1
        idle.send(
            b"POST", _CALL_PATH, body, lambda data: self._answered(idle, data)
        )

    def _answered(
        self, busy: connection.LeafConnection, data: bytes | None
    ) -> None:
        """Takes in the answer to a call."""
        out = self._forget_out(busy)
        if out is None or out.call is None:
            return
        call = out.call
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
        self._back(busy)
        self._on_report(report)
        call.on_reply(reply)
        self._pump()

    def _back(self, freed: connection.LeafConnection) -> None:
        """Returns a connection to the idle ones, unless it is surplus."""
        if self._closed or self.connection_count >= self._share:
            freed.abort()
            return
        if freed.open:
            self._idle.append(freed)

    def _send(
        self,
        idle: connection.LeafConnection,
        path: bytes,
        body: bytes,
        handle: Callable[[bytes], None],
    ) -> None:
        """Sends a request that is not a call."""
        out = _Out(call=None, sent_at=self._clock.monotonic())
        self._out_by_connection[idle] = out

        def answered(data: bytes | None) -> None:
            self._out_by_connection.pop(idle, None)
            if data is None:
                return
            self._back(idle)
            handle(data)
            self._pump()

        method = b"GET" if path == _STATE_PATH else b"POST"
        idle.send(method, path, body, answered)

    def _probe_over(self, idle: connection.LeafConnection) -> None:
        self._send(idle, _STATE_PATH, b"", self._probed)

    def _probed(self, data: bytes) -> None:
        try:
            report = codec.decode_report(data)
        except ValueError:
            self._on_report(None)
            return
        self._backoff = _BACKOFF_MIN_S
        self._on_report(report)

    def _ignore(self, data: bytes) -> None:
        """Drops the answer to a cancellation."""

    def _grow(self) -> None:
        """Opens connections so that one more than the busy ones is there."""
        now = self._clock.monotonic()
        wanted = min(self._share, self._calls_out + len(self._waiting) + 1)
        if now < self._next_open_at:
            return
        while self.connection_count < wanted:
            self._open_one()

    def _open_one(self) -> None:
        self._opening += 1
        factory = _ConnectionFactory(build=self._build)
        opening = self._connect(self._leaf, factory)
        opening.addErrback(self._open_failed)

    def _build(self) -> connection.LeafConnection:
        return connection.LeafConnection(
            host_header=f"{self._leaf.host}:{self._leaf.port}".encode(),
            now=self._clock.monotonic,
            on_open=self._opened,
            on_close=self._lost,
        )

    def _opened(self, new: connection.LeafConnection) -> None:
        self._opening -= 1
        if self._closed:
            new.abort()
            return
        self._probe_over(new)

    def _open_failed(self, reason: Any) -> None:
        self._opening -= 1
        self._failed()

    def _failed(self) -> None:
        """Backs off, and ends the waiting calls if nothing is open."""
        self._backoff = min(_BACKOFF_MAX_S, self._backoff * 2)
        jitter = 0.5 + self._random.random()
        self._next_open_at = self._clock.monotonic() + self._backoff * jitter
        if self._idle or self._calls_out:
            return
        while self._waiting:
            self._end(self._waiting.popleft(), api.CallStatus.NOT_SENT)
        self._on_report(None)

    def _lost(self, closed: connection.LeafConnection) -> None:
        """Forgets a closed connection."""
        self._forget_out(closed)
        if closed in self._idle:
            self._idle.remove(closed)
        if not closed.proven and not self._closed:
            self._failed()
        elif not self._closed:
            self._grow()
