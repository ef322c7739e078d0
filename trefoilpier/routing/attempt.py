"""The calls that one query makes for one shard."""

from trefoilpier import board, leaf, limits
from trefoilpier.routing import spec

ATTEMPTS_MAX = 3
REASON_BY_STATUS = {
    leaf.CallStatus.SHED: spec.MissReason.SHED,
    leaf.CallStatus.VERSION_GONE: spec.MissReason.VERSION_GONE,
    leaf.CallStatus.NOT_MINE: spec.MissReason.MOVED,
    leaf.CallStatus.DRAINING: spec.MissReason.NO_REPLICA,
    leaf.CallStatus.NOT_SENT: spec.MissReason.NO_REPLICA,
    leaf.CallStatus.EXPIRED: spec.MissReason.LATE,
}
# Answers of leaves that did no work and name a lasting cause: the next
# replica is asked without drawing on the budget.
FREE_FAILOVER = frozenset(
    {
        leaf.CallStatus.VERSION_GONE,
        leaf.CallStatus.NOT_MINE,
        leaf.CallStatus.DRAINING,
        leaf.CallStatus.NOT_SENT,
    }
)
CLIENT_SIDE = frozenset(
    {
        leaf.CallStatus.NOT_SENT,
        leaf.CallStatus.LOST,
        leaf.CallStatus.SILENT,
        leaf.CallStatus.MALFORMED,
    }
)


class Attempt:
    """One call for one shard, queued or sent.

    Attributes:
        shard_task: The shard's work that it belongs to.
        state: The leaf's row.
        lane: The leaf's lane.
        item: Its place in the lane's queue; None once sent.
        call_id: The call's id, once sent.
        begun_at: Monotonic instant at which it was queued.
        sent_at: Monotonic instant at which it was sent; 0 while queued.
    """

    __slots__ = (
        "begun_at",
        "call_id",
        "item",
        "lane",
        "sent_at",
        "shard_task",
        "state",
    )

    def __init__(
        self,
        *,
        shard_task: "ShardTask",
        state: board.LeafState,
        lane: limits.Lane,
        now: float,
    ) -> None:
        self.shard_task = shard_task
        self.state = state
        self.lane = lane
        self.item: limits.QueuedCall | None = None
        self.call_id = ""
        self.begun_at = now
        self.sent_at = 0.0

    @property
    def leaf_id(self) -> str:
        """The leaf that is asked."""
        return self.state.leaf.id


class ShardTask:
    """The work for one shard of a query.

    Attributes:
        shard: The shard.
        attempts: Calls that are queued or out.
        refused: Leaves that said they cannot run it; never asked again.
        made: Calls that were sent, without those that were shed.
        not_before: Monotonic instant before which nothing is asked again.
        done: Whether it has ended.
        reason: Why the last call gave no result.
    """

    __slots__ = (
        "attempts",
        "done",
        "made",
        "not_before",
        "reason",
        "refused",
        "shard",
    )

    def __init__(self, *, shard: int) -> None:
        self.shard = shard
        self.attempts: list[Attempt] = []
        self.refused: set[str] = set()
        self.made = 0
        self.not_before = 0.0
        self.done = False
        self.reason = spec.MissReason.LATE

    def asked(self) -> set[str]:
        """Returns the leaves with a call queued or out."""
        return {attempt.leaf_id for attempt in self.attempts}
