"""Simulated leaf that speaks the published protocol, independent of sockets.

It responds to every request with random, signed bytes. Service time and faults
are configurable.
"""

import bisect
import enum
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from trefoilpier import base, http1

_RECORD_SIZE_BYTES = 16
_DRIP_PAUSE_S = 0.05
_STATUS_UNAVAILABLE = 503
_HEALTH_PATH = b"/health"  # Of all services in `published_protocol`.


# Of no response in HTTP: the first three have the form of a status.
ODD_STATUSES = (
    b"000 Odd",
    b"099 Odd",
    b"600 Odd",
    b"999 Odd",
    b"101 Switching Protocols",
    b"20 OK",
    b"2000 OK",
    b"abc OK",
    b"",
)


class EndlessPart(enum.Enum):
    """Part of a response that never ends, with the bytes before it."""

    HEAD = b"HTTP/1.1 200 OK\r\nx-filler: "
    BODY = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"


@dataclass(slots=True, kw_only=True)
class LeafFaults:
    """Injected faults.

    Attributes:
        slow_factor: Factor on every service time.
        shed_share: Share of requests that are shed regardless of load.
        fail_share: Share of requests that run and fail with status 500.
        lose_share: Share of requests that run and whose connection is then
            aborted without a response.
        extra_share: Share of responses that are sent twice.
        extra_delay_s: Seconds between both copies.
        unsigned_share: Share of responses without a signature.
        cut_share: Share of responses that are truncated.
        cut_in_head: Whether they are truncated before the end of the head.
        endless: Part of each response that never ends; None for responses
            that do.
        endless_rate: Bytes a second of such a part.
        odd_share: Share of responses whose status line is one of
            ``odd_statuses``.
        odd_statuses: Status lines without the version.
        odd_framing: Whether these responses have a length; None for half of
            them. The others end with their connection.
        more_headers: Further headers of the responses to requests that ran.
        paused: Whether the leaf neither starts nor completes requests.
        stopped: The same, independent of pauses.
    """

    slow_factor: float = 1.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    lose_share: float = 0.0
    extra_share: float = 0.0
    extra_delay_s: float = 0.0
    unsigned_share: float = 0.0
    cut_share: float = 0.0
    cut_in_head: bool = False
    endless: EndlessPart | None = None
    endless_rate: int = 10_000
    odd_share: float = 0.0
    odd_statuses: Sequence[bytes] = ODD_STATUSES
    odd_framing: bool | None = None
    more_headers: Sequence[tuple[bytes, bytes]] = ()
    paused: bool = False
    stopped: bool = False

    @property
    def held_up(self) -> bool:
        """Whether the leaf neither starts nor completes requests."""
        return self.paused or self.stopped


@dataclass(slots=True, kw_only=True)
class RateLimit:
    """A time in which a leaf names a limit in its responses.

    Attributes:
        rate: Requests a second that it takes from all VMs together.
        start: Monotonic time from which it names the limit.
        end: Monotonic time at which it stops; infinite until then.
    """

    rate: float
    start: float
    end: float = float("inf")


@dataclass(slots=True, kw_only=True)
class ColdPeriod:
    """A time in which a leaf is cold.

    Attributes:
        start: Monotonic time at which it became cold.
        end: Monotonic time from which it is warm.
        started: Whether it began with the start of the leaf.
    """

    start: float
    end: float
    started: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafResponse:
    """Record of one signed response of a leaf."""

    request_id: bytes
    status: int
    body: bytes


class OpaqueLeaf(http1.RequestHandler):
    """Simulated leaf with slots, a bounded queue and injectable faults.

    Attributes:
        id: Instance id of the leaf.
        slots: Maximum number of requests that run concurrently.
        queue_max: Maximum number of queued requests.
        rate_limits: The limits that it has named, in order.
        rest_s: Seconds for which it wants no requests from a VM that it
            refuses; None if it does not say.
        cold_periods: The times in which it was cold, in order.
        call_times: Monotonic times of the requests that were neither health
            checks nor meant for another leaf.
        says_leaving: Whether its responses say that it leaves.
        faults: Injected faults.
        crashes_under: Returns whether a request crashes the leaf at the end
            of its work; None for a leaf that never crashes.
        last_request_at: Monotonic time of the last request that was neither a
            health check nor meant for another leaf; 0 if there was none.
        on_crash: Called with the request that has crashed the leaf.
        ended: Whether the leaf has ended and answers nothing any more.
        runs: Ids of the requests that were started.
        refused: Ids of the requests that were rejected unprocessed.
        requests: All requests received.
        request_times: Monotonic time of each request received.
        request_sources: Name of the sender of each, if the network knows it.
        response_by_seal: Responses by signature.
    """

    __slots__ = (
        "_clock",
        "_paused_exchanges",
        "_queue",
        "_rng",
        "_running_count",
        "_work_time",
        "response_by_seal",
        "call_times",
        "cold_periods",
        "crashes_under",
        "ended",
        "faults",
        "id",
        "last_request_at",
        "on_crash",
        "queue_max",
        "rate_limits",
        "refused",
        "request_sources",
        "request_times",
        "requests",
        "rest_s",
        "runs",
        "says_leaving",
        "slots",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        rng: random.Random,
        leaf_id: str,
        work_s: float = 0.01,
        slots: int = 2,
        queue_max: int = 12,
        work_time: Callable[[http1.HttpRequest], float] | None = None,
    ) -> None:
        """Create an idle leaf.

        Args:
            clock: Clock of the simulation.
            rng: Source of random numbers.
            leaf_id: Instance id.
            work_s: Mean work of a request in seconds.
            slots: Maximum number of requests that run concurrently.
            queue_max: Maximum number of queued requests.
            work_time: Returns the work of a request in seconds, instead of
                ``work_s``.
        """
        self._work_time = work_time or (
            lambda request: work_s * rng.uniform(0.8, 1.2)
        )
        self._clock = clock
        self._rng = rng
        self._queue: deque[http1.Exchange] = deque()
        self._paused_exchanges: list[http1.Exchange] = []
        self._running_count = 0
        self.id = leaf_id
        self.slots = slots
        self.queue_max = queue_max
        self.faults = LeafFaults()
        self.crashes_under: Callable[[http1.HttpRequest], bool] | None = None
        self.on_crash: Callable[[http1.HttpRequest], None] = lambda request: (
            None
        )
        self.ended = False
        self.last_request_at = 0.0
        self.rate_limits: list[RateLimit] = []
        self.cold_periods: list[ColdPeriod] = []
        self.call_times: list[float] = []
        self.says_leaving = False
        self.rest_s: float | None = None
        self.runs: list[bytes] = []
        self.refused: list[bytes] = []
        self.requests: list[http1.HttpRequest] = []
        self.request_times: list[float] = []
        self.request_sources: list[str] = []
        self.response_by_seal: dict[bytes, LeafResponse] = {}

    def max_requests_in(
        self,
        window_s: float,
        *,
        since: float,
        until: float = float("inf"),
        times: Sequence[float] | None = None,
    ) -> int:
        """Return the largest number of requests in any window of a length.

        Args:
            window_s: Length of the window in seconds.
            since: Monotonic time from which requests count.
            until: Monotonic time up to which they count.
            times: Times of the requests that count; None for all requests.
        """
        times = self.request_times if times is None else times
        times = [time for time in times if since <= time <= until]
        return max(
            (
                bisect.bisect_right(times, start + window_s) - index
                for index, start in enumerate(times)
            ),
            default=0,
        )

    @property
    def waiting_count(self) -> int:
        """Requests in the leaf's queue."""
        return len(self._queue)

    @property
    def rate_limit(self) -> float | None:
        """Requests a second that the leaf takes; None if it names no limit."""
        if not self.rate_limits or self.rate_limits[-1].end < float("inf"):
            return None
        return self.rate_limits[-1].rate

    def limit_rate(self, rate: float | None) -> None:
        """Name a limit in all responses, or none any more."""
        now = self._clock.monotonic()
        if self.rate_limit is not None:
            self.rate_limits[-1].end = now
        if rate is not None:
            self.rate_limits.append(RateLimit(rate=rate, start=now))

    def make_cold(self, seconds: float, *, started: bool = False) -> None:
        """Be cold for some seconds.

        Args:
            seconds: Time until the leaf is warm.
            started: Whether the leaf has just started.
        """
        now = self._clock.monotonic()
        if self.cold_periods:
            last = self.cold_periods[-1]
            last.end = min(last.end, now)
        self.cold_periods.append(
            ColdPeriod(start=now, end=now + seconds, started=started)
        )

    @property
    def warm_up_left_s(self) -> float:
        """Seconds until the leaf is warm."""
        if not self.cold_periods:
            return 0.0
        return max(0.0, self.cold_periods[-1].end - self._clock.monotonic())

    def factory(self) -> http1.ServerFactory:
        """Return an HTTP server factory for this leaf."""
        return http1.ServerFactory(
            clock=self._clock, handler=self, limits=http1.CallerLimits()
        )

    def handle(self, exchange: http1.Exchange) -> None:
        """Start, queue or reject a request."""
        self.requests.append(exchange.request)
        self.request_times.append(self._clock.monotonic())
        transport = exchange.connection.transport
        self.request_sources.append(getattr(transport, "source", ""))
        if exchange.request.target == _HEALTH_PATH:
            self._answer_health_check(exchange)
            return
        headers = exchange.request.headers
        expected = http1.find_header(headers, b"x-expect-instance")
        if expected is not None and expected != self.id.encode():
            self._refuse(exchange, 421)
            return
        self.last_request_at = self._clock.monotonic()
        self.call_times.append(self.last_request_at)
        full = self._running_count >= self.slots and (
            len(self._queue) >= self.queue_max
        )
        if full or self._rng.random() < self.faults.shed_share:
            self._refuse(exchange, _STATUS_UNAVAILABLE)
            return
        self._queue.append(exchange)
        exchange.on_disconnect = lambda: self._on_caller_disconnect(exchange)
        self._start_next()

    def _answer_health_check(self, exchange: http1.Exchange) -> None:
        if self.faults.held_up:
            return
        response = http1.HttpResponse(status=200)
        if self.cold_periods:
            left_ms = round(1000 * self.warm_up_left_s)
            response.headers.append((b"x-warmup-ms", b"%d" % left_ms))
        self._respond(exchange, response)

    def _on_caller_disconnect(self, exchange: http1.Exchange) -> None:
        if exchange in self._queue:
            self._queue.remove(exchange)

    def _refuse(self, exchange: http1.Exchange, status: int) -> None:
        self.refused.append(self._request_id(exchange))
        headers = [(b"x-not-executed", b"1")]
        if status == _STATUS_UNAVAILABLE and self.rest_s is not None:
            headers.append((b"retry-after", f"{self.rest_s:.1f}".encode()))
        self._respond(
            exchange, http1.HttpResponse(status=status, headers=headers)
        )

    def _request_id(self, exchange: http1.Exchange) -> bytes:
        headers = exchange.request.headers
        return http1.find_header(headers, b"x-request-id") or b""

    def _start_next(self) -> None:
        while self._queue and self._running_count < self.slots:
            if self.faults.held_up:
                return
            exchange = self._queue.popleft()
            self._running_count += 1
            self.runs.append(self._request_id(exchange))
            work_s = self._work_time(exchange.request)
            self._clock.call_later(
                work_s * self.faults.slow_factor, self._finish, exchange
            )

    def resume(self) -> None:
        """End a pause and complete the requests that it held up."""
        self.faults.paused = False
        if self.faults.stopped:
            return
        held_exchanges, self._paused_exchanges = self._paused_exchanges, []
        for exchange in held_exchanges:
            self._finish(exchange)
        self._start_next()

    def _finish(self, exchange: http1.Exchange) -> None:
        if self.ended:
            return
        if self.faults.held_up:
            self._paused_exchanges.append(exchange)
            return
        if self.crashes_under and self.crashes_under(exchange.request):
            self.ended = True
            self.on_crash(exchange.request)
            return
        self._running_count -= 1
        self._answer(exchange)
        self._start_next()

    def _answer(self, exchange: http1.Exchange) -> None:
        connection = exchange.connection
        draw_random = self._rng.random
        if draw_random() < self.faults.lose_share:
            connection.abort()
            return
        if self.faults.endless is not None:
            connection.transport.write(self.faults.endless.value)
            self._drip(connection)
            return
        status = 500 if draw_random() < self.faults.fail_share else 200
        seal = f"{self.id}.{len(self.runs)}.{self._rng.getrandbits(32):08x}"
        headers = [(b"x-server-seal", seal.encode())]
        if draw_random() < self.faults.unsigned_share:
            headers = []
        headers += self.faults.more_headers
        body = self._rng.randbytes(_RECORD_SIZE_BYTES * 4)
        response = http1.HttpResponse(status=status, headers=headers, body=body)
        self.response_by_seal[seal.encode()] = LeafResponse(
            request_id=self._request_id(exchange), status=status, body=body
        )
        if draw_random() < self.faults.cut_share:
            data = http1.encode_response(response, close=False)
            end = len(data) // 2
            if self.faults.cut_in_head:
                end = self._rng.randrange(1, data.index(b"\r\n\r\n") + 3)
            connection.transport.write(data[:end])
            connection.transport.loseConnection()
            return
        if self.faults.odd_share and draw_random() < self.faults.odd_share:
            self._answer_oddly(exchange, response)
            return
        extra = draw_random() < self.faults.extra_share
        self._respond(exchange, response)
        if extra:
            copy = http1.encode_response(response, close=False)
            self._clock.call_later(
                self.faults.extra_delay_s, connection.transport.write, copy
            )

    def _answer_oddly(
        self, exchange: http1.Exchange, response: http1.HttpResponse
    ) -> None:
        """Write a response whose status is none, with a length or without."""
        response.headers.append((b"x-request-id", self._request_id(exchange)))
        data = http1.encode_response(response, close=False)
        framed = self.faults.odd_framing
        if framed is None:
            framed = self._rng.random() < 0.5
        _, _, rest = data.partition(b"\r\n")
        if not framed:
            length = b"content-length: %d\r\n" % len(response.body)
            rest = rest.replace(length, b"")
        status = self._rng.choice(self.faults.odd_statuses)
        transport = exchange.connection.transport
        transport.write(b"HTTP/1.1 " + status + b"\r\n" + rest)
        if not framed:
            transport.loseConnection()

    def _drip(self, connection: Any) -> None:
        """Write a part of an endless response until the connection ends."""
        if not connection.transport.connected:
            return
        size = int(self.faults.endless_rate * _DRIP_PAUSE_S)
        connection.transport.write(b"x" * size)
        self._clock.call_later(_DRIP_PAUSE_S, self._drip, connection)

    def _respond(
        self, exchange: http1.Exchange, response: http1.HttpResponse
    ) -> None:
        load = f"{self._running_count},{len(self._queue)},{self.slots}"
        response.headers += [
            (b"x-request-id", self._request_id(exchange)),
            (b"x-instance-id", self.id.encode()),
            (b"x-server-load", load.encode()),
        ]
        if self.rate_limit is not None:
            limit = f"{self.rate_limit:.1f}"
            response.headers.append((b"server-limit", limit.encode()))
        if self.says_leaving:
            response.headers.append((b"server-leaving", b"1"))
        exchange.respond(response)

    def rejected(self, status: int, reason: str) -> None:
        """Do nothing; tests inspect the received requests."""
