"""When a gathered answer is given, and with which parts."""

import enum
from dataclasses import dataclass

# Timers fire late, and an answer is merged and written.
_FINISH_S = 0.004


class GatherStep(enum.Enum):
    """What a gathering does next."""

    WAIT = enum.auto()
    ANSWER = enum.auto()
    FAIL = enum.auto()


@dataclass(slots=True, kw_only=True, frozen=True)
class GatherView:
    """The state of a gathering.

    Attributes:
        shards: Shards of the pinned version.
        present: Parts that are in.
        open: Shards from which a part may still come.
        coverage_least: Share of the shards without which there is no answer.
        past_cut: Whether waiting longer would miss the objective.
        past_end: Whether the caller's time is up.
    """

    shards: int
    present: int
    open: int
    coverage_least: float
    past_cut: bool
    past_end: bool = False


def cut_at(
    *,
    received_at: float,
    waited_s: float,
    network_s: float,
    objective_s: float,
) -> float:
    """Returns the instant at which an answer still meets the objective.

    Args:
        received_at: Monotonic instant at which the request came.
        waited_s: Time that the caller spent on earlier attempts.
        network_s: Time that the network takes, there and back.
        objective_s: The route's objective.

    >>> round(cut_at(received_at=5.0, waited_s=0.0, network_s=0.004,
    ...              objective_s=0.118), 3)
    5.11
    """
    spent_s = waited_s + network_s + _FINISH_S
    return received_at + objective_s - spent_s


def enough(view: GatherView, parts: int) -> bool:
    """Whether so many parts reach the least coverage."""
    return parts > 0 and parts >= view.coverage_least * view.shards - 1e-9


def next_step(view: GatherView) -> GatherStep:
    """Decides whether to answer now.

    The value of an answer falls with the square of its coverage inside the
    objective and to a small share of that outside: so every part is awaited
    until the cut, and past it the first answer that qualifies is given.

    >>> view = GatherView(shards=10, present=9, open=1, coverage_least=0.89,
    ...                   past_cut=False)
    >>> next_step(view)
    <GatherStep.WAIT: 1>
    """
    if not enough(view, view.present + view.open):
        return GatherStep.FAIL
    if enough(view, view.present) and (not view.open or view.past_cut):
        return GatherStep.ANSWER
    if view.past_end:
        return GatherStep.FAIL
    return GatherStep.WAIT
