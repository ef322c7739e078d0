"""The usual latency of a route's leaf calls."""

_STEP = 0.04  # Relative step: settles within some fifty samples.
# A second send is worth it for the slowest calls. With those that meet a
# pause they stay within the platform's 20 % of extra sends.
_HEDGE_QUANTILE = 0.92
_HEDGE_FACTOR_MAX = 2.2  # Above it, a second send comes too late to help.
_HEDGE_EXTRA_S = 0.002  # Timers fire late.
_FIRST_SHARE = 1 / 6  # Of the objective, until there are samples.
_LEAST_S = 0.001  # Below the cost of a call.


class UsualLatency:
    """A running median, and the delay after which a second send is worth it.

    >>> usual = UsualLatency(objective_s=0.12)
    >>> round(usual.median_s, 3)
    0.02
    >>> for _ in range(200):
    ...     usual.add(0.01)
    >>> 0.009 < usual.median_s < 0.011
    True
    """

    __slots__ = ("_slow_s", "median_s")

    def __init__(self, *, objective_s: float) -> None:
        self.median_s = max(_LEAST_S, objective_s * _FIRST_SHARE)
        self._slow_s = _HEDGE_FACTOR_MAX * self.median_s

    def add(self, seconds: float) -> None:
        """Takes the latency of a call."""
        step = _STEP if seconds > self.median_s else -_STEP
        self.median_s = max(_LEAST_S, self.median_s * (1.0 + step))
        rise = _HEDGE_QUANTILE if seconds > self._slow_s else 0.0
        fall = 1.0 - _HEDGE_QUANTILE if seconds <= self._slow_s else 0.0
        self._slow_s *= 1.0 + _STEP * (rise - fall)
        # The two estimates settle at different speeds.
        self._slow_s = max(self._slow_s, self.median_s)

    @property
    def hedge_after_s(self) -> float:
        """Delay after which another leaf is asked as well."""
        latest_s = _HEDGE_FACTOR_MAX * self.median_s
        return min(self._slow_s, latest_s) + _HEDGE_EXTRA_S
