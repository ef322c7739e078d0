"""Admission control: immediate refusal of requests that would be too late."""

import datetime
import random
from collections.abc import Iterable

import expression

from trefoilpier import base, board, config

# A computed queue wait is cached for this long. Callers don't notice 5 ms:
# the usual deadline is 320 ms or more.
_QUEUE_WAIT_MAX_AGE_S = 0.005
# Lower bound of Retry-After: the leaf queues need this long to drain a short
# backlog.
_RETRY_AFTER_MIN_S = 0.05
# Fraction of the in-flight limit below which fair sharing doesn't apply, so
# that one caller may use all of it.
_FAIR_SHARE_THRESHOLD = 0.5
# Half the window over which the minimum queue wait is taken. At half load,
# bursts in a leaf's queue are shorter than this (bin/bench decisions).
_HALF_WINDOW_S = 0.03
# Ratios of sustained queue wait to the time allowed: below the first, no
# request is refused; above the second, every request is.
_SUSTAINED_WAIT_BOUNDS = (0.06, 0.25)
# The same for the current queue wait. Queues below the first ratio are
# answered in time.
_CURRENT_WAIT_BOUNDS = (0.47, 0.65)
_DRAIN_RETRY_AFTER = datetime.timedelta(milliseconds=50)


class FairShare:
    """Per-caller bound that applies once half the in-flight limit is in use.

    >>> share = FairShare(max_in_flight=10)
    >>> share.allows(caller_in_flight=9, total_in_flight=4, active_callers=3)
    True
    >>> share.allows(caller_in_flight=4, total_in_flight=6, active_callers=3)
    False
    """

    __slots__ = ("_max_in_flight",)

    def __init__(self, *, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight

    def allows(
        self,
        *,
        caller_in_flight: int,
        total_in_flight: int,
        active_callers: int,
    ) -> bool:
        """Return whether a caller may have one more request in flight.

        Args:
            caller_in_flight: The caller's requests in flight.
            total_in_flight: All requests in flight.
            active_callers: Callers with a request in flight, this one included.
        """
        if total_in_flight >= self._max_in_flight:
            return False
        if total_in_flight < _FAIR_SHARE_THRESHOLD * self._max_in_flight:
            return True
        return caller_in_flight < max(
            1, self._max_in_flight // max(1, active_callers)
        )


class WindowedMinimumWait:
    """Minimum queue wait over the current and the previous half window.

    >>> window = WindowedMinimumWait()
    >>> [window.add(now=now, wait=0.1) for now in (1.0, 1.02, 1.04, 1.08)]
    [0.0, 0.0, 0.1, 0.1]
    """

    __slots__ = ("_half_started_at", "_previous_minimum", "_current_minimum")

    def __init__(self) -> None:
        self._half_started_at = 0.0
        self._previous_minimum = 0.0
        self._current_minimum = 0.0

    def add(self, *, now: float, wait: float) -> float:
        """Add a wait in seconds and return the minimum of the window."""
        age = now - self._half_started_at
        if age >= _HALF_WINDOW_S:
            # The previous half is stale if no request arrived for a while.
            self._previous_minimum = (
                self._current_minimum if age < 2 * _HALF_WINDOW_S else 0.0
            )
            self._current_minimum = wait
            self._half_started_at = now
        self._current_minimum = min(self._current_minimum, wait)
        return min(self._current_minimum, self._previous_minimum)


class Admission:
    """Admission control that refuses requests it can't answer in time."""

    __slots__ = (
        "_board",
        "_clock",
        "_fair_share",
        "_queue_wait_by_group",
        "_random",
        "_wait_window_by_group",
    )

    def __init__(
        self,
        *,
        blackboard: board.Board,
        clock: base.Clock,
        rng: random.Random,
        max_in_flight: int,
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._random = rng
        self._fair_share = FairShare(max_in_flight=max_in_flight)
        self._queue_wait_by_group: dict[str, tuple[float, float]] = {}
        self._wait_window_by_group: dict[str, WindowedMinimumWait] = {}

    def admit(
        self,
        *,
        service: config.Service,
        group: config.ShardGroup,
        policy: config.Policy,
        caller: str,
        remaining: float,
    ) -> expression.Result[None, base.Failure]:
        """Admit or refuse one request.

        Args:
            service: The requested service.
            group: The service's shard group.
            policy: The service's routing policy.
            caller: The caller's identity, for fair sharing.
            remaining: Seconds until the deadline.

        Returns:
            Nothing if admitted, otherwise a failure whose ``ran`` is ``no``.
        """
        queries = self._board.queries
        if self._board.drain.refusing:
            return _refuse(
                base.ResultCode.DRAINING,
                "this VM is draining",
                _DRAIN_RETRY_AFTER,
            )
        caller_in_flight = queries.in_flight_by_caller.get(caller, 0)
        active_callers = len(queries.in_flight_by_caller) + (
            0 if caller_in_flight else 1
        )
        if not self._fair_share.allows(
            caller_in_flight=caller_in_flight,
            total_in_flight=queries.in_flight,
            active_callers=active_callers,
        ):
            wait = self.queue_wait(group)
            return _refuse(
                base.ResultCode.OVERLOADED,
                "too many requests in flight",
                _retry_after(wait),
            )
        wait = self.queue_wait(group)
        time_allowed = remaining
        if policy.mode == config.Mode.TAIL:
            time_allowed = min(remaining, policy.soft_deadline.total_seconds())
        probability = refusal_probability(
            sustained_ratio=self._sustained_wait(group.name, wait)
            / time_allowed,
            current_ratio=wait / time_allowed,
        )
        if self._random.random() < probability:
            return _refuse(
                base.ResultCode.OVERLOADED,
                "the shard queues are too long for the remaining time",
                _retry_after(wait),
            )
        needed = wait + self._typical_latency(group)
        if needed > remaining:
            return _refuse(
                base.ResultCode.DEADLINE_TOO_SHORT,
                "the deadline is shorter than the typical response time",
                _retry_after(needed),
            )
        return expression.Ok(None)

    def queue_wait(self, group: config.ShardGroup) -> float:
        """Return the worst-case queue wait of a new call, in seconds.

        This is the longest wait over the group's blocks. It is recomputed at
        most once every 5 ms.
        """
        now = self._clock.monotonic()
        cached = self._queue_wait_by_group.get(group.name)
        if cached is not None and now - cached[0] < _QUEUE_WAIT_MAX_AGE_S:
            return cached[1]
        leaves = self._board.leaves
        worst = 0.0
        for block in group.blocks:
            if block.leaf_ids[0] in leaves.state_by_id:
                wait = longest_queue_wait(leaves, group, block.shards)
            else:
                wait = self._reported_wait(block.id, now)
            worst = max(worst, wait)
        self._queue_wait_by_group[group.name] = (now, worst)
        return worst

    def _sustained_wait(self, group_name: str, wait: float) -> float:
        """Return the shortest queue wait of the last 30 to 60 ms.

        The minimum is used because a single queue that drains again is not a
        sign of overload.
        """
        window = self._wait_window_by_group.get(group_name)
        if window is None:
            window = self._wait_window_by_group[group_name] = (
                WindowedMinimumWait()
            )
        return window.add(now=self._clock.monotonic(), wait=wait)

    def _reported_wait(self, block_id: str, now: float) -> float:
        """Return the wait last reported by a block's gatherer, less its age."""
        wait, reported_at = self._board.queries.queue_wait_by_block.get(
            block_id, (0.0, 0.0)
        )
        return max(0.0, wait - (now - reported_at))

    def _typical_latency(self, group: config.ShardGroup) -> float:
        """Return the lowest mean latency among the first shard's replicas."""
        state_by_id = self._board.leaves.state_by_id
        best = 0.0
        for leaf_ids in group.leaf_ids_by_shard[:1]:
            means = [
                state_by_id[leaf_id].latency.mean
                for leaf_id in leaf_ids
                if leaf_id in state_by_id
                and state_by_id[leaf_id].latency.samples
            ]
            if means:
                best = min(means)
        return best


def refusal_probability(
    *, sustained_ratio: float, current_ratio: float
) -> float:
    """Return the probability with which to refuse a request.

    A linear ramp instead of a single threshold keeps queue lengths stable,
    because nodes learn of each other's queues with a delay.

    Args:
        sustained_ratio: Minimum queue wait of the window, divided by the time
            allowed.
        current_ratio: Current queue wait, divided by the time allowed.

    >>> refusal_probability(sustained_ratio=0.05, current_ratio=0.3)
    0.0
    >>> round(refusal_probability(sustained_ratio=0.155, current_ratio=0.3), 2)
    0.5
    >>> refusal_probability(sustained_ratio=0.0, current_ratio=0.7)
    1.0
    """
    return max(
        _ramp(sustained_ratio, _SUSTAINED_WAIT_BOUNDS),
        _ramp(current_ratio, _CURRENT_WAIT_BOUNDS),
    )


def _ramp(wait_ratio: float, bounds: tuple[float, float]) -> float:
    """Return the position of a ratio between two bounds, clamped to 0..1."""
    lower, upper = bounds
    return min(1.0, max(0.0, (wait_ratio - lower) / (upper - lower)))


def longest_queue_wait(
    leaves: board.LeafSection,
    group: config.ShardGroup,
    shards: Iterable[int],
) -> float:
    """Return the longest queue wait over held shards, in seconds.

    For each shard, the replica with the shortest wait counts.
    """
    worst = 0.0
    for shard in shards:
        waits = [
            _leaf_queue_wait(leaves.state_by_id[leaf_id])
            for leaf_id in group.leaf_ids_by_shard[shard]
            if leaf_id in leaves.state_by_id
            and leaves.state_by_id[leaf_id].phase == board.LeafPhase.UP
        ]
        if waits:
            worst = max(worst, min(waits))
    return worst


def _leaf_queue_wait(leaf_state: board.LeafState) -> float:
    """Estimate the seconds until a new call could be sent to a leaf."""
    if not leaf_state.queued:
        return 0.0
    latency_s = max(
        leaf_state.latency.mean, leaf_state.latency.lower_of_last_two
    )
    return leaf_state.queued * latency_s / max(1.0, leaf_state.limit)


def _retry_after(wait: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=max(_RETRY_AFTER_MIN_S, wait))


def _refuse(
    code: base.ResultCode,
    detail: str,
    retry_after: datetime.timedelta,
) -> expression.Result[None, base.Failure]:
    return expression.Error(
        base.Failure(code=code, detail=detail, retry_after=retry_after)
    )
