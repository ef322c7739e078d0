"""State shared by all gathers of one node."""

from collections.abc import Callable

from trefoilpier import base, board, leaf, limits
from trefoilpier.routing import hedge, replica


class GatherContext:
    """State shared by all gathers of one node.

    Attributes:
        clock: The clock.
        board: The blackboard.
        transport: The transport for calls to leaves.
        chooser: The replica selection.
        hedging: The policy that decides when a hedge is due.
        lane_by_leaf: The lane of each held leaf, by leaf id.
        budget_by_policy: The budget for extra calls of each routing policy,
            by policy name.
        log: The event log.
        next_call_id: Returns an id not yet used by this process.
    """

    __slots__ = (
        "board",
        "budget_by_policy",
        "chooser",
        "clock",
        "hedging",
        "lane_by_leaf",
        "log",
        "next_call_id",
        "transport",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        blackboard: board.Board,
        transport: leaf.LeafTransport,
        chooser: replica.ReplicaChooser,
        hedging: hedge.HedgePolicy,
        log: base.EventLog,
        next_call_id: Callable[[], str],
    ) -> None:
        self.clock = clock
        self.board = blackboard
        self.transport = transport
        self.chooser = chooser
        self.hedging = hedging
        self.lane_by_leaf: dict[str, limits.Lane] = {}
        self.budget_by_policy: dict[str, limits.LoadBudget] = {}
        self.log = log
        self.next_call_id = next_call_id
