"""Choice of the shards that a gathered request is sent to under overload.

The function is pure: it decides from the state that is passed in.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from trefoilpier.forward import admission


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardSelection:
    """Shards of one request, as indices.

    Attributes:
        asked: Shards that the request is sent to at once.
        reserve: Shards that it is sent to only if the others cannot reach the
            minimum coverage, the most promising first.
    """

    asked: tuple[int, ...]
    reserve: tuple[int, ...] = ()


def select_shards(
    states: Sequence[admission.ServiceState],
    *,
    min_coverage: float,
    time_to_objective_s: float,
) -> ShardSelection:
    """Return which shards a request is sent to.

    When all leaves of a few shards are slow and full, each request that asks
    them adds load where it is least bearable, and the wait there grows until no
    request is answered in time. A request whose answer reaches the minimum
    coverage without these shards leaves them out: their parts would come after
    the latency objective, at which it is answered. One that needs some of them
    asks the fastest. None is asked to spare: one more of three slow shards
    doubles the load on them.

    >>> fast = admission.ServiceState(usable=True, expected_s=0.05)
    >>> slow = admission.ServiceState(
    ...     usable=True, expected_s=0.4, has_free_slot=False
    ... )
    >>> select_shards(
    ...     [fast, slow, fast, slow, slow],
    ...     min_coverage=0.6,
    ...     time_to_objective_s=0.2,
    ... )
    ShardSelection(asked=(0, 1, 2), reserve=(3, 4))
    >>> select_shards(
    ...     [fast, slow, fast, slow, slow],
    ...     min_coverage=0.4,
    ...     time_to_objective_s=0.2,
    ... ).asked
    (0, 2)

    Args:
        states: State of each shard's service.
        min_coverage: Minimum share of the shards for an answer.
        time_to_objective_s: Seconds until the latency objective.
    """
    everything = tuple(range(len(states)))
    late = [
        index
        for index in everything
        if states[index].usable
        and not states[index].has_free_slot
        and states[index].expected_s > time_to_objective_s
    ]
    # Past its objective, a request takes what it can get, as before.
    if not late or time_to_objective_s <= 0.0:
        return ShardSelection(asked=everything)
    late.sort(key=lambda index: states[index].expected_s)
    needed = math.ceil(min_coverage * len(states) - 1e-9)
    in_time = sum(state.usable for state in states) - len(late)
    reserve = tuple(late[max(0, needed - in_time) :])
    left_out = set(reserve)
    return ShardSelection(
        asked=tuple(each for each in everything if each not in left_out),
        reserve=reserve,
    )
