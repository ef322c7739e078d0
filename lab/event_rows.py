"""Log that keeps the rare events of a run."""

from typing import Any

from trefoilpier import base

# Events of single requests and leaves would fill the memory.
_DROPPED = frozenset(
    (
        base.Event.REQUEST_ENDED,
        base.Event.LEAF_CALL_LOST,
        base.Event.LEAF_UP,
        base.Event.LEAF_DOWN,
    )
)


class EventRows(base.EventLog):
    """Event log in memory, without the events of requests and leaves.

    Attributes:
        rows: Events with their fields, in order.
    """

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: list[tuple[base.Event, dict[str, Any]]] = []

    def emit(self, event: base.Event, **fields: Any) -> None:
        """Keep an event."""
        if event not in _DROPPED:
            self.rows.append((event, fields))
