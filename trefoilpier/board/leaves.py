"""State of one leaf as this node observes it."""

import enum

from trefoilpier import config

_INITIAL_LATENCY_S = 0.020
MEAN_HALF_LIFE_S = 20.0
_MEAN_WEIGHT_MIN = 0.1
_QUANTILE = 0.98
_QUANTILE_STEP = 0.1
_LATENCY_MIN_S = 0.0005


class LeafPhase(enum.StrEnum):
    """Availability of a leaf for new calls."""

    UNKNOWN = "unknown"
    UP = "up"
    DOWN = "down"
    DRAINING = "draining"


class LatencyTracker:
    """Running mean and 98th percentile of latency, in constant space.

    The percentile estimate moves up or down by a small factor with each
    sample, and so converges to where 2 % of the samples lie above it.
    ``lower_of_last_two`` rises when a leaf becomes slow, but not with a single
    slow call. All are in seconds.

    >>> tracker = LatencyTracker()
    >>> for _ in range(200):
    ...     tracker.add(0.010)
    >>> round(tracker.mean, 3)
    0.01
    """

    __slots__ = (
        "_last_sample",
        "mean",
        "quantile",
        "lower_of_last_two",
        "samples",
    )

    def __init__(self) -> None:
        self.mean = _INITIAL_LATENCY_S
        self.lower_of_last_two = _INITIAL_LATENCY_S
        self._last_sample = _INITIAL_LATENCY_S
        self.quantile = 2 * _INITIAL_LATENCY_S
        self.samples = 0

    def add_cancelled(self, seconds: float, *, age: float = 0.0) -> None:
        """Add a call that was cancelled after ``seconds``.

        Its latency is only known to be longer than that, so a time below the
        mean says nothing and is ignored.

        Args:
            seconds: Time from the start of the call to its cancellation.
            age: Seconds since the previous sample.
        """
        if seconds > self.mean:
            self.add(seconds, age=age)

    def add(self, seconds: float, *, age: float = 0.0) -> None:
        """Add a latency sample.

        Args:
            seconds: The latency.
            age: Seconds since the previous sample; the weight of the new
                sample grows with it.
        """
        sample = max(seconds, _LATENCY_MIN_S)
        self.samples += 1
        if self.samples == 1:
            self.mean = sample
            self.lower_of_last_two = sample
            self._last_sample = sample
            self.quantile = 2 * sample
            return
        weight = max(_MEAN_WEIGHT_MIN, 1.0 - 0.5 ** (age / MEAN_HALF_LIFE_S))
        self.mean += weight * (sample - self.mean)
        self.lower_of_last_two = min(sample, self._last_sample)
        self._last_sample = sample
        if sample > self.quantile:
            self.quantile *= 1 + _QUANTILE_STEP * _QUANTILE
        else:
            self.quantile *= 1 - _QUANTILE_STEP * (1 - _QUANTILE)


class LeafState:
    """State of one leaf on the blackboard.

    All times are monotonic, in seconds.

    Attributes:
        leaf: Configured address and location.
        group: Shard group that the leaf belongs to.
        phase: Availability for new calls.
        phase_since: Time of the last change of phase.
        versions: Index versions that the leaf reports it can serve.
        epoch: Epoch of the partitioning that the leaf reports.
        shards: Shards that the leaf reports it holds.
        latency: Observed latency of calls.
        last_reply_at: Time of the last reply of any kind.
        sampled_at: Time of the last latency sample.
        reported_load: Load that the leaf last reported, 0 to 1.
        reported_at: Time of that report.
        failures: Failed calls and probes since the last reply.
        in_flight: Number of calls in flight to the leaf.
        queued: Number of calls that wait in this node for the leaf.
        limit: Maximum number of calls in flight from this node.
    """

    __slots__ = (
        "epoch",
        "failures",
        "group",
        "in_flight",
        "last_reply_at",
        "latency",
        "leaf",
        "limit",
        "phase",
        "phase_since",
        "queued",
        "reported_at",
        "reported_load",
        "sampled_at",
        "shards",
        "versions",
    )

    def __init__(
        self, *, leaf: config.Leaf, group: config.ShardGroup, now: float
    ) -> None:
        self.leaf = leaf
        self.group = group
        self.phase = LeafPhase.UNKNOWN
        self.phase_since = now
        self.versions: tuple[int, ...] = ()
        self.epoch = 0
        self.shards: frozenset[int] = frozenset()
        self.latency = LatencyTracker()
        self.last_reply_at = 0.0
        self.sampled_at = 0.0
        self.reported_load = 0.0
        self.reported_at = 0.0
        self.failures = 0
        self.in_flight = 0
        self.queued = 0
        self.limit = 1.0
