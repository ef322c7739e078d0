"""The limit on one node's concurrent calls to one leaf."""

_DECREASE_FACTOR = 0.7
_DECREASE_INTERVAL_S = 0.05
_LATENCY_TOLERANCE_FACTOR = 2.0


class ConcurrencyLimit:
    """AIMD concurrency limit, capped at this node's share of a leaf's slots.

    A shed call decreases the limit at most once every 50 ms. An answered call
    increases it if the limit was in use and the latency is close to the best
    latency of the leaf.

    Attributes:
        value: The limit; calls are sent while fewer are in flight.

    >>> limit = ConcurrencyLimit(slots=4)
    >>> limit.value
    1.0
    >>> for _ in range(40):
    ...     limit.on_answer(latency=0.01, in_flight=int(limit.value))
    >>> limit.value
    4.0
    >>> limit.on_shed(now=1.0)
    >>> round(limit.value, 1)
    2.8
    """

    __slots__ = ("_best_latency", "_last_decrease_at", "_slots", "value")

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._best_latency = 0.0
        self._last_decrease_at = -1.0
        self.value = 1.0

    def set_slots(self, slots: int) -> None:
        """Set the upper bound."""
        self._slots = slots
        self.value = min(self.value, float(slots))

    def on_answer(self, *, latency: float, in_flight: int) -> None:
        """Update the limit after an answered call.

        Args:
            latency: Seconds from send to answer.
            in_flight: Calls in flight at the answer, including this one.
        """
        if not self._best_latency or latency < self._best_latency:
            self._best_latency = latency
        else:
            # Let the best latency drift up, in case the leaf has become
            # slower for good.
            self._best_latency *= 1.001
        if in_flight + 1 < self.value:
            return
        if latency > _LATENCY_TOLERANCE_FACTOR * self._best_latency:
            return
        self.value = min(float(self._slots), self.value + 1.0 / self.value)

    def on_shed(self, *, now: float) -> None:
        """Decrease the limit after a shed call."""
        if now - self._last_decrease_at < _DECREASE_INTERVAL_S:
            return
        self._last_decrease_at = now
        self.value = max(1.0, self.value * _DECREASE_FACTOR)

    def restart(self) -> None:
        """Reset the limit to one, for a leaf with cold caches."""
        self.value = 1.0
        self._best_latency = 0.0
