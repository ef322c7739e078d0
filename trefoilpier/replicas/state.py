"""Statistics of a leaf from its responses."""

from dataclasses import dataclass

from trefoilpier.replicas import observations
from trefoilpier.replicas import policy as policies
from trefoilpier.replicas import slowness as slownesses

_SUCCESS_SMOOTHING = 0.2  # Averages about 10 answers.
# Failures up to this share cost nothing. Without it, a leaf that has rejected
# one request gets none for 12 s, although it is as good as the others.
_USUAL_FAILURE_SHARE = 0.03
_CONSECUTIVE_FAILURES_MAX = 3  # Failures that eject a leaf.
_EJECTION_MIN_S = 0.5  # First ejection; each further one is twice as long.
_EJECTION_MAX_S = 4.0  # Shorter than three missed heartbeats of the platform.
_REPORT_HALF_LIFE_S = 0.15  # Age at which a load report counts half.
# Age of an own answer up to which other VMs' later observations do not count.
_OWN_ANSWER_VALID_S = 0.25
_SHED_PENALTY_S = 0.05  # About the time of one request at a full leaf.


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafLoad:
    """Load that a leaf reports with a response.

    Attributes:
        running: Requests being processed.
        waiting: Requests in the leaf's queue.
        slots: Requests that the leaf can process at a time.
        slowness: Current processing time relative to normal.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class MeasuredSlowness:
    """Slowness of a leaf by this VM's own answers.

    Attributes:
        value: Latency relative to the route's median.
        sampled_at: Monotonic time of the last answer that counted.
    """

    value: float
    sampled_at: float


class LeafStats:
    """Latency relative to the route's median, failures and load of a leaf.

    Attributes:
        slots: Requests that the leaf can process at a time.
        in_flight: Requests of this VM in flight at the leaf.
        warm_up_until: Monotonic time until which the leaf is cold, and slow.
        fleet_observation: Slowness on which other VMs agree; None if there is
            none.
        leaf_id: Id of the leaf in `slow_ids`.
        slow_ids: Set to which the leaf is added when it is slow; None if that
            does not matter.

    >>> stats = LeafStats(slots=2, warm_up_until=0.0)
    >>> stats.record_success(now=1.0, relative_latency=4.0)
    >>> round(stats.slowness(now=1.0), 2)
    1.32
    """

    __slots__ = (
        "_consecutive_failures",
        "_ejected_until",
        "_ejection_s",
        "_failed_to_connect",
        "_load_report",
        "_load_reported_at",
        "_policy",
        "_sampled_at",
        "_shed_until",
        "_slowness",
        "_success_rate",
        "fleet_observation",
        "in_flight",
        "leaf_id",
        "slow_ids",
        "slots",
        "warm_up_until",
    )

    def __init__(
        self,
        *,
        slots: int,
        warm_up_until: float,
        policy: policies.LeafPolicy | None = None,
    ) -> None:
        self._policy = policy or policies.LeafPolicy()
        self.slots = max(1, slots)
        self.in_flight = 0
        self.warm_up_until = warm_up_until
        self._slowness = slownesses.SlownessEstimate(policy=self._policy)
        self._sampled_at = 0.0
        self._success_rate = 1.0
        self._consecutive_failures = 0
        self._ejected_until = 0.0
        self._ejection_s = _EJECTION_MIN_S
        self._failed_to_connect = False
        self._load_report: LeafLoad | None = None
        self._load_reported_at = 0.0
        self._shed_until = 0.0
        self.fleet_observation: observations.Observation | None = None
        self.leaf_id = ""
        self.slow_ids: set[str] | None = None

    def _decayed(self, value: float, now: float) -> float:
        if value == 1.0:
            return 1.0
        age = now - self._sampled_at
        if age <= 0.0:
            return value
        half_life_s = self._policy.slowness_half_life_s
        return 1.0 + (value - 1.0) * 0.5 ** (age / half_life_s)

    def slowness(self, now: float) -> float:
        """Return the recent latency relative to the route's median.

        It is this VM's own estimate, or that of other VMs if they find the
        leaf slower and have asked it later.
        """
        own = self._slowness.value(now)
        observation = self.fleet_observation
        if observation is None:
            return own
        age_s = now - observation.observed_at
        if age_s > observations.LIFETIME_S:
            self.fleet_observation = None
            return own
        # The VM's own recent answers outweigh those of others.
        own_until = self._slowness.sampled_at + _OWN_ANSWER_VALID_S
        if observation.observed_at < own_until:
            return own
        return max(own, observation.slowness)

    def measured_slowness(self, now: float) -> MeasuredSlowness:
        """Return what this VM's own answers show."""
        return MeasuredSlowness(
            value=self._slowness.value(now),
            sampled_at=self._slowness.sampled_at,
        )

    def success_rate(self, now: float) -> float:
        """Return the share of recent requests that succeeded."""
        return max(0.02, self._decayed(self._success_rate, now))

    def record_success(
        self,
        *,
        now: float,
        relative_latency: float,
        sent_at: float | None = None,
    ) -> None:
        """Record a successful response.

        Args:
            now: Monotonic time.
            relative_latency: Latency divided by the route's median.
            sent_at: Monotonic time at which the call was sent, if known.
        """
        success = self._decayed(self._success_rate, now)
        if self._policy.estimate_slowness:
            self._slowness.add(relative_latency, sent_at=sent_at, now=now)
            self._note_if_slow(relative_latency, now)
        self._success_rate = success + _SUCCESS_SMOOTHING * (1.0 - success)
        self._sampled_at = now
        self._consecutive_failures = 0
        self._ejection_s = _EJECTION_MIN_S
        self._ejected_until = 0.0

    def record_cancelled(
        self,
        *,
        now: float,
        relative_latency: float,
        sent_at: float | None = None,
    ) -> None:
        """Record the elapsed time of a cancelled call.

        Args:
            now: Monotonic time.
            relative_latency: Elapsed time divided by the route's median.
            sent_at: Monotonic time at which the call was sent, if known.
        """
        if self._policy.estimate_slowness:
            self._slowness.add_minimum(
                relative_latency, sent_at=sent_at, now=now
            )
            self._note_if_slow(relative_latency, now)

    def _note_if_slow(self, relative_latency: float, now: float) -> None:
        if self.slow_ids is None or relative_latency < observations.SLOW_FACTOR:
            return
        if self._slowness.value(now) > observations.SLOW_FACTOR:
            self.slow_ids.add(self.leaf_id)

    def record_failure(self, now: float) -> None:
        """Record a failure; several consecutive ones eject the leaf."""
        success = self._decayed(self._success_rate, now)
        self._success_rate = success - _SUCCESS_SMOOTHING * success
        self._sampled_at = now
        self._consecutive_failures += 1
        if self._consecutive_failures >= _CONSECUTIVE_FAILURES_MAX:
            self._ejected_until = now + self._ejection_s
            self._ejection_s = min(_EJECTION_MAX_S, 2 * self._ejection_s)

    def record_connect_failure(self, now: float) -> None:
        """Record a failure to connect.

        One failure to connect ejects the leaf at once.
        """
        self._consecutive_failures = max(
            self._consecutive_failures, _CONSECUTIVE_FAILURES_MAX - 1
        )
        self._failed_to_connect = True
        self.record_failure(now)

    def record_connected(self) -> None:
        """Record a connection that was opened.

        It ends an ejection for failures to connect. Other failures may go on.
        """
        if self._failed_to_connect:
            self.end_ejection()

    def end_ejection(self) -> None:
        """End an ejection, whatever caused it."""
        self._failed_to_connect = False
        self._consecutive_failures = 0
        self._ejection_s = _EJECTION_MIN_S
        self._ejected_until = 0.0

    def record_shed(self, now: float) -> None:
        """Record a request that the leaf rejected unprocessed.

        It lowers the success rate like a failure: whether the leaf is full or
        sheds without overload, the next request is better sent elsewhere.
        """
        success = self._decayed(self._success_rate, now)
        self._success_rate = success - _SUCCESS_SMOOTHING * success
        self._sampled_at = now
        self._shed_until = now + _SHED_PENALTY_S

    def record_load(self, load: LeafLoad, now: float) -> None:
        """Record the load that the leaf reported."""
        self._load_report = load
        self._load_reported_at = now
        self.slots = max(1, load.slots)

    def is_ejected(self, now: float) -> bool:
        """Return whether the leaf is ejected at this time."""
        return self._policy.eject_failing and now < self._ejected_until

    def is_cold(self, now: float) -> bool:
        """Return whether the leaf is slow since it has not warmed up."""
        return now < self.warm_up_until

    def load(self, now: float) -> float:
        """Return the estimated requests at the leaf divided by its slots."""
        requests: float = self.in_flight
        report = self._load_report
        if report is not None and self._policy.use_load_reports:
            # The report counts the request that it answered.
            others = report.running + report.waiting - 1
            if others > requests:
                age = max(0.0, now - self._load_reported_at)
                others *= 0.5 ** (age / _REPORT_HALF_LIFE_S)
                requests = max(requests, others)
        return requests / self.slots

    def expected_cost(self, now: float, *, load: float | None = None) -> float:
        """Return the expected latency of a request relative to the median.

        Args:
            now: Monotonic time.
            load: The result of `load`, if the caller has it already.
        """
        if load is None:
            load = self.load(now)
        slowness = self.slowness(now)
        if slowness > observations.SLOW_FACTOR and load < 1.0:
            # Calls that run beside it hardly delay a call that gets a slot at
            # once. Among slow leaves, a smaller load must not outweigh speed.
            load *= load
        cost = slowness * (1.0 + load)
        if self.is_cold(now):
            cost *= self._policy.warm_up_factor
        if now < self._shed_until:
            cost += self._policy.shed_cost
        failure_share = 1.0 - self.success_rate(now)
        excess = max(0.0, failure_share - _USUAL_FAILURE_SHARE)
        return cost + self._policy.failure_cost * excess
