"""Latency estimates of a route's calls to leaves."""

from collections import deque

_STEP = 0.04  # Relative step; converges within about 50 samples.
# Only the slowest calls are hedged. Together with the calls to paused leaves
# they stay within the platform's limit of 20 % extra requests.
_HEDGE_QUANTILE = 0.92
_HEDGE_FACTOR_MAX = 2.2  # Above it, a hedge comes too late to help.
_TIMER_MARGIN_S = 0.002  # Timers fire late.
_INITIAL_SHARE = 1 / 6  # Initial median as a share of the objective.
_MEDIAN_MIN_S = 0.001  # Below the overhead of a call.
_RECENT_COUNT = 64  # Calls among which the slowest is sought.


class LatencyEstimator:
    """Running median, hedging delay and slowest recent latency.

    Attributes:
        median_s: Median latency in seconds.

    >>> estimator = LatencyEstimator(objective_s=0.12)
    >>> round(estimator.median_s, 3)
    0.02
    >>> for _ in range(200):
    ...     estimator.add(0.01)
    >>> 0.009 < estimator.median_s < 0.011
    True
    """

    __slots__ = ("_hedge_quantile_s", "_recent_s", "median_s")

    def __init__(self, *, objective_s: float) -> None:
        self.median_s = max(_MEDIAN_MIN_S, objective_s * _INITIAL_SHARE)
        self._hedge_quantile_s = _HEDGE_FACTOR_MAX * self.median_s
        # Before the first call, the objective says what operators expect.
        self._recent_s = deque((objective_s,), maxlen=_RECENT_COUNT)

    def add(self, seconds: float) -> None:
        """Update the estimates with the latency of a call in seconds."""
        self._recent_s.append(seconds)
        step = _STEP if seconds > self.median_s else -_STEP
        self.median_s = max(_MEDIAN_MIN_S, self.median_s * (1.0 + step))
        rise = _HEDGE_QUANTILE if seconds > self._hedge_quantile_s else 0.0
        fall = (
            1.0 - _HEDGE_QUANTILE if seconds <= self._hedge_quantile_s else 0.0
        )
        self._hedge_quantile_s *= 1.0 + _STEP * (rise - fall)
        # The two estimates converge at different speeds.
        self._hedge_quantile_s = max(self._hedge_quantile_s, self.median_s)

    @property
    def slow_s(self) -> float:
        """Latency in seconds of the slowest recent call."""
        return max(self._recent_s)

    @property
    def hedge_after_s(self) -> float:
        """Delay in seconds after which a call is hedged."""
        max_delay_s = _HEDGE_FACTOR_MAX * self.median_s
        return min(self._hedge_quantile_s, max_delay_s) + _TIMER_MARGIN_S
