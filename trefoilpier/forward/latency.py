"""The usual latency of a route's leaf calls."""

_STEP = 0.04  # Relative step: settles within some fifty samples.
_HEDGE_FACTOR = 2.2  # About 1 call in 80 takes longer when none is paused.
_HEDGE_EXTRA_S = 0.003  # One network round trip between zones.
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

    __slots__ = ("median_s",)

    def __init__(self, *, objective_s: float) -> None:
        self.median_s = max(_LEAST_S, objective_s * _FIRST_SHARE)

    def add(self, seconds: float) -> None:
        """Takes the latency of a call."""
        step = _STEP if seconds > self.median_s else -_STEP
        self.median_s = max(_LEAST_S, self.median_s * (1.0 + step))

    @property
    def hedge_after_s(self) -> float:
        """Delay after which another leaf is asked as well."""
        return _HEDGE_FACTOR * self.median_s + _HEDGE_EXTRA_S
