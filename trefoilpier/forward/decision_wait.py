"""Repeats of a gathered request that wait until its first run is decided on."""

from collections.abc import Callable

from trefoilpier import base, http1, quarantine

# Longer than a decision takes; then the request is judged again.
_WAIT_MAX_S = 0.25


class DecisionWait:
    """A repeat that is handled again once the decision is known.

    Callers repeat a request that has crashed leaves within some ten
    milliseconds, and the repeat would crash the next ones.
    """

    __slots__ = (
        "_clock",
        "_early",
        "_exchange",
        "_fingerprint",
        "_handle_again",
        "_on_end",
        "_timer",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        early: quarantine.EarlySuspicions,
        exchange: http1.Exchange,
        fingerprint: str,
        on_end: Callable[[], None],
        handle_again: Callable[[http1.Exchange], None],
    ) -> None:
        """Create it; `start` begins the wait.

        Args:
            clock: Source of time and timers.
            early: Suspicions of requests, which tell of the decision.
            exchange: The request.
            fingerprint: Its fingerprint.
            on_end: Called once when the wait ends, for whatever reason.
            handle_again: Called with the request once the wait is over, unless
                the caller has left.
        """
        self._clock = clock
        self._early = early
        self._on_end = on_end
        self._handle_again = handle_again
        self._exchange = exchange
        self._fingerprint = fingerprint
        self._timer: base.Timer | None = None

    def start(self) -> None:
        """Begin to wait."""
        self._exchange.on_disconnect = self._stop
        self._exchange.on_expire = self._end
        self._timer = self._clock.call_later(_WAIT_MAX_S, self._end)
        self._early.wait(self._fingerprint, self._end)

    def _stop(self) -> bool:
        """End the wait; return whether it went on until now."""
        if self._timer is None:
            return False
        self._timer.cancel()
        self._timer = None
        self._early.stop_waiting(self._fingerprint, self._end)
        self._exchange.on_disconnect = self._exchange.on_expire = None
        self._on_end()
        return True

    def _end(self) -> None:
        if self._stop():
            self._handle_again(self._exchange)
