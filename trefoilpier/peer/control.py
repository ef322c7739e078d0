"""Rate limit for control traffic between entry VMs."""

import collections
from collections.abc import Callable

from trefoilpier import base
from trefoilpier.peer import messages

RATE_BYTES_PER_S = 3000.0
BURST_BYTES = 90_000.0
_DRAIN_PERIOD_S = 0.05
_MAX_QUEUED_MESSAGES = 1000

# The lowest number is sent first. Probes are few by design and never queued,
# because a late probe would make a live node look dead.
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
_PRIORITY_COUNT = 4


def is_control(message: messages.Message) -> bool:
    """Return whether a message counts as control traffic.

    >>> is_control(messages.Notice(hops=0)), is_control(
    ...     messages.Cancel(id="q"))
    (True, False)
    """
    return type(message) in _PRIORITY_BY_TYPE


class ControlBudget:
    """Token bucket for control messages, with a queue for each priority.

    Messages beyond the budget are queued and sent by priority: version
    numbers and manifests, then objects, then the exchange of membership
    tables. Queries are not control traffic and are not limited.

    Attributes:
        sent_bytes: Bytes of control traffic sent since the start.
    """

    __slots__ = (
        "_available_bytes",
        "_burst_bytes",
        "_clock",
        "_drain_scheduled",
        "_refilled_at",
        "_queues",
        "_rate_bytes_per_s",
        "sent_bytes",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        rate_bytes_per_s: float = RATE_BYTES_PER_S,
        burst_bytes: float = BURST_BYTES,
    ) -> None:
        self._clock = clock
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._refilled_at = clock.monotonic()
        self._queues: list[collections.deque[Callable[[], int]]] = [
            collections.deque(maxlen=_MAX_QUEUED_MESSAGES)
            for _ in range(_PRIORITY_COUNT)
        ]
        self._drain_scheduled = False
        self.sent_bytes = 0

    def submit(
        self, message: messages.Message, send: Callable[[], int]
    ) -> None:
        """Send a message as soon as its priority and the budget permit.

        Args:
            message: The message, whose type determines the priority.
            send: Sends the message and returns its size in bytes.
        """
        priority = _PRIORITY_BY_TYPE[type(message)]
        if priority == 0:
            self._spend_bytes(send())
            return
        self._queues[priority].append(send)
        self._send_queued()

    def _spend_bytes(self, size: int) -> None:
        self.sent_bytes += size
        self._available_bytes -= size

    def _refill(self) -> None:
        now = self._clock.monotonic()
        refill_bytes = (now - self._refilled_at) * self._rate_bytes_per_s
        self._available_bytes = min(
            self._burst_bytes, self._available_bytes + refill_bytes
        )
        self._refilled_at = now

    def _send_queued(self) -> None:
        """Send queued messages by priority while the budget lasts."""
        self._refill()
        while self._available_bytes > 0:
            send = self._pop_next()
            if send is None:
                return
            self._spend_bytes(send())
        if any(self._queues) and not self._drain_scheduled:
            self._drain_scheduled = True
            self._clock.call_later(_DRAIN_PERIOD_S, self._resume_sending)

    def _resume_sending(self) -> None:
        self._drain_scheduled = False
        self._send_queued()

    def _pop_next(self) -> Callable[[], int] | None:
        for queue in self._queues:
            if queue:
                return queue.popleft()
        return None
