"""Notices that the loop stood still, as when the process was frozen."""

from collections.abc import Callable

from trefoilpier import base

_PERIOD_S = 0.1
_STALL_S = 0.25
_FROZEN_S = 1.0


class LoopWatch:
    """Compares the time between two ticks with what was asked for."""

    __slots__ = ("_clock", "_log", "_on_frozen", "_stopped", "_ticked_at")

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        on_frozen: Callable[[], None],
    ) -> None:
        """Prepares the watch.

        Args:
            clock: The clock.
            log: Where events go.
            on_frozen: Called after a stall of a second or more, since what
                this process knows may be old.
        """
        self._clock = clock
        self._log = log
        self._on_frozen = on_frozen
        self._ticked_at = clock.monotonic()
        self._stopped = False

    def start(self) -> None:
        """Begins to tick."""
        self._ticked_at = self._clock.monotonic()
        self._clock.call_later(_PERIOD_S, self._tick)

    def stop(self) -> None:
        """Ends the ticking."""
        self._stopped = True

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._clock.monotonic()
        late = now - self._ticked_at - _PERIOD_S
        self._ticked_at = now
        self._clock.call_later(_PERIOD_S, self._tick)
        if late < _STALL_S:
            return
        self._log.emit(base.Event.LOOP_STALLED, ms=round(late * 1000))
        if late >= _FROZEN_S:
            self._on_frozen()
