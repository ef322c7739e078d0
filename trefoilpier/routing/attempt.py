"""Attempts of a query to get one shard's result."""

from trefoilpier import board, leaf, limits
from trefoilpier.routing import spec

ATTEMPTS_MAX = 3
MISS_REASON_BY_STATUS = {
    leaf.CallStatus.SHED: spec.MissReason.SHED,
    leaf.CallStatus.VERSION_GONE: spec.MissReason.VERSION_GONE,
    leaf.CallStatus.NOT_MINE: spec.MissReason.MOVED,
    leaf.CallStatus.DRAINING: spec.MissReason.NO_REPLICA,
    leaf.CallStatus.NOT_SENT: spec.MissReason.NO_REPLICA,
    leaf.CallStatus.EXPIRED: spec.MissReason.LATE,
}
# The leaf did no work and the cause is not transient, so the next replica is
# tried without taking from the budget for extra calls.
UNBUDGETED_RETRY_STATUSES = frozenset(
    {
        leaf.CallStatus.VERSION_GONE,
        leaf.CallStatus.NOT_MINE,
        leaf.CallStatus.DRAINING,
        leaf.CallStatus.NOT_SENT,
    }
)
NO_VALID_REPLY_STATUSES = frozenset(
    {
        leaf.CallStatus.NOT_SENT,
        leaf.CallStatus.LOST,
        leaf.CallStatus.SILENT,
        leaf.CallStatus.MALFORMED,
    }
)


class Attempt:
    """One call for one shard, queued or in flight.

    Attributes:
        shard_task: The shard's task.
        leaf_state: The state of the target leaf.
        leaf_queue: The queue of the target leaf.
        queued_call: The call's entry in the queue; None once sent.
        call_id: The id of the call, once sent.
        wait_started_at: Monotonic instant from which the time in the queue
            is counted. A hedger that leaves the call in its queue resets it.
        sent_at: Monotonic instant at which the call was sent; 0 while queued.
    """

    __slots__ = (
        "wait_started_at",
        "call_id",
        "queued_call",
        "leaf_queue",
        "sent_at",
        "shard_task",
        "leaf_state",
    )

    def __init__(
        self,
        *,
        shard_task: "ShardTask",
        leaf_state: board.LeafState,
        leaf_queue: limits.LeafQueue,
        now: float,
    ) -> None:
        self.shard_task = shard_task
        self.leaf_state = leaf_state
        self.leaf_queue = leaf_queue
        self.queued_call: limits.QueuedCall | None = None
        self.call_id = ""
        self.wait_started_at = now
        self.sent_at = 0.0

    @property
    def leaf_id(self) -> str:
        """The id of the target leaf."""
        return self.leaf_state.leaf.id


class ShardTask:
    """The state of one shard of a query.

    Attributes:
        shard: The shard.
        pending_attempts: Calls that are queued or in flight.
        excluded_leaf_ids: Leaves that reported that they can't serve the
            shard; they are not tried again.
        attempts_sent: Number of calls sent, except those that were shed.
        not_before: Monotonic instant before which no further call is sent.
        done: Whether the shard has ended, with or without a result.
        miss_reason: Why the last call returned no result.
    """

    __slots__ = (
        "pending_attempts",
        "done",
        "attempts_sent",
        "not_before",
        "miss_reason",
        "excluded_leaf_ids",
        "shard",
    )

    def __init__(self, *, shard: int) -> None:
        self.shard = shard
        self.pending_attempts: list[Attempt] = []
        self.excluded_leaf_ids: set[str] = set()
        self.attempts_sent = 0
        self.not_before = 0.0
        self.done = False
        self.miss_reason = spec.MissReason.LATE

    def pending_leaf_ids(self) -> set[str]:
        """Return the leaves with a queued or in-flight call."""
        return {attempt.leaf_id for attempt in self.pending_attempts}
