"""Decides at the door whether a request can still be answered."""

import datetime

import expression

from trefoilpier import base, board, config

_PRESSURE_PERIOD_S = 0.005
_RETRY_MIN_S = 0.05
_SHARE_FROM = 0.5
_DRAIN_RETRY = datetime.timedelta(milliseconds=50)


class FairShare:
    """Bounds one caller's requests in flight once half the places are taken.

    >>> share = FairShare(places=10)
    >>> share.allows(mine=9, total=4, callers=3)
    True
    >>> share.allows(mine=4, total=6, callers=3)
    False
    """

    __slots__ = ("_places",)

    def __init__(self, *, places: int) -> None:
        self._places = places

    def allows(self, *, mine: int, total: int, callers: int) -> bool:
        """Tells whether a caller may have one more request in flight.

        Args:
            mine: The caller's requests in flight.
            total: All requests in flight.
            callers: Callers with a request in flight, this one included.
        """
        if total >= self._places:
            return False
        if total < _SHARE_FROM * self._places:
            return True
        return mine < max(1, self._places // max(1, callers))


class Admission:
    """Refuses at once what cannot be answered in time."""

    __slots__ = ("_board", "_clock", "_fair", "_pressure_by_group")

    def __init__(
        self, *, blackboard: board.Board, clock: base.Clock, places: int
    ) -> None:
        self._board = blackboard
        self._clock = clock
        self._fair = FairShare(places=places)
        self._pressure_by_group: dict[str, tuple[float, float]] = {}

    def admit(
        self,
        *,
        service: config.Service,
        group: config.ShardGroup,
        policy: config.Policy,
        caller: str,
        remaining: float,
    ) -> expression.Result[None, base.Failure]:
        """Decides on one request.

        Args:
            service: The service that is asked for.
            group: Its shard group.
            policy: Its routing policy.
            caller: Who asks, for fairness.
            remaining: Seconds until the deadline.

        Returns:
            Nothing, or a failure whose ``ran`` is ``no``.
        """
        queries = self._board.queries
        if self._board.drain.refusing:
            return _refuse(
                base.ResultCode.DRAINING, "this VM is leaving", _DRAIN_RETRY
            )
        mine = queries.in_flight_by_caller.get(caller, 0)
        callers = len(queries.in_flight_by_caller) + (0 if mine else 1)
        if not self._fair.allows(
            mine=mine, total=queries.in_flight, callers=callers
        ):
            wait = self.pressure(group)
            return _refuse(
                base.ResultCode.OVERLOADED,
                "too many requests in flight",
                _retry_after(wait),
            )
        wait = self.pressure(group)
        needed = wait + self._typical(group)
        allowed = remaining
        if policy.mode == config.Mode.TAIL:
            allowed = min(remaining, policy.soft_deadline.total_seconds())
        if wait > 0 and needed > allowed:
            return _refuse(
                base.ResultCode.OVERLOADED,
                "the shards' queues are longer than the time left",
                _retry_after(needed - allowed),
            )
        if needed > remaining:
            return _refuse(
                base.ResultCode.DEADLINE_TOO_SHORT,
                "the deadline is shorter than the usual answer time",
                None,
            )
        return expression.Ok(None)

    def pressure(self, group: config.ShardGroup) -> float:
        """Returns the seconds that a new call would wait at worst.

        It is the longest, over the shards, of the shortest wait among the
        shard's leaves, and is computed at most once in 5 ms.
        """
        now = self._clock.monotonic()
        known = self._pressure_by_group.get(group.name)
        if known is not None and now - known[0] < _PRESSURE_PERIOD_S:
            return known[1]
        worst = 0.0
        state_by_id = self._board.leaves.state_by_id
        for leaf_ids in group.leaf_ids_by_shard:
            waits = [
                _leaf_wait(state_by_id[leaf_id])
                for leaf_id in leaf_ids
                if leaf_id in state_by_id
                and state_by_id[leaf_id].phase == board.LeafPhase.UP
            ]
            if waits:
                worst = max(worst, min(waits))
        self._pressure_by_group[group.name] = (now, worst)
        return worst

    def _typical(self, group: config.ShardGroup) -> float:
        """Returns the usual latency of the group's fastest leaves."""
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


def _leaf_wait(state: board.LeafState) -> float:
    """Estimates the seconds until a new call would be sent to a leaf."""
    if not state.queued:
        return 0.0
    return state.queued * state.latency.mean / max(1.0, state.limit)


def _retry_after(wait: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=max(_RETRY_MIN_S, wait))


def _refuse(
    code: base.ResultCode,
    detail: str,
    retry_after: datetime.timedelta | None,
) -> expression.Result[None, base.Failure]:
    return expression.Error(
        base.Failure(code=code, detail=detail, retry_after=retry_after)
    )
