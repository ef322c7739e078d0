"""Keeps control traffic within a budget of bytes."""

import collections
from collections.abc import Callable

from trefoilpier import base
from trefoilpier.peer import messages

RATE_BYTES_PER_S = 3000.0
BURST_BYTES = 90_000.0
_DRAIN_PERIOD_S = 0.05
_QUEUE_MAX = 1000

# Lower goes first. Probes are few by construction and are never held back,
# since a late one would make a live node look dead.
_PRIORITY_BY_TYPE: dict[type, int] = {
    messages.Ping: 0,
    messages.Ack: 0,
    messages.PingRequest: 0,
    messages.Notice: 1,
    messages.ManifestPull: 1,
    messages.ManifestReply: 1,
    messages.ObjectsPull: 2,
    messages.ObjectsReply: 2,
    messages.NodesPull: 3,
    messages.NodesReply: 3,
}
_PRIORITIES = 4


def is_control(message: messages.Message) -> bool:
    """Tells whether a message counts as control traffic.

    >>> is_control(messages.Notice(hops=0)), is_control(
    ...     messages.Cancel(id="q"))
    (True, False)
    """
    return type(message) in _PRIORITY_BY_TYPE


class ControlBudget:
    """Sends control messages at once while the budget lasts, else in order.

    What does not fit waits in order of importance: version numbers and
    manifests, then objects, then the exchange of membership tables. Queries
    are not control traffic and pass by.

    Attributes:
        sent_bytes: Bytes of control traffic since the start.
    """

    __slots__ = (
        "_balance",
        "_burst",
        "_clock",
        "_draining",
        "_filled_at",
        "_queues",
        "_rate",
        "sent_bytes",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        rate: float = RATE_BYTES_PER_S,
        burst: float = BURST_BYTES,
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._balance = burst
        self._filled_at = clock.monotonic()
        self._queues: list[collections.deque[Callable[[], int]]] = [
            collections.deque(maxlen=_QUEUE_MAX) for _ in range(_PRIORITIES)
        ]
        self._draining = False
        self.sent_bytes = 0

    def submit(
        self, message: messages.Message, send: Callable[[], int]
    ) -> None:
        """Sends a message now or later.

        Args:
            message: The message, for its importance.
            send: Sends it and returns its bytes.
        """
        priority = _PRIORITY_BY_TYPE[type(message)]
        if priority == 0:
            self._charge(send())
            return
        self._queues[priority].append(send)
        self._drain()

    def _charge(self, size: int) -> None:
        self.sent_bytes += size
        self._balance -= size

    def _fill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._filled_at) * self._rate
        self._balance = min(self._burst, self._balance + earned)
        self._filled_at = now

    def _drain(self) -> None:
        """Sends what the balance allows, the most important first."""
        self._fill()
        while self._balance > 0:
            send = self._next()
            if send is None:
                return
            self._charge(send())
        if any(self._queues) and not self._draining:
            self._draining = True
            self._clock.call_later(_DRAIN_PERIOD_S, self._drain_later)

    def _drain_later(self) -> None:
        self._draining = False
        self._drain()

    def _next(self) -> Callable[[], int] | None:
        for queue in self._queues:
            if queue:
                return queue.popleft()
        return None
