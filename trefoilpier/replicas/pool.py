"""The connections to one leaf and the requests that are out on them."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import protocol

from trefoilpier import base, http1
from trefoilpier.replicas import entry as entries
from trefoilpier.replicas import state

# The leaf accepts a connection once a slot is free for its handshake.
_CONNECT_TIMEOUT_S = 0.4
_REUSE_MARGIN_S = 0.3  # A server's idle timer may run ahead of ours.
_REUSE_LEAF_S = 4.0  # Idle time when the leaf states no timeout.
_FRESH_LEAF_S = 0.5  # Leafs may drop an idle connection without notice.
_OVERDUE_FACTOR = 3.0  # Few calls take so many times the usual time.
_WARM_RETRY_S = 1.0  # Between two attempts to open an idle connection.


@dataclass(slots=True, kw_only=True, frozen=True)
class ReusePolicy:
    """How long a connection may have been idle when it is used again.

    Attributes:
        idle_s: For a call that may be repeated.
        fresh_s: For one that may not, which a reset would leave in doubt.
    """

    idle_s: float = _REUSE_LEAF_S
    fresh_s: float = _FRESH_LEAF_S


class CallEnd(enum.Enum):
    """How a call to a leaf ended."""

    ANSWERED = enum.auto()
    NOT_SENT = enum.auto()
    LOST = enum.auto()


@dataclass(slots=True, kw_only=True)
class CallResult:
    """The end of a call.

    Attributes:
        end: How it ended.
        response: The leaf's response, if it answered.
        reason: Why it did not.
    """

    end: CallEnd
    response: http1.HttpResponse | None = None
    reason: str = ""


class LeafCall:
    """One request to one leaf.

    Attributes:
        sent_at: Monotonic instant of sending; 0 before.
        on_end: Called once with the result.
    """

    __slots__ = (
        "connection",
        "data",
        "done",
        "make_data",
        "method",
        "on_end",
        "own_id",
        "repeatable",
        "sent_at",
        "started_at",
        "usual_s",
    )

    def __init__(
        self,
        *,
        method: bytes,
        own_id: bytes,
        repeatable: bool,
        usual_s: float,
        make_data: Callable[[], bytes | None],
        on_end: Callable[["LeafCall", CallResult], None],
    ) -> None:
        """Prepares the call.

        Args:
            method: Request method.
            own_id: Id that the leaf echoes.
            repeatable: Whether the request may run more than once.
            usual_s: Usual time of such a request at a leaf.
            make_data: Encodes the request at the moment of sending; None if
                there is no use in sending it any more.
            on_end: Called once with the result.
        """
        self.method = method
        self.own_id = own_id
        self.repeatable = repeatable
        self.usual_s = usual_s
        self.make_data = make_data
        self.on_end = on_end
        self.connection: http1.ClientConnection | None = None
        self.sent_at = 0.0
        self.started_at = 0.0
        self.done = False


class _LeafFactory(protocol.ClientFactory):
    """Makes one connection and reports a failed one."""

    noisy = False

    def __init__(self, *, pool: "LeafPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> http1.ClientConnection:  # noqa: N802
        return self._pool.make_connection()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._pool.connect_failed(reason.getErrorMessage())


class LeafPool(http1.ConnectionEvents):
    """All connections of this VM to one incarnation of a leaf.

    Attributes:
        entry: The leaf.
        stats: How it fares.
        connections_max: This VM's share of the leaf's connections.
        leaving: Whether it gets no new requests.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_connections",
        "_id_header",
        "_idle",
        "_on_room",
        "_opening",
        "_reactor",
        "_reuse",
        "_warm_at",
        "_wanted",
        "connections_max",
        "entry",
        "leaving",
        "stats",
    )

    def __init__(
        self,
        *,
        entry: entries.LeafEntry,
        connections_max: int,
        clock: base.Clock,
        reactor: Any,
        id_header: bytes,
        on_room: Callable[["LeafPool"], None],
        reuse: ReusePolicy | None = None,
    ) -> None:
        self._reuse = reuse or ReusePolicy()
        self.entry = entry
        self.connections_max = connections_max
        self.leaving = False
        now = clock.monotonic()
        self.stats = state.LeafStats(
            slots=entry.slots, slow_until=now + entry.warm_up_s
        )
        self._clock = clock
        self._reactor = reactor
        self._id_header = id_header
        self._on_room = on_room
        self._connections: set[http1.ClientConnection] = set()
        self._idle: list[http1.ClientConnection] = []
        self._opening = 0
        self._wanted: list[LeafCall] = []
        self._calls: set[LeafCall] = set()
        self._warm_at = 0.0

    @property
    def connected(self) -> bool:
        """Whether any connection is open."""
        return bool(self._connections)

    def has_room(self) -> bool:
        """Whether a call can start now, on an open or a new connection."""
        if self.leaving:
            return False
        if len(self._idle) > len(self._wanted):
            return True
        taken = len(self._connections) + self._opening
        if taken < self.connections_max:
            return True
        return len(self._wanted) < self._opening and not self._idle

    def overdue(self, now: float) -> bool:
        """Whether a call has been out for longer than most ever are."""
        return any(
            call.sent_at and now - call.sent_at > _OVERDUE_FACTOR * call.usual_s
            for call in self._calls
        )

    def warm(self) -> None:
        """Opens one connection ahead of the first call."""
        now = self._clock.monotonic()
        if self._connections or self._opening or self.leaving:
            return
        if now < self._warm_at:
            return
        self._warm_at = now + _WARM_RETRY_S
        self._open()

    def start(self, call: LeafCall) -> None:
        """Starts a call; `has_room` must hold."""
        call.started_at = self._clock.monotonic()
        self._calls.add(call)
        self.stats.in_flight += 1
        connection = self._take_idle(call)
        if connection is not None:
            self._send(connection, call)
            return
        self._wanted.append(call)
        if self._opening < len(self._wanted):
            self._open()

    def _take_idle(self, call: LeafCall) -> http1.ClientConnection | None:
        """Takes the connection used last, dropping those idle too long."""
        now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            usable = (
                now < connection.reuse_until - _REUSE_MARGIN_S
                and idle_s < self._reuse.idle_s
            )
            if not call.repeatable and connection.sent_count:
                usable = usable and idle_s < self._reuse.fresh_s
            if usable:
                return connection
            connection.abort()
            self._connections.discard(connection)
        return None

    def _send(self, connection: http1.ClientConnection, call: LeafCall) -> None:
        data = call.make_data()
        if data is None:
            self._idle.append(connection)
            self._end(call, CallResult(end=CallEnd.NOT_SENT, reason="too late"))
            return
        call.connection = connection
        call.sent_at = self._clock.monotonic()

        def ended(outcome: http1.Exchanged | http1.Lost) -> None:
            call.connection = None
            if isinstance(outcome, http1.Lost):
                result = CallResult(end=CallEnd.LOST, reason=outcome.reason)
            else:
                result = CallResult(
                    end=CallEnd.ANSWERED, response=outcome.response
                )
            self._end(call, result)

        connection.send(
            data, method=call.method, own_id=call.own_id, on_end=ended
        )

    def _end(self, call: LeafCall, result: CallResult) -> None:
        if call.done:
            return
        call.done = True
        self._calls.discard(call)
        self.stats.in_flight -= 1
        call.on_end(call, result)

    def withdraw(self, call: LeafCall) -> None:
        """Ends a call whose answer nobody awaits; ``on_end`` is not called."""
        if call.done:
            return
        call.done = True
        self._calls.discard(call)
        self.stats.in_flight -= 1
        if call in self._wanted:
            self._wanted.remove(call)
            return
        if call.connection is not None:
            call.connection.withdraw()

    def _open(self) -> None:
        self._opening += 1
        self._reactor.connectTCP(
            self.entry.host,
            self.entry.port,
            _LeafFactory(pool=self),
            timeout=_CONNECT_TIMEOUT_S,
        )

    def make_connection(self) -> http1.ClientConnection:
        """Makes the protocol of a connection that has been accepted."""
        return http1.ClientConnection(
            clock=self._clock, events=self, id_header=self._id_header
        )

    def connect_failed(self, reason: str) -> None:
        """Ends the calls that waited for a connection."""
        self._opening -= 1
        self.stats.unreachable(self._clock.monotonic())
        waiting = self._wanted[self._opening :]
        del self._wanted[self._opening :]
        for call in waiting:
            self._end(
                call,
                CallResult(
                    end=CallEnd.NOT_SENT, reason=f"cannot connect: {reason}"
                ),
            )

    def opened(self, connection: http1.ClientConnection) -> None:
        """Gives a new connection to the call that waits longest."""
        self._opening -= 1
        self._connections.add(connection)
        self._use(connection)

    def freed(self, connection: http1.ClientConnection) -> None:
        """Gives a free connection to the call that waits longest."""
        self._use(connection)

    def _use(self, connection: http1.ClientConnection) -> None:
        if self._wanted:
            self._send(connection, self._wanted.pop(0))
            return
        if self.leaving:
            connection.abort()
            return
        self._idle.append(connection)
        self._on_room(self)

    def closed(self, connection: http1.ClientConnection) -> None:
        """Forgets a connection."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if not self.leaving:
            self._on_room(self)

    def leave(self) -> None:
        """Sends no new calls; those that are out may end."""
        self.leaving = True
        waiting, self._wanted = self._wanted, []
        for call in waiting:
            reason = "leaf is leaving"
            self._end(call, CallResult(end=CallEnd.NOT_SENT, reason=reason))
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def fail_all(self) -> None:
        """Closes every connection; calls that are out end as lost."""
        for connection in list(self._connections):
            connection.abort()

    def rejoin(self) -> None:
        """Takes new calls again."""
        self.leaving = False
