"""The queue of one node's calls to one leaf."""

import collections
import heapq
import itertools
from collections.abc import Callable

from trefoilpier import board
from trefoilpier.limits import concurrency


class QueuedCall:
    """A call that is submitted to a leaf queue.

    Attributes:
        deadline: Monotonic instant after which the call is no longer sent.
        dequeued: Whether the call has left the queue: sent, expired or
            withdrawn.
        send: Called when the call may be sent.
        on_expired: Called instead of ``send`` when the deadline has passed.
    """

    __slots__ = ("deadline", "dequeued", "on_expired", "send")

    def __init__(
        self,
        *,
        deadline: float,
        send: Callable[[], None],
        on_expired: Callable[[], None],
    ) -> None:
        self.deadline = deadline
        self.send = send
        self.on_expired = on_expired
        self.dequeued = False


class LeafQueue:
    """A call queue that keeps at most ``limit`` calls to a leaf in flight.

    Services are served round-robin. Within a service, the call with the
    earliest deadline is sent first.
    """

    __slots__ = (
        "_calls_by_service",
        "_now",
        "_sequence_numbers",
        "_service_rotation",
        "limit",
        "leaf_state",
    )

    def __init__(
        self, *, leaf_state: board.LeafState, now: Callable[[], float]
    ) -> None:
        self.leaf_state = leaf_state
        self.limit = concurrency.ConcurrencyLimit(
            slots=leaf_state.group.calls_per_gatherer
        )
        self._now = now
        self._calls_by_service: dict[str, list] = {}
        self._service_rotation: collections.deque[str] = collections.deque()
        self._sequence_numbers = itertools.count()

    def submit(self, service: str, call: QueuedCall) -> None:
        """Send a call now, or queue it."""
        state = self.leaf_state
        if not state.queued and state.in_flight < int(self.limit.value):
            state.in_flight += 1
            call.send()
            return
        heap = self._calls_by_service.get(service)
        if heap is None:
            heap = self._calls_by_service[service] = []
            self._service_rotation.append(service)
        heapq.heappush(
            heap, (call.deadline, next(self._sequence_numbers), call)
        )
        state.queued += 1

    def withdraw(self, call: QueuedCall) -> None:
        """Withdraw a queued call."""
        if not call.dequeued:
            call.dequeued = True
            self.leaf_state.queued -= 1

    def on_answer(self, latency: float) -> None:
        """Adjust the limit after an answer; call before `on_call_ended`."""
        self.limit.on_answer(
            latency=latency, in_flight=self.leaf_state.in_flight
        )
        self.leaf_state.limit = self.limit.value

    def on_shed(self) -> None:
        """Adjust the limit after a shed call; call before `on_call_ended`."""
        self.limit.on_shed(now=self._now())
        self.leaf_state.limit = self.limit.value

    def restart(self) -> None:
        """Reset the limit to one, for a leaf with cold caches."""
        self.limit.restart()
        self.leaf_state.limit = self.limit.value

    def on_call_ended(self) -> None:
        """Release the slot of a call that ended and send queued calls."""
        self.leaf_state.in_flight -= 1
        self.send_queued()

    def send_queued(self) -> None:
        """Send queued calls while the limit allows it."""
        state = self.leaf_state
        while state.queued and state.in_flight < int(self.limit.value):
            call = self._pop_next_call()
            if call is None:
                return
            state.queued -= 1
            call.dequeued = True
            if call.deadline <= self._now():
                call.on_expired()
                continue
            state.in_flight += 1
            call.send()

    def _pop_next_call(self) -> QueuedCall | None:
        """Pop the call with the earliest deadline of the next service."""
        for _ in range(len(self._service_rotation)):
            service = self._service_rotation.popleft()
            heap = self._calls_by_service[service]
            while heap and heap[0][2].dequeued:
                heapq.heappop(heap)
            if not heap:
                del self._calls_by_service[service]
                continue
            self._service_rotation.append(service)
            return heapq.heappop(heap)[2]
        return None
