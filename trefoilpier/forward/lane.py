"""Calls that wait until a leaf of their service has room."""

import abc
import heapq
import itertools

from trefoilpier import base

_GAIN = 0.1  # Weight of a new sample: about the last twenty starts count.
_FIRST_INTERVAL_S = 0.005  # Until calls have left the queue.
# A less urgent call waits behind one that came so much later; it is not
# starved, since the difference is fixed.
_RANK_S = 0.1


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
    """Waiting calls of one service, by the time at which they are due.

    Attributes:
        count: Calls that wait.
    """

    __slots__ = (
        "_clock",
        "_interval_s",
        "_left_at",
        "_order",
        "_queue",
        "_resuming",
        "count",
    )

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._queue: list[tuple[float, int, Waiter]] = []
        self._order = itertools.count()
        self._resuming = False
        self._interval_s = _FIRST_INTERVAL_S
        self._left_at = 0.0
        self.count = 0

    def wait(self, waiter: Waiter, *, rank: int, due: float) -> None:
        """Queues a call.

        Args:
            waiter: The call.
            rank: Its route's urgency; 0 is the most urgent.
            due: Monotonic instant at which its answer loses its full value.
        """
        if not self.count:
            self._left_at = self._clock.monotonic()
        key = due + _RANK_S * rank
        heapq.heappush(self._queue, (key, next(self._order), waiter))
        self.count += 1

    def left(self) -> None:
        """Takes word that a call waits no longer."""
        self.count -= 1

    @property
    def expected_wait_s(self) -> float:
        """How long a call that comes now would wait.

        Calls that wait times the usual time between two that leave. A queue
        from which nothing leaves counts as slower the longer that lasts.
        """
        if not self.count:
            return 0.0
        since_s = self._clock.monotonic() - self._left_at
        return self.count * max(self._interval_s, since_s / (self.count + 1))

    def resume(self) -> None:
        """Resumes calls while there is room."""
        if self._resuming:
            return
        self._resuming = True
        try:
            while self._queue:
                waiter = self._queue[0][2]
                if not waiter.still_waiting:
                    heapq.heappop(self._queue)
                    continue
                if not waiter.resume():
                    return
                self._note_start()
        finally:
            self._resuming = False

    def _note_start(self) -> None:
        now = self._clock.monotonic()
        interval_s = now - self._left_at
        self._left_at = now
        self._interval_s += _GAIN * (interval_s - self._interval_s)
