"""Calls that wait until a leaf of their service has room."""

import abc
import heapq
import itertools


class Waiter(abc.ABC):
    """A call that waits for room."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def still_waiting(self) -> bool:
        """Whether the call still wants a leaf."""

    @abc.abstractmethod
    def resume(self) -> bool:
        """Tries again; returns False if there is no room."""


class ServiceLane:
    """Waiting calls of one service, the most urgent first.

    Calls of one rank wait in the order of their deadlines.
    """

    __slots__ = ("_order", "_queue", "_resuming", "count")

    def __init__(self) -> None:
        self._queue: list[tuple[int, float, int, Waiter]] = []
        self._order = itertools.count()
        self._resuming = False
        self.count = 0

    def wait(self, waiter: Waiter, *, rank: int, deadline: float) -> None:
        """Queues a call."""
        heapq.heappush(self._queue, (rank, deadline, next(self._order), waiter))
        self.count += 1

    def left(self) -> None:
        """Takes word that a waiting call has ended otherwise."""
        self.count -= 1

    def resume(self) -> None:
        """Resumes calls while there is room."""
        if self._resuming:
            return
        self._resuming = True
        try:
            while self._queue:
                waiter = self._queue[0][3]
                if not waiter.still_waiting:
                    heapq.heappop(self._queue)
                    continue
                if not waiter.resume():
                    return
        finally:
            self._resuming = False
