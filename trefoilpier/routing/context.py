"""What all gathers of one node share."""

from collections.abc import Callable

from trefoilpier import base, board, leaf, limits
from trefoilpier.routing import hedge, replica


class GatherContext:
    """What all gathers of a node share.

    Attributes:
        clock: The clock.
        board: The blackboard.
        transport: Carries calls to leaves.
        chooser: Chooses replicas.
        hedging: Decides when a hedge is due.
        lane_by_leaf: One lane for each held leaf.
        budget_by_policy: The budget of extra calls of each routing policy.
        log: Where events go.
        next_call_id: Returns an id that this process never used before.
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
