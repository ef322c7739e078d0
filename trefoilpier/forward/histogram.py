"""Latency histogram."""

import bisect

# Upper bounds in seconds; users' latency objectives are 0.05 to 0.8 s.
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0)


class LatencyHistogram:
    """Number of latencies in each bucket.

    Attributes:
        counts: Count of each bucket; the last one is above all bounds.
        total_s: Sum of all latencies in seconds.

    >>> histogram = LatencyHistogram()
    >>> histogram.add(0.03)
    >>> histogram.counts[3]
    1
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Count one latency."""
        self.counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds
