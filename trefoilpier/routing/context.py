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
        hedge_policy: The policy that decides when a hedge is due.
        queue_by_leaf: The queue of each held leaf, by leaf id.
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
        "hedge_policy",
        "queue_by_leaf",
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
        hedge_policy: hedge.HedgePolicy,
        log: base.EventLog,
        next_call_id: Callable[[], str],
    ) -> None:
        self.clock = clock
        self.board = blackboard
        self.transport = transport
        self.chooser = chooser
        self.hedge_policy = hedge_policy
        self.queue_by_leaf: dict[str, limits.LeafQueue] = {}
        self.budget_by_policy: dict[str, limits.ExtraCallBudget] = {}
        self.log = log
        self.next_call_id = next_call_id
