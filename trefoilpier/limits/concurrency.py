"""How many calls one node sends to one leaf at a time."""

_DECREASE = 0.7
_SHED_HOLD_S = 0.05
_LATENCY_TOLERANCE = 2.0


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, within a share of slots.

    A shed lowers the limit at most once in 50 ms. An answered call raises it
    if the limit was in use and the latency is near the leaf's best.

    Attributes:
        value: The limit; calls are sent while fewer are in flight.

    >>> limit = ConcurrencyLimit(slots=4)
    >>> limit.value
    1.0
    >>> for _ in range(40):
    ...     limit.answered(latency=0.01, in_flight=int(limit.value))
    >>> limit.value
    4.0
    >>> limit.shed(now=1.0)
    >>> round(limit.value, 1)
    2.8
    """

    __slots__ = ("_best", "_last_shed_at", "_slots", "value")

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._best = 0.0
        self._last_shed_at = -1.0
        self.value = 1.0

    def set_slots(self, slots: int) -> None:
        """Changes the upper bound."""
        self._slots = slots
        self.value = min(self.value, float(slots))

    def answered(self, *, latency: float, in_flight: int) -> None:
        """Takes in an answered call.

        Args:
            latency: Seconds from send to answer.
            in_flight: Calls in flight when it was answered, it included.
        """
        if not self._best or latency < self._best:
            self._best = latency
        else:
            # Lets the best value rise again when the leaf has become slower.
            self._best *= 1.001
        if in_flight + 1 < self.value:
            return
        if latency > _LATENCY_TOLERANCE * self._best:
            return
        self.value = min(float(self._slots), self.value + 1.0 / self.value)

    def shed(self, *, now: float) -> None:
        """Takes in a shed call."""
        if now - self._last_shed_at < _SHED_HOLD_S:
            return
        self._last_shed_at = now
        self.value = max(1.0, self.value * _DECREASE)

    def restart(self) -> None:
        """Begins again at one, for a leaf that has come back cold."""
        self.value = 1.0
        self._best = 0.0
