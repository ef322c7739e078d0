"""Decision when to answer a scatter-gather request."""

import enum
from dataclasses import dataclass

# Time for late timers and for merging and writing the response.
RESPONSE_MARGIN_S = 0.004


class GatherStep(enum.Enum):
    """Next action of a scatter-gather request."""

    WAIT = enum.auto()
    ANSWER = enum.auto()
    FAIL = enum.auto()


@dataclass(slots=True, kw_only=True, frozen=True)
class GatherState:
    """State of a scatter-gather request.

    Attributes:
        shard_count: Shards of the route when the request was received.
        present_count: Parts received.
        pending_count: Shards that may still send a part.
        min_coverage: Minimum share of the shards for an answer.
        past_objective: Whether waiting longer would miss the latency objective.
        past_deadline: Whether the caller's deadline has passed.
    """

    shard_count: int
    present_count: int
    pending_count: int
    min_coverage: float
    past_objective: bool
    past_deadline: bool = False


def compute_objective_deadline(
    *,
    received_at: float,
    waited_s: float,
    network_s: float,
    objective_s: float,
) -> float:
    """Return the latest time at which an answer meets the objective.

    Args:
        received_at: Monotonic time at which the request was received.
        waited_s: Seconds that the caller spent on earlier attempts.
        network_s: Network round-trip time in seconds.
        objective_s: Latency objective of the route in seconds.

    >>> round(compute_objective_deadline(received_at=5.0, waited_s=0.0,
    ...                          network_s=0.004, objective_s=0.118), 3)
    5.11
    """
    spent_s = waited_s + network_s + RESPONSE_MARGIN_S
    return received_at + objective_s - spent_s


def is_late(*, now: float, objective_deadline: float) -> bool:
    """Return whether an answer sent now misses the objective.

    >>> is_late(now=5.112, objective_deadline=5.11)
    False
    """
    return now > objective_deadline + RESPONSE_MARGIN_S


def meets_coverage(state: GatherState, part_count: int) -> bool:
    """Return whether this number of parts reaches the minimum coverage."""
    return (
        part_count > 0
        and part_count >= state.min_coverage * state.shard_count - 1e-9
    )


def next_step(state: GatherState) -> GatherStep:
    """Return whether to answer, fail or wait for more parts.

    The value of an answer is proportional to the square of its coverage within
    the latency objective, and to a small share of that afterwards. All parts
    are therefore awaited until the objective, and after it the request is
    answered as soon as the minimum coverage is reached.

    >>> state = GatherState(shard_count=10, present_count=9, pending_count=1,
    ...                     min_coverage=0.89, past_objective=False)
    >>> next_step(state)
    <GatherStep.WAIT: 1>
    """
    if not meets_coverage(state, state.present_count + state.pending_count):
        return GatherStep.FAIL
    if meets_coverage(state, state.present_count) and (
        not state.pending_count or state.past_objective
    ):
        return GatherStep.ANSWER
    if state.past_deadline:
        return GatherStep.FAIL
    return GatherStep.WAIT
