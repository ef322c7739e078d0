"""Estimate of how much slower than usual a leaf answers."""

import math

from trefoilpier.replicas import observations
from trefoilpier.replicas import policy as policies

# Latency in medians above which an answer is late. Few answers of a leaf at
# its usual speed take longer.
_LATE_FACTOR = 3.0
# Relative latency below which an answer counts as this fast: one trivial
# request must not outweigh several usual ones.
_SAMPLE_MIN = 0.3
# A late answer that is older than this many half-lives confirms nothing.
_CONFIRMATION_HALF_LIVES = 2.0
# The larger step applies until the estimate is within this factor of the
# sample. Closer to it, averaging tells leaves of similar speeds apart.
_CONVERGED_FACTOR = 2.0
# With a power of 2, leaves 8 and 13 times slower got 0.53 and 0.20 of the calls
# at 13 searches a second, with 4 they get 0.62 and 0.13.
_SLOW_DECAY_POWER = 4
# Small differences between leaves are mostly noise and are forgotten sooner.
# Kept as long, they left a leaf among 30 VMs with less than half of the
# requests that it tolerates.
_USUAL_DECAY_POWER = 2
_SLOW_LOG = math.log(observations.SLOW_FACTOR)


class SlownessEstimate:
    """Geometric mean of a leaf's recent latencies relative to the median.

    A geometric mean is used since latencies vary by factors: it tells leaves
    that are 8 and 13 times slower apart, and a pause of 250 ms raises it less
    than an arithmetic mean.

    A pause delays all calls that are in flight, and is over when the next call
    is sent. Therefore the late calls of one pause count once. Only a late call
    that was sent after a late answer came back shows that the leaf is slow; it
    moves the estimate by a larger step, as does the first answer in time after
    late ones.

    >>> estimate = SlownessEstimate(policy=policies.LeafPolicy())
    >>> estimate.add(10.0, sent_at=0.9, now=1.2)
    >>> estimate.add(10.0, sent_at=1.0, now=1.2)
    >>> round(estimate.value(1.2), 1)
    1.6
    >>> estimate.add(10.0, sent_at=1.3, now=1.6)
    >>> round(estimate.value(1.6), 1)
    4.8
    """

    __slots__ = ("_late_at", "_log", "_policy", "sampled_at")

    def __init__(self, *, policy: policies.LeafPolicy) -> None:
        """Create the estimate of a leaf at its usual speed.

        Args:
            policy: Settings of the smoothing.
        """
        self._policy = policy
        self._log = 0.0
        # Time of the last late answer that was independent of earlier ones,
        # unless an answer in time has followed.
        self._late_at: float | None = None
        self.sampled_at = 0.0

    def value(self, now: float) -> float:
        """Return the recent latency relative to the route's median."""
        if not self._log:
            return 1.0
        return math.exp(self._decayed_log(now))

    def _decayed_log(self, now: float) -> float:
        """Return the logarithm of the estimate, adapted to its age.

        The estimate is kept at first and then forgotten quickly. With an
        exponential decay, the slower of several slow leaves were tried again
        several times a second, and a leaf that had recovered was used late.
        """
        age_s = now - self.sampled_at
        if not self._log or age_s <= 0.0:
            return self._log
        half_lives = age_s / self._policy.slowness_half_life_s
        power = (
            _SLOW_DECAY_POWER if self._log > _SLOW_LOG else _USUAL_DECAY_POWER
        )
        return self._log * 0.5 ** (half_lives**power)

    def add(
        self, relative_latency: float, *, sent_at: float | None, now: float
    ) -> None:
        """Add the latency of an answer.

        Args:
            relative_latency: Latency divided by the route's median.
            sent_at: Monotonic time at which the call was sent; None if it is
                unknown, and the answer has the usual weight.
            now: Monotonic time.
        """
        sample = min(
            max(relative_latency, _SAMPLE_MIN), self._policy.slowness_max
        )
        step = self._step(sample, sent_at, now)
        if not step:
            return
        before = self._decayed_log(now)
        self._log = before + step * (math.log(sample) - before)
        self.sampled_at = now

    def add_minimum(
        self, relative_latency: float, *, sent_at: float | None, now: float
    ) -> None:
        """Add the elapsed time of a call that ended without an answer.

        The answer would have taken longer, so that the time cannot show that
        the leaf is faster than estimated.
        """
        if relative_latency > self.value(now):
            self.add(relative_latency, sent_at=sent_at, now=now)

    def _step(self, sample: float, sent_at: float | None, now: float) -> float:
        """Return the weight of a sample, and note whether it is late."""
        usual = self._policy.slowness_smoothing
        if sent_at is None:
            return usual
        larger = max(usual, self._policy.slowness_confirmed_smoothing)
        late_at = self._late_at
        if sample < _LATE_FACTOR:
            self._late_at = None
            return usual if late_at is None else larger
        if late_at is not None and sent_at < late_at:
            return 0.0
        self._late_at = now
        valid_s = _CONFIRMATION_HALF_LIVES * self._policy.slowness_half_life_s
        if late_at is None or now - late_at > valid_s:
            return usual
        converged = self.value(now) * _CONVERGED_FACTOR >= sample
        return usual if converged else larger
