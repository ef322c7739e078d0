"""Demand for a limit, and its division when tokens are short."""

import math
from collections.abc import Iterable

_MEMORY_S = 1.0  # Demand of about the last second counts.


class DemandMeter:
    """Requests a second, weighted toward the last second.

    >>> meter = DemandMeter()
    >>> meter.add(10.0)
    >>> meter.add(10.0)
    >>> meter.rate(10.0), round(meter.rate(11.0), 2)
    (2.0, 0.74)
    """

    __slots__ = ("_count", "_updated_at")

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one request."""
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the requests a second."""
        return self._decayed(now) / _MEMORY_S

    def _decayed(self, now: float) -> float:
        elapsed_s = now - self._updated_at
        return self._count * math.exp(-elapsed_s / _MEMORY_S)


def fair_level(demands: Iterable[float], total: float) -> float:
    """Return the share above which no VM gets more by max-min fairness.

    Each VM gets the smaller one of its demand and this level. It is infinite if
    all demands can be met.

    >>> fair_level([10.0, 1.0, 4.0], 9.0)
    4.0
    >>> fair_level([1.0, 2.0], 9.0)
    inf
    """
    ascending = sorted(demands)
    left = total
    for index, demand in enumerate(ascending):
        share = left / (len(ascending) - index)
        if demand > share:
            return share
        left -= demand
    return math.inf
