"""Blackboard: the state that the controllers of one process share."""

from trefoilpier import config
from trefoilpier.board import leaves, nodes


class ConfigSection:
    """The configuration in force.

    Attributes:
        current: Configuration in force, or None before the first one.
        manifest: Manifest of the configuration in force.
        data_by_hash: Objects of the configuration as stored, by content hash,
            for peers that pull them.
        in_force_at: Monotonic time in seconds of the last change.
        highest_known_version: Highest version known to exist, even if not in
            force here.
    """

    __slots__ = (
        "current",
        "data_by_hash",
        "highest_known_version",
        "in_force_at",
        "manifest",
    )

    def __init__(self) -> None:
        self.current: config.ConfigSet | None = None
        self.manifest: config.Manifest | None = None
        self.data_by_hash: dict[str, bytes] = {}
        self.in_force_at = 0.0
        self.highest_known_version = 0

    @property
    def version(self) -> int:
        """Version of the configuration in force, or 0 if there is none."""
        return self.current.version if self.current else 0


class NodeSection:
    """The entry VMs, including this one.

    Attributes:
        self_id: Id of this node.
        node_by_id: Records of all known nodes.
        live_ids: Sorted ids of the nodes that take part in placement.
        generation: Number that grows with each change of ``live_ids``.
        control_bytes: Bytes of control traffic sent since the start.
    """

    __slots__ = (
        "control_bytes",
        "generation",
        "live_ids",
        "node_by_id",
        "self_id",
    )

    def __init__(self, *, self_id: str) -> None:
        self.self_id = self_id
        self.node_by_id: dict[str, nodes.NodeRecord] = {}
        self.live_ids: tuple[str, ...] = ()
        self.generation = 0
        self.control_bytes = 0

    def refresh(self) -> None:
        """Recompute the live nodes after a change of records.

        A leaving node still counts itself as live, so that it keeps the
        connections to leaves that its requests in flight need.
        """
        live = tuple(
            sorted(
                record.id
                for record in self.node_by_id.values()
                if record.state <= nodes.NodeState.SUSPECT
                or record.id == self.self_id
            )
        )
        if live != self.live_ids:
            self.live_ids = live
            self.generation += 1


class LeafSection:
    """The leaves that this node holds connections to.

    Attributes:
        state_by_id: State of each leaf.
        leaving_ids: Ids of leaves that are leaving, from the platform's
            membership list or from peers.
    """

    __slots__ = ("leaving_ids", "state_by_id")

    def __init__(self) -> None:
        self.state_by_id: dict[str, leaves.LeafState] = {}
        self.leaving_ids: set[str] = set()


class QuerySection:
    """Requests and sub-queries in flight, with counts since the start.

    Attributes:
        in_flight: Number of callers' requests in flight.
        in_flight_by_caller: Number of requests in flight by caller.
        sub_queries_in_flight: Number of peers' sub-queries in flight.
        answered: Requests that were admitted and have ended.
        refused: Requests that admission rejected.
        leaf_calls: Calls sent to leaves.
        leaf_calls_extra: Hedges and retries among ``leaf_calls``.
        queue_wait_by_block: Last reported queue wait, in seconds, of each block
            that other VMs gather, with the monotonic time of the report.
        queue_wait_by_gatherer: The same by block and gatherer, without expired
            reports.
    """

    __slots__ = (
        "answered",
        "in_flight",
        "in_flight_by_caller",
        "leaf_calls",
        "leaf_calls_extra",
        "refused",
        "sub_queries_in_flight",
        "queue_wait_by_block",
        "queue_wait_by_gatherer",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.sub_queries_in_flight = 0
        self.in_flight_by_caller: dict[str, int] = {}
        self.answered = 0
        self.refused = 0
        self.leaf_calls = 0
        self.leaf_calls_extra = 0
        self.queue_wait_by_block: dict[str, tuple[float, float]] = {}
        self.queue_wait_by_gatherer: dict[
            str, dict[str, tuple[float, float]]
        ] = {}

    def record_queue_wait(
        self, block_id: str, node_id: str, *, wait: float, now: float
    ) -> None:
        """Record the queue wait that a gatherer of a block reports.

        Args:
            block_id: The block.
            node_id: The gatherer.
            wait: Queue wait in seconds.
            now: Monotonic time in seconds.
        """
        self.queue_wait_by_block[block_id] = (wait, now)
        # A gatherer that is gone sends no new report, so old reports expire.
        unexpired = {
            gatherer: (old_wait, reported_at)
            for gatherer, (
                old_wait,
                reported_at,
            ) in self.queue_wait_by_gatherer.get(block_id, {}).items()
            if old_wait > now - reported_at
        }
        unexpired[node_id] = (wait, now)
        self.queue_wait_by_gatherer[block_id] = unexpired

    def queue_wait_at(self, block_id: str, node_id: str, now: float) -> float:
        """Return the estimated queue wait at a gatherer of a block, in seconds.

        The estimate is the last reported wait less the age of the report.
        """
        report_by_gatherer = self.queue_wait_by_gatherer.get(block_id, {})
        wait, reported_at = report_by_gatherer.get(node_id, (0.0, 0.0))
        return max(0.0, wait - (now - reported_at))


class DrainSection:
    """State of the graceful shutdown.

    Attributes:
        draining: Whether the shutdown has begun.
        started_at: Monotonic time in seconds at which it began.
        refusing: Whether new requests are rejected. This begins only after
            the time that the load balancer takes to stop sending them.
    """

    __slots__ = ("draining", "refusing", "started_at")

    def __init__(self) -> None:
        self.draining = False
        self.started_at = 0.0
        self.refusing = False


class Board:
    """Blackboard of one process.

    >>> board = Board(self_id="vm-1")
    >>> board.config.version
    0
    """

    __slots__ = ("config", "drain", "leaves", "nodes", "queries")

    def __init__(self, *, self_id: str) -> None:
        self.config = ConfigSection()
        self.nodes = NodeSection(self_id=self_id)
        self.leaves = LeafSection()
        self.queries = QuerySection()
        self.drain = DrainSection()
