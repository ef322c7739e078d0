"""Detection of event loop stalls, such as those of a frozen process."""

from collections.abc import Callable

from trefoilpier import base

_TICK_PERIOD_S = 0.1
_STALL_THRESHOLD_S = 0.25
_FREEZE_THRESHOLD_S = 1.0


class LoopMonitor:
    """Monitor that compares the time between two ticks with the period."""

    __slots__ = ("_clock", "_log", "_on_frozen", "_stopped", "_last_tick_at")

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        on_frozen: Callable[[], None],
    ) -> None:
        """Create a monitor; it does not tick before `start`.

        Args:
            clock: The clock.
            log: Log of stalls.
            on_frozen: Called after a stall of a second or more, since the
                state of this process may be outdated.
        """
        self._clock = clock
        self._log = log
        self._on_frozen = on_frozen
        self._last_tick_at = clock.monotonic()
        self._stopped = False

    def start(self) -> None:
        """Start to tick."""
        self._last_tick_at = self._clock.monotonic()
        self._clock.call_later(_TICK_PERIOD_S, self._tick)

    def stop(self) -> None:
        """Stop ticking."""
        self._stopped = True

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._clock.monotonic()
        delay_s = now - self._last_tick_at - _TICK_PERIOD_S
        self._last_tick_at = now
        self._clock.call_later(_TICK_PERIOD_S, self._tick)
        if delay_s < _STALL_THRESHOLD_S:
            return
        self._log.emit(base.Event.LOOP_STALLED, ms=round(delay_s * 1000))
        if delay_s >= _FREEZE_THRESHOLD_S:
            self._on_frozen()
