"""A leaf that speaks the published protocol, without sockets of its own.

It answers any request with bytes of its own and signs them. How long that
takes, and what goes wrong, is set from outside.
"""

import random
from collections import deque
from dataclasses import dataclass

from trefoilpier import base, http1

_RECORD_BYTES = 16


@dataclass(slots=True, kw_only=True)
class LeafFaults:
    """What goes wrong.

    Attributes:
        slow_factor: Work takes so many times as long.
        shed_share: Share of the requests that are refused without need.
        fail_share: Share of the requests that fail.
        lose_share: Share of the requests that run and are not answered.
        extra_share: Share of the answers that come twice.
        unsigned_share: Share of the answers without a signature.
        cut_share: Share of the answers that break off.
        paused: Whether nothing goes on.
    """

    slow_factor: float = 1.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    lose_share: float = 0.0
    extra_share: float = 0.0
    unsigned_share: float = 0.0
    cut_share: float = 0.0
    paused: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafAnswer:
    """One signed answer of a leaf."""

    request_id: bytes
    status: int
    body: bytes


class OpaqueLeaf(http1.RequestHandler):
    """Runs requests in slots, with a queue before them.

    Attributes:
        faults: What goes wrong.
        runs: Ids of the requests that it began to work on.
        refused: Ids of those that it refused unprocessed.
        requests: The requests as received.
        last_request_at: Monotonic instant of the last one.
        answer_by_seal: What it answered, by its signature.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_queue",
        "_rng",
        "_running",
        "_work_s",
        "answer_by_seal",
        "faults",
        "id",
        "last_request_at",
        "queue_max",
        "refused",
        "requests",
        "runs",
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
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._work_s = work_s
        self._queue: deque[http1.Exchange] = deque()
        self._held: list[http1.Exchange] = []
        self._running = 0
        self.id = leaf_id
        self.slots = slots
        self.queue_max = queue_max
        self.faults = LeafFaults()
        self.runs: list[bytes] = []
        self.refused: list[bytes] = []
        self.requests: list[http1.HttpRequest] = []
        self.last_request_at = 0.0
        self.answer_by_seal: dict[bytes, LeafAnswer] = {}

    def factory(self) -> http1.ServerFactory:
        """Returns what listens for it."""
        return http1.ServerFactory(
            clock=self._clock, handler=self, limits=http1.CallerLimits()
        )

    def handle(self, exchange: http1.Exchange) -> None:
        """Runs, queues or refuses a request."""
        self.requests.append(exchange.request)
        self.last_request_at = self._clock.monotonic()
        headers = exchange.request.headers
        expected = http1.find_header(headers, b"x-expect-instance")
        if expected is not None and expected != self.id.encode():
            self._refuse(exchange, 421)
            return
        full = self._running >= self.slots and (
            len(self._queue) >= self.queue_max
        )
        if full or self._rng.random() < self.faults.shed_share:
            self._refuse(exchange, 503)
            return
        self._queue.append(exchange)
        exchange.on_gone = lambda: self._gone(exchange)
        self._start_next()

    def _gone(self, exchange: http1.Exchange) -> None:
        if exchange in self._queue:
            self._queue.remove(exchange)

    def _refuse(self, exchange: http1.Exchange, status: int) -> None:
        self.refused.append(self._id_of(exchange))
        self._respond(
            exchange,
            http1.HttpResponse(
                status=status, headers=[(b"x-not-executed", b"1")]
            ),
        )

    def _id_of(self, exchange: http1.Exchange) -> bytes:
        headers = exchange.request.headers
        return http1.find_header(headers, b"x-request-id") or b""

    def _start_next(self) -> None:
        while self._queue and self._running < self.slots:
            if self.faults.paused:
                return
            exchange = self._queue.popleft()
            self._running += 1
            self.runs.append(self._id_of(exchange))
            work_s = self._work_s * self.faults.slow_factor
            self._clock.call_later(
                work_s * self._rng.uniform(0.8, 1.2), self._finish, exchange
            )

    def resume(self) -> None:
        """Ends a pause."""
        self.faults.paused = False
        held, self._held = self._held, []
        for exchange in held:
            self._finish(exchange)
        self._start_next()

    def _finish(self, exchange: http1.Exchange) -> None:
        if self.faults.paused:
            self._held.append(exchange)
            return
        self._running -= 1
        self._answer(exchange)
        self._start_next()

    def _answer(self, exchange: http1.Exchange) -> None:
        connection = exchange.connection
        draw = self._rng.random
        if draw() < self.faults.lose_share:
            connection.abort()
            return
        status = 500 if draw() < self.faults.fail_share else 200
        seal = f"{self.id}.{len(self.runs)}.{self._rng.getrandbits(32):08x}"
        headers = [(b"x-server-seal", seal.encode())]
        if draw() < self.faults.unsigned_share:
            headers = []
        body = self._rng.randbytes(_RECORD_BYTES * 4)
        response = http1.HttpResponse(status=status, headers=headers, body=body)
        self.answer_by_seal[seal.encode()] = LeafAnswer(
            request_id=self._id_of(exchange), status=status, body=body
        )
        if draw() < self.faults.cut_share:
            data = http1.encode_response(response, close=False)
            connection.transport.write(data[: len(data) // 2])
            connection.transport.loseConnection()
            return
        extra = draw() < self.faults.extra_share
        self._respond(exchange, response)
        if extra:
            connection.transport.write(
                http1.encode_response(response, close=False)
            )

    def _respond(
        self, exchange: http1.Exchange, response: http1.HttpResponse
    ) -> None:
        load = f"{self._running},{len(self._queue)},{self.slots}"
        response.headers += [
            (b"x-request-id", self._id_of(exchange)),
            (b"x-instance-id", self.id.encode()),
            (b"x-server-load", load.encode()),
        ]
        exchange.respond(response)

    def rejected(self, status: int, reason: str) -> None:
        """Counts nothing; the tests look at what was received."""
