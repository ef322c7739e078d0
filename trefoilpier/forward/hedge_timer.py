"""One timer for the hedges of all calls of a request."""

from collections.abc import Callable

from trefoilpier import base

# Hedges due this soon are started together. The calls of one request are sent
# within milliseconds, and a timer for each would cost more than it is worth.
_SLACK_S = 0.001


class HedgeTimer:
    """Timer that runs callbacks at their times.

    >>> clock = base.VirtualClock()
    >>> timer = HedgeTimer(clock=clock)
    >>> seen = []
    >>> timer.schedule(0.0205, lambda: seen.append("b"))
    >>> timer.schedule(0.02, lambda: seen.append("a"))
    >>> clock.advance(0.02)
    >>> seen
    ['b', 'a']
    """

    __slots__ = ("_clock", "_pending", "_timer", "_timer_at")

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._pending: list[tuple[float, Callable[[], None]]] = []
        self._timer: base.Timer | None = None
        self._timer_at = 0.0

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in seconds, unless cancelled."""
        due_at = self._clock.monotonic() + delay_s
        self._pending.append((due_at, callback))
        if self._timer is None or due_at < self._timer_at:
            self._start(due_at)

    def cancel(self) -> None:
        """Drop all callbacks."""
        self._pending = []
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self, due_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = self._clock.call_later(
            due_at - self._clock.monotonic(), self._run_due
        )

    def _run_due(self) -> None:
        self._timer = None
        until = self._clock.monotonic() + _SLACK_S
        due = [callback for due_at, callback in self._pending if due_at < until]
        self._pending = [row for row in self._pending if row[0] >= until]
        if self._pending:
            self._start(min(due_at for due_at, _ in self._pending))
        for callback in due:
            callback()
