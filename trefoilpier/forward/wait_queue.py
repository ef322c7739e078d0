"""Queue of calls that wait for a leaf with free capacity."""

import abc
import heapq
import itertools

from trefoilpier import base

_SMOOTHING = 0.1  # Weight of a new sample; averages about 20 dequeues.
_INITIAL_INTERVAL_S = 0.005  # Used until calls have been dequeued.
# Each priority level moves a call back by this much in the queue. The offset is
# fixed, so low-priority calls are not starved.
_PRIORITY_STEP_S = 0.1


class QueuedCall(abc.ABC):
    """A call that can wait in a queue."""

    __slots__ = ()

    @abc.abstractmethod
    def try_start(self) -> bool:
        """Start the call if a leaf has free capacity.

        Returns:
            False if no leaf has.
        """


class WaitQueue:
    """Queued calls of one service, ordered by objective deadline."""

    __slots__ = (
        "_by_objective",
        "_clock",
        "_dequeue_interval_s",
        "_dispatching",
        "_last_dequeue_at",
        "_queue",
        "_sequence",
        "_sequence_by_call",
    )

    def __init__(self, *, clock: base.Clock, by_objective: bool = True) -> None:
        """Create an empty queue.

        Args:
            clock: Clock of the waits.
            by_objective: Whether calls are ordered by objective deadline;
                otherwise by arrival.
        """
        self._clock = clock
        self._by_objective = by_objective
        self._queue: list[tuple[float, int, QueuedCall]] = []
        self._sequence = itertools.count()
        # The calls that wait; entries of others are left in the heap.
        self._sequence_by_call: dict[QueuedCall, int] = {}
        self._dispatching = False
        self._dequeue_interval_s = _INITIAL_INTERVAL_S
        self._last_dequeue_at = 0.0

    @property
    def count(self) -> int:
        """Number of queued calls."""
        return len(self._sequence_by_call)

    def enqueue(
        self, call: QueuedCall, *, priority: int, objective_deadline: float
    ) -> None:
        """Add a call to the queue.

        Args:
            call: The call.
            priority: Priority of its route; 0 is the most urgent.
            objective_deadline: Monotonic time after which its answer misses
                the route's latency objective.
        """
        if not self.count:
            self._last_dequeue_at = self._clock.monotonic()
        sort_key = (
            objective_deadline + _PRIORITY_STEP_S * priority
            if self._by_objective
            else 0.0
        )
        sequence = next(self._sequence)
        self._sequence_by_call[call] = sequence
        heapq.heappush(self._queue, (sort_key, sequence, call))

    def remove(self, call: QueuedCall) -> None:
        """Note that a call no longer waits; without effect if it did not."""
        self._sequence_by_call.pop(call, None)

    @property
    def expected_wait_s(self) -> float:
        """Expected queue wait in seconds of a call that arrives now.

        The product of the queue length and the average interval between two
        dequeues. The interval grows while no call is dequeued.
        """
        if not self.count:
            return 0.0
        since_s = self._clock.monotonic() - self._last_dequeue_at
        return self.count * max(
            self._dequeue_interval_s, since_s / (self.count + 1)
        )

    def dispatch(self) -> None:
        """Start queued calls while leaves have free capacity."""
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                _, sequence, call = self._queue[0]
                if self._sequence_by_call.get(call) != sequence:
                    heapq.heappop(self._queue)
                    continue
                if not call.try_start():
                    return
                # It may have failed at once and wait again.
                if self._sequence_by_call.get(call) == sequence:
                    self.remove(call)
                self._record_dequeue()
        finally:
            self._dispatching = False

    def _record_dequeue(self) -> None:
        now = self._clock.monotonic()
        interval_s = now - self._last_dequeue_at
        self._last_dequeue_at = now
        self._dequeue_interval_s += _SMOOTHING * (
            interval_s - self._dequeue_interval_s
        )
