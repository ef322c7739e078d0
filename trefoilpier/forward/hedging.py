"""Decision whether a late call is sent to a second leaf."""

import enum
from dataclasses import dataclass


class HedgeOutcome(enum.StrEnum):
    """What became of the second send of a call, for the log."""

    NOT_DUE = "not due"
    NOT_IN_FLIGHT = "nothing in flight"
    NO_ATTEMPT_LEFT = "no attempt left"
    NO_CAPACITY = "no leaf with free capacity"
    NO_OTHER_LEAF = "no other leaf"
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
    """

    in_flight: bool
    attempt_left: bool
    other_usable: bool
    leaf_free: bool


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
        return None
    if state.other_usable:
        return HedgeOutcome.NO_CAPACITY
    return HedgeOutcome.NO_OTHER_LEAF
