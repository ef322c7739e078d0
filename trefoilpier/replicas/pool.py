"""Connections to one leaf and the requests in flight on them."""

from collections.abc import Callable
from typing import Any

from twisted.internet import error, protocol

from trefoilpier import base, http1
from trefoilpier.replicas import call as calls
from trefoilpier.replicas import (
    concurrency,
    contact,
    ends,
    observations,
    rate_limit,
    state,
)
from trefoilpier.replicas import entry as entries
from trefoilpier.replicas import policy as policies

# A leaf accepts a connection only when a slot is free for its handshake.
_CONNECT_TIMEOUT_S = 0.4
_REUSE_MARGIN_S = 0.3  # The server's idle timer may expire earlier than ours.
_OVERDUE_FACTOR = 3.0  # Multiple of the median latency that few calls exceed.
_PROBE_TIMEOUT_S = 0.4  # Longer than the pauses of a leaf.
_WARM_UP_RETRY_S = 1.0  # Interval between attempts to connect in advance.
# A leaf that has answered within this time needs no check of its health.
_ANSWER_VALID_S = 1.0
# The end of a call in flight reports capacity before a longer wait.
_LIMIT_WAIT_MAX_S = 2.0
# All connections of a leaf that has ended are lost within the first time. The
# second check is for those that are lost late.
_LOSS_CHECK_PAUSES_S = (0.002, 0.02)


class _LeafFactory(protocol.ClientFactory):
    """Factory of one connection, which reports a failure to connect."""

    noisy = False

    def __init__(self, *, pool: "LeafPool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> http1.ClientConnection:  # noqa: N802
        return self._pool.make_connection()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        refused = reason.check(error.ConnectionRefusedError) is not None
        self._pool.connect_failed(reason.getErrorMessage(), refused=refused)


class LeafPool(http1.ConnectionEvents):
    """Connection pool of this VM for one incarnation of a leaf.

    Attributes:
        entry: Registry entry of the leaf.
        stats: Latency, failures and load of the leaf.
        connections_max: This VM's share of the leaf's connections.
        disconnected_at: Monotonic time at which the last open connection was
            lost; 0 if none was.
        health_request: Encoded health check, which tells whether a leaf that
            was out of contact answers again; None if the service has none.
        leaving: Whether the leaf gets no new requests.
        evacuated: Whether nothing may be sent to the leaf, since its zone is
            evacuated.
        end_detector: Decides whether the leaf has ended.
        suspect_count: Calls in flight that may crash the leaf.
        vm_count: VMs that share the leaf's limit on the rate of requests.
    """

    __slots__ = (
        "_buffers",
        "_calls",
        "_clock",
        "_cold_pacer",
        "_concurrency",
        "_connections",
        "_contact",
        "_failed_since_answer",
        "_id_header",
        "_idle",
        "_in_doubt",
        "_next_warm_up_at",
        "_on_capacity",
        "_on_health",
        "_opening_count",
        "_pacer",
        "_reactor",
        "_rests_until",
        "_reuse_policy",
        "_send_timer",
        "_waiting_calls",
        "connections_max",
        "disconnected_at",
        "end_detector",
        "entry",
        "evacuated",
        "health_request",
        "leaving",
        "stats",
        "suspect_count",
        "vm_count",
    )

    def __init__(
        self,
        *,
        entry: entries.LeafEntry,
        connections_max: int,
        vm_count: int,
        send_phase: float,
        clock: base.Clock,
        reactor: Any,
        id_header: bytes,
        on_capacity: Callable[["LeafPool"], None],
        on_health: Callable[["LeafPool", http1.HttpResponse], None],
        end_observer: ends.LeafEndObserver | None = None,
        buffers: http1.BufferBudget | None = None,
        reuse: calls.ReusePolicy | None = None,
        policy: policies.LeafPolicy | None = None,
    ) -> None:
        """Create a pool without connections.

        Args:
            entry: Registry entry of the leaf.
            connections_max: This VM's share of the leaf's connections.
            vm_count: VMs that share the leaf's limit on the rate of requests.
            send_phase: Phase of this VM among them, from 0 to 1.
            clock: Clock of the calls.
            reactor: Reactor that opens connections.
            id_header: Name of the header in which the leaf echoes an id.
            on_capacity: Called when a call may have become possible.
            on_health: Called with each answer to a health check, before the
                leaf counts as in contact.
            end_observer: Receives the calls that the leaf was running when
                it ended; None if that does not matter.
            buffers: Memory for incomplete answers, shared by all leaves.
            reuse: Limits on the reuse of idle connections.
            policy: Settings of the leaf's statistics.
        """
        self._reuse_policy = reuse or calls.ReusePolicy()
        self._buffers = buffers
        self.entry = entry
        self.connections_max = connections_max
        self.disconnected_at = 0.0
        self.health_request: bytes | None = None
        self.leaving = False
        self.evacuated = False
        self.vm_count = vm_count
        self._pacer = rate_limit.RequestPacer(phase=send_phase)
        # Limits the requests to a cold leaf beside its own limit.
        self._cold_pacer: rate_limit.RequestPacer | None = None
        self._rests_until = 0.0
        self._send_timer: base.Timer | None = None
        self._contact = contact.LeafContact()
        self._failed_since_answer = False
        # Whether the next connection has to show that the leaf answers.
        self._in_doubt = False
        self.end_detector = ends.LeafEndDetector(
            entry=entry, observer=end_observer or ends.NullLeafEndObserver()
        )
        self.suspect_count = 0
        now = clock.monotonic()
        self.stats = state.LeafStats(
            slots=entry.slots,
            warm_up_until=now + entry.warm_up_s,
            policy=policy,
        )
        policy = policy or policies.LeafPolicy()
        self._concurrency = (
            concurrency.ConcurrencyLimit(slots=entry.slots)
            if policy.limit_concurrency
            else None
        )
        self._clock = clock
        self._reactor = reactor
        self._id_header = id_header
        self._on_capacity = on_capacity
        self._on_health = on_health
        self._connections: set[http1.ClientConnection] = set()
        self._idle: list[http1.ClientConnection] = []
        self._opening_count = 0
        self._waiting_calls: list[calls.LeafCall] = []
        self._calls: set[calls.LeafCall] = set()
        self._next_warm_up_at = 0.0

    @property
    def connected(self) -> bool:
        """Whether any connection is open."""
        return bool(self._connections)

    def has_capacity(self) -> bool:
        """Return whether a call can start on an idle or a new connection."""
        if self.leaving or self.send_wait_s() > 0.0:
            return False
        if not self._is_below_concurrency_limit():
            return False
        if len(self._idle) > len(self._waiting_calls):
            return True
        connection_count = len(self._connections) + self._opening_count
        if connection_count < self.connections_max:
            return True
        return len(self._waiting_calls) < self._opening_count and not self._idle

    def _is_below_concurrency_limit(self) -> bool:
        in_flight = self.stats.in_flight
        if self._concurrency is None or not in_flight:
            return True
        return self._concurrency.allows(
            in_flight=in_flight,
            vm_count=self.vm_count,
            now=self._clock.monotonic(),
        )

    def record_load(self, load: state.LeafLoad, answer_s: float) -> None:
        """Record the load that the leaf reported with an answer.

        Args:
            load: The reported load.
            answer_s: Seconds from sending the call to its answer.
        """
        now = self._clock.monotonic()
        self.stats.record_load(load, now)
        if self._concurrency is not None:
            self._concurrency.record_report(
                load,
                in_flight=self.stats.in_flight,
                answer_s=answer_s,
                now=now,
            )

    @property
    def rate_limit(self) -> float | None:
        """Requests a second that the leaf takes from all VMs together."""
        return self._pacer.rate

    def set_rate_limit(self, rate: float | None) -> None:
        """Set the limit that the leaf names, or lift it with None.

        Args:
            rate: Requests a second that the leaf takes from all VMs together.
        """
        if rate == self._pacer.rate:
            return
        self._pacer.set_rate(
            rate, vm_count=self.vm_count, now=self._clock.monotonic()
        )
        if rate is None:
            self._on_capacity(self)

    def set_vm_count(self, vm_count: int) -> None:
        """Set the number of VMs that share the leaf's limit."""
        self.vm_count = vm_count
        self._pacer.set_rate(
            self._pacer.rate, vm_count=vm_count, now=self._clock.monotonic()
        )

    def set_cold_pacer(self, pacer: "rate_limit.RequestPacer | None") -> None:
        """Set the pacing of requests while the leaf is cold; None lifts it.

        Calls that wait for a connection have used no send time of it.
        """
        previous, self._cold_pacer = self._cold_pacer, pacer
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        if previous is None and pacer is not None:
            self.end_waiting_calls("leaf is cold")
        if not self.leaving and not self.evacuated:
            self._on_capacity(self)

    def rest(self, seconds: float) -> None:
        """Send no requests for a time that the leaf has asked for."""
        until = self._clock.monotonic() + seconds
        self._rests_until = max(self._rests_until, until)
        self.end_waiting_calls("leaf has asked for no requests for a while")

    def send_wait_s(self) -> float:
        """Return the seconds until the leaf takes a request from this VM.

        It may limit the rate of requests, be cold, or have asked for none for
        a while.
        """
        cold_pacer = self._cold_pacer
        if self._pacer.rate is None and not self._rests_until:
            if cold_pacer is None:
                return 0.0
            return cold_pacer.wait_s(self._clock.monotonic())
        now = self._clock.monotonic()
        wait_s = max(self._rests_until - now, self._pacer.wait_s(now))
        return max(wait_s, cold_pacer.wait_s(now)) if cold_pacer else wait_s

    def notify_when_sendable(self) -> None:
        """Report capacity once the leaf takes a request from this VM."""
        wait_s = self.send_wait_s()
        if self._concurrency is not None and self.stats.in_flight:
            limit_wait_s = self._concurrency.wait_s(
                in_flight=self.stats.in_flight, now=self._clock.monotonic()
            )
            if limit_wait_s < _LIMIT_WAIT_MAX_S:
                wait_s = max(wait_s, limit_wait_s)
        if wait_s > 0.0 and self._send_timer is None and not self.leaving:
            self._send_timer = self._clock.call_later(
                wait_s, self._handle_send_time
            )

    def _handle_send_time(self) -> None:
        self._send_timer = None
        if not self.leaving:
            self._on_capacity(self)

    def has_overdue_call(self, now: float) -> bool:
        """Return whether a call has been in flight unusually long.

        At a leaf that is known to be slow, long calls are usual. They must not
        count in addition to its slowness.
        """
        for call in self._calls:
            overdue_s = _OVERDUE_FACTOR * call.median_latency_s
            if call.sent_at and now - call.sent_at > overdue_s:
                slowness = self.stats.slowness(now)
                if slowness <= observations.SLOW_FACTOR:
                    return True
                if now - call.sent_at > overdue_s * slowness:
                    return True
        return False

    def is_out_of_contact(self, now: float) -> bool:
        """Return whether this VM does not reach the leaf."""
        return self._contact.is_lost(now)

    def warm_up(self) -> None:
        """Open a connection in advance of the first call.

        A leaf that is out of contact gets one beside those that it has, since
        they may hang.
        """
        now = self._clock.monotonic()
        if self._opening_count or self.leaving:
            return
        if self._connections and not self._contact.is_lost(now):
            return
        if self._contact.is_lost(now) and self._pacer.wait_s(now) > 0.0:
            # The connection would be probed, and probes count as requests.
            return
        if len(self._connections) >= self.connections_max:
            return
        if now < self._next_warm_up_at:
            return
        self._next_warm_up_at = now + _WARM_UP_RETRY_S
        self._connect()

    def check_contact(self) -> None:
        """Check the health of a leaf that has not answered lately."""
        now = self._clock.monotonic()
        if now - self._contact.answered_at < _ANSWER_VALID_S:
            return
        if self._opening_count or now < self._next_warm_up_at or self.leaving:
            return
        if self._pacer.wait_s(now) > 0.0:
            return
        if len(self._connections) >= self.connections_max:
            return
        self._next_warm_up_at = now + _WARM_UP_RETRY_S
        self._in_doubt = True
        self._connect()

    def start(self, call: calls.LeafCall) -> None:
        """Start a call; `has_capacity` must be true."""
        call.started_at = self._clock.monotonic()
        self._pacer.record_send(call.started_at)
        if self._cold_pacer is not None:
            self._cold_pacer.record_send(call.started_at)
        self._calls.add(call)
        self.stats.in_flight += 1
        self.suspect_count += call.suspect
        connection = self._take_idle(call)
        if connection is not None:
            self._send(connection, call)
            return
        self._waiting_calls.append(call)
        if self._opening_count < len(self._waiting_calls):
            self._connect()

    def _take_idle(self, call: calls.LeafCall) -> http1.ClientConnection | None:
        """Return the most recently used connection that is fit for the call.

        Connections that have been idle too long are closed.
        """
        now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            usable = (
                now < connection.reuse_until - _REUSE_MARGIN_S
                and idle_s < self._reuse_policy.idle_s
            )
            if not call.repeatable and connection.sent_count:
                usable = (
                    usable and idle_s < self._reuse_policy.non_repeatable_idle_s
                )
            if usable:
                return connection
            connection.abort()
            self._connections.discard(connection)
        return None

    def _send(
        self, connection: http1.ClientConnection, call: calls.LeafCall
    ) -> None:
        data = call.encode_request()
        if data is None:
            self._idle.append(connection)
            self._end_call(
                call,
                calls.CallResult(
                    end=calls.CallEnd.NOT_SENT, reason="deadline passed"
                ),
            )
            return
        call.connection = connection
        call.sent_at = self._clock.monotonic()
        call.sent_in_contact = not self._failed_since_answer
        self._contact.start_wait(call.sent_at)

        def ended(
            outcome: http1.ResponseReceived | http1.RequestFailed,
        ) -> None:
            call.connection = None
            self._failed_since_answer = isinstance(outcome, http1.RequestFailed)
            if isinstance(outcome, http1.RequestFailed):
                if connection.sent_count == 1:
                    # A new connection that brought no answer.
                    self._contact.record_connect_failure()
                result = calls.CallResult(
                    end=calls.CallEnd.LOST,
                    reason=outcome.reason,
                    disconnected=outcome.disconnected,
                )
            else:
                self._contact.record_answer(self._clock.monotonic())
                result = calls.CallResult(
                    end=calls.CallEnd.ANSWERED, response=outcome.response
                )
            self._end_call(call, result)

        connection.send(
            data,
            method=call.method,
            request_id=call.request_id,
            on_complete=ended,
        )

    def _end_call(self, call: calls.LeafCall, result: calls.CallResult) -> None:
        if call.done:
            return
        self._remove_call(call)
        if result.disconnected:
            self._handle_lost_call(call)
        call.on_end(call, result)

    def _handle_lost_call(self, call: calls.LeafCall) -> None:
        """Find out soon whether the leaf has ended or only a connection.

        A leaf in an evacuated zone may be stopped at any time.
        """
        if self.evacuated:
            return
        self.end_detector.record_lost(
            call, self._clock.monotonic(), leaving=self.leaving
        )
        if self.end_detector.undecided:
            self._clock.call_later(0.0, self._connect_if_none)
            for pause_s in _LOSS_CHECK_PAUSES_S:
                self._clock.call_later(pause_s, self._check_ended)

    def _check_ended(self) -> None:
        """Find out from the other connections whether the leaf runs on."""
        if self._connections and self.end_detector.undecided:
            self.end_detector.record_others_open()
        self._connect_if_none()

    def _connect_if_none(self) -> None:
        """Connect to a leaf of which all connections were lost."""
        if self.leaving or self.evacuated or not self.end_detector.undecided:
            return
        if not self._connections and not self._opening_count:
            self._connect()

    def _remove_call(self, call: calls.LeafCall) -> None:
        call.done = True
        self._calls.discard(call)
        self.stats.in_flight -= 1
        self.suspect_count -= call.suspect
        if call.sent_at:
            self._contact.end_wait(self._clock.monotonic())

    def cancel_call(self, call: calls.LeafCall) -> None:
        """Cancel a call without calling its ``on_end``."""
        if call.done:
            return
        self._remove_call(call)
        if call in self._waiting_calls:
            self._waiting_calls.remove(call)
            if self._concurrency is not None:
                self._on_capacity(self)
            return
        if call.connection is not None:
            self.end_detector.record_cancelled(call, self._clock.monotonic())
            call.connection.cancel_request()

    def _connect(self) -> None:
        self._opening_count += 1
        self._reactor.connectTCP(
            self.entry.host,
            self.entry.port,
            _LeafFactory(pool=self),
            timeout=_CONNECT_TIMEOUT_S,
        )

    def make_connection(self) -> http1.ClientConnection:
        """Return the protocol of a new connection."""
        return http1.ClientConnection(
            clock=self._clock,
            events=self,
            id_header=self._id_header,
            buffers=self._buffers,
        )

    def connect_failed(self, reason: str, *, refused: bool) -> None:
        """Handle a failed connection and end the calls that waited for it.

        Args:
            reason: Why it failed.
            refused: Whether the leaf's address refused it.
        """
        self._opening_count -= 1
        if refused and not self.leaving:
            self.end_detector.record_refused(self._clock.monotonic())
        self._failed_since_answer = True
        self.stats.record_connect_failure(self._clock.monotonic())
        self._contact.record_connect_failure()
        waiting = self._waiting_calls[self._opening_count :]
        del self._waiting_calls[self._opening_count :]
        for call in waiting:
            self._end_call(
                call,
                calls.CallResult(
                    end=calls.CallEnd.NOT_SENT,
                    reason=f"cannot connect: {reason}",
                ),
            )

    def opened(self, connection: http1.ClientConnection) -> None:
        """Assign a new connection to the call that has waited longest.

        While the leaf is out of contact, a connection proves little: something
        on the way may have accepted it. It is probed first, unless a call
        waits for it, whose answer shows as much.
        """
        self._opening_count -= 1
        self.end_detector.record_accepted()
        self._connections.add(connection)
        in_doubt = self._in_doubt or self._contact.is_lost(
            self._clock.monotonic()
        )
        self._in_doubt = False
        if in_doubt and self.health_request:
            if self._waiting_calls or self.evacuated:
                self._assign(connection)
            else:
                self._probe(connection, self.health_request)
            return
        self._handle_contact()
        self._assign(connection)

    def _handle_contact(self) -> None:
        self.stats.record_connected()
        self._contact.record_answer(self._clock.monotonic())

    def _probe(
        self, connection: http1.ClientConnection, health_request: bytes
    ) -> None:
        """Send a health check, of which any answer shows contact."""
        self._pacer.record_send(self._clock.monotonic())
        timer = self._clock.call_later(
            _PROBE_TIMEOUT_S, self._give_up_probe, connection
        )

        def ended(
            outcome: http1.ResponseReceived | http1.RequestFailed,
        ) -> None:
            timer.cancel()
            self._failed_since_answer = isinstance(outcome, http1.RequestFailed)
            if isinstance(outcome, http1.ResponseReceived):
                self._on_health(self, outcome.response)
                self._handle_contact()
            else:
                self._contact.record_connect_failure()

        connection.send(
            health_request, method=b"GET", request_id=b"", on_complete=ended
        )

    def _give_up_probe(self, connection: http1.ClientConnection) -> None:
        self._contact.record_connect_failure()
        self._failed_since_answer = True
        connection.cancel_request()

    def freed(self, connection: http1.ClientConnection) -> None:
        """Assign a free connection to the call that has waited longest."""
        self._assign(connection)

    def _assign(self, connection: http1.ClientConnection) -> None:
        if self._waiting_calls:
            self._send(connection, self._waiting_calls.pop(0))
            return
        if self.leaving:
            connection.abort()
            return
        self._idle.append(connection)
        self._on_capacity(self)

    def closed(self, connection: http1.ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if not self._connections:
            self.disconnected_at = self._clock.monotonic()
        if connection in self._idle:
            self._idle.remove(connection)
        if not self.leaving:
            self._on_capacity(self)

    def stop_accepting(self) -> None:
        """Stop sending calls; those in flight may complete."""
        self.leaving = True
        self.end_waiting_calls("leaf is leaving")
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def end_waiting_calls(self, reason: str) -> None:
        """End the calls that wait for a connection, as not sent."""
        waiting, self._waiting_calls = self._waiting_calls, []
        for call in waiting:
            self._end_call(
                call,
                calls.CallResult(end=calls.CallEnd.NOT_SENT, reason=reason),
            )

    def close_connections(self) -> None:
        """Close all connections; calls in flight end as lost."""
        for connection in list(self._connections):
            connection.abort()

    def resume_accepting(self) -> None:
        """Accept new calls again."""
        self.leaving = False
