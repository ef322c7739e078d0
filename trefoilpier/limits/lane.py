"""The calls of one node that wait for one leaf."""

import collections
import heapq
import itertools
from collections.abc import Callable

from trefoilpier import board
from trefoilpier.limits import concurrency


class LaneItem:
    """A call in a lane.

    Attributes:
        deadline: Monotonic instant after which sending it is of no use.
        dropped: Whether it was withdrawn while it waited.
        send: Called when a place is free.
        expire: Called instead of ``send`` when the deadline has passed.
    """

    __slots__ = ("deadline", "dropped", "expire", "send")

    def __init__(
        self,
        *,
        deadline: float,
        send: Callable[[], None],
        expire: Callable[[], None],
    ) -> None:
        self.deadline = deadline
        self.send = send
        self.expire = expire
        self.dropped = False


class Lane:
    """Sends at most ``limit`` calls to a leaf at a time.

    Services take turns; within a service the earliest deadline goes first.
    """

    __slots__ = (
        "_heap_by_service",
        "_now",
        "_order",
        "_turns",
        "limit",
        "state",
    )

    def __init__(
        self, *, state: board.LeafState, now: Callable[[], float]
    ) -> None:
        self.state = state
        self.limit = concurrency.ConcurrencyLimit(slots=state.group.slot_share)
        self._now = now
        self._heap_by_service: dict[str, list] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._order = itertools.count()

    def submit(self, service: str, item: LaneItem) -> None:
        """Sends the call now, or queues it."""
        state = self.state
        if not state.queued and state.in_flight < int(self.limit.value):
            state.in_flight += 1
            item.send()
            return
        heap = self._heap_by_service.get(service)
        if heap is None:
            heap = self._heap_by_service[service] = []
            self._turns.append(service)
        heapq.heappush(heap, (item.deadline, next(self._order), item))
        state.queued += 1

    def drop(self, item: LaneItem) -> None:
        """Withdraws a call that waits."""
        if not item.dropped:
            item.dropped = True
            self.state.queued -= 1

    def answered(self, latency: float) -> None:
        """Lets the limit learn from an answered call, before `finished`."""
        self.limit.answered(latency=latency, in_flight=self.state.in_flight)
        self.state.limit = self.limit.value

    def shed(self) -> None:
        """Lets the limit learn from a shed call, before `finished`."""
        self.limit.shed(now=self._now())
        self.state.limit = self.limit.value

    def restart(self) -> None:
        """Begins again with one call at a time, for a cold leaf."""
        self.limit.restart()
        self.state.limit = self.limit.value

    def finished(self) -> None:
        """Notes that a call has ended and sends the next ones."""
        self.state.in_flight -= 1
        self.pump()

    def pump(self) -> None:
        """Sends what the limit allows."""
        state = self.state
        while state.queued and state.in_flight < int(self.limit.value):
            item = self._next_item()
            if item is None:
                return
            state.queued -= 1
            item.dropped = True
            if item.deadline <= self._now():
                item.expire()
                continue
            state.in_flight += 1
            item.send()

    def _next_item(self) -> LaneItem | None:
        """Takes the earliest call of the service whose turn it is."""
        for _ in range(len(self._turns)):
            service = self._turns.popleft()
            heap = self._heap_by_service[service]
            while heap and heap[0][2].dropped:
                heapq.heappop(heap)
            if not heap:
                del self._heap_by_service[service]
                continue
            self._turns.append(service)
            return heapq.heappop(heap)[2]
        return None
