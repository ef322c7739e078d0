"""Decision whether a late call is sent to a second leaf."""

import enum
from dataclasses import dataclass

# Expected cost up to which a leaf counts as fast; 1 is an idle leaf at its
# usual speed, 2 a full one.
_COST_MAX = 3.0
# Load up to which a second send takes no slot that another request needs. Of
# two leaves that are equally slow, one still answers before the other.
_SPARE_LOAD_MAX = 0.5
# Part of the expected time left of the late call that a slow leaf may take. A
# smaller gain is within the error of the estimates, and not worth a slot.
_TIME_LEFT_SHARE = 2 / 3


class HedgeOutcome(enum.StrEnum):
    """What became of the second send of a call, for the log."""

    NOT_DUE = "not due"
    NOT_IN_FLIGHT = "nothing in flight"
    NO_ATTEMPT_LEFT = "no attempt left"
    NO_CAPACITY = "no leaf with free capacity"
    NO_OTHER_LEAF = "no other leaf"
    OTHERS_LOADED = "other leaves without free slot or as slow"
    NO_BUDGET = "no budget"
    SUSPECT = "request may crash leaves"
    SENT = "sent"


@dataclass(slots=True, kw_only=True, frozen=True)
class HedgeState:
    """State of a call when its hedge is due.

    Attributes:
        in_flight: Whether the call is at a leaf.
        attempt_left: Whether the route allows one more attempt.
        other_usable: Whether the service has a usable leaf that the call was
            not sent to.
        leaf_free: Whether one of these has free capacity.
        leaf_useful: Whether one of these is likely to answer sooner.
    """

    in_flight: bool
    attempt_left: bool
    other_usable: bool
    leaf_free: bool
    leaf_useful: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafOutlook:
    """What is known of a leaf when a hedge is due.

    Attributes:
        load: Estimated requests at the leaf divided by its slots.
        cost: Expected latency of a request relative to the route's median.
        overdue: Whether it has a call in flight for unusually long.
    """

    load: float
    cost: float
    overdue: bool = False


def may_answer_sooner(
    other: LeafOutlook, *, current_cost: float, elapsed: float
) -> bool:
    """Return whether a hedge at another leaf may overtake a late call.

    During a burst, or while most leaves of a shard are slow, a hedge takes a
    slot that another request needs and is no faster than the first call. A
    late call at a leaf of usual speed was held up, by a pause or a lost
    packet, and another leaf of usual speed with a free slot overtakes it.
    A leaf with an overdue call of its own does not: it has paused as well, or
    has turned slow before any late answer could show it. A leaf with half of
    its slots free is tried however slow it is, within the retry budget.

    Args:
        other: The other leaf.
        current_cost: Expected cost of the leaf that has the call.
        elapsed: Time that the call has taken relative to the median.

    >>> idle = LeafOutlook(load=0.0, cost=1.0)
    >>> may_answer_sooner(idle, current_cost=1.2, elapsed=2.2)
    True
    >>> slow = LeafOutlook(load=0.5, cost=6.0)
    >>> may_answer_sooner(slow, current_cost=6.5, elapsed=2.2)
    False
    >>> slow = LeafOutlook(load=0.25, cost=6.0)
    >>> may_answer_sooner(slow, current_cost=6.5, elapsed=2.2)
    True
    """
    if other.overdue or other.load >= 1.0:
        return False
    if other.load < _SPARE_LOAD_MAX:
        return True
    return other.cost < max(
        _COST_MAX, _TIME_LEFT_SHARE * (current_cost - elapsed)
    )


def obstacle(state: HedgeState) -> HedgeOutcome | None:
    """Return why a late call cannot be hedged, or None if it can.

    >>> obstacle(HedgeState(in_flight=True, attempt_left=True,
    ...                     other_usable=True, leaf_free=False))
    <HedgeOutcome.NO_CAPACITY: 'no leaf with free capacity'>
    """
    if not state.in_flight:
        return HedgeOutcome.NOT_IN_FLIGHT
    if not state.attempt_left:
        return HedgeOutcome.NO_ATTEMPT_LEFT
    if state.leaf_free:
        return None if state.leaf_useful else HedgeOutcome.OTHERS_LOADED
    if state.other_usable:
        return HedgeOutcome.NO_CAPACITY
    return HedgeOutcome.NO_OTHER_LEAF
