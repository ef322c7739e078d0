"""The blackboard of one process."""

from trefoilpier import config
from trefoilpier.board import leaves, nodes


class ConfigSection:
    """The configuration in force.

    Attributes:
        current: The set in force, or None before the first one.
        manifest: Its manifest.
        data_by_hash: Its objects as stored, for peers that pull them.
        in_force_at: Monotonic instant of the last change.
        heard_version: The highest version heard of, in force or not.
    """

    __slots__ = (
        "current",
        "data_by_hash",
        "heard_version",
        "in_force_at",
        "manifest",
    )

    def __init__(self) -> None:
        self.current: config.ConfigSet | None = None
        self.manifest: config.Manifest | None = None
        self.data_by_hash: dict[str, bytes] = {}
        self.in_force_at = 0.0
        self.heard_version = 0

    @property
    def version(self) -> int:
        """The version in force; 0 when there is none."""
        return self.current.version if self.current else 0


class NodeSection:
    """The entry VMs, this one included.

    Attributes:
        self_id: This node.
        node_by_id: Records of all known nodes.
        live_ids: Nodes that take part in placement, sorted.
        generation: Grows whenever ``live_ids`` changes.
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
        """Recomputes the live nodes after a change of records.

        A node that is leaving still counts itself, and so keeps the leaves
        that its requests in flight need.
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
        state_by_id: One row for each held leaf.
        leaving_ids: Leaves that the membership list says are leaving.
    """

    __slots__ = ("leaving_ids", "state_by_id")

    def __init__(self) -> None:
        self.state_by_id: dict[str, leaves.LeafState] = {}
        self.leaving_ids: set[str] = set()


class QuerySection:
    """Requests and sub-queries in flight, with counts since the start.

    Attributes:
        in_flight: Requests of callers.
        in_flight_by_caller: The same for each caller.
        sub_in_flight: Sub-queries of peers.
        answered: Requests that were admitted and ended.
        refused: Requests that were refused at the door.
        leaf_calls: Leaf calls made.
        leaf_calls_extra: Hedges and retries among them.
        wait_by_block: For each block of other gatherers, the seconds that a
            call would wait there, and the monotonic instant of that word.
        wait_by_gatherer: The same for each block, by gatherer; words that
            have faded are dropped.
    """

    __slots__ = (
        "answered",
        "in_flight",
        "in_flight_by_caller",
        "leaf_calls",
        "leaf_calls_extra",
        "refused",
        "sub_in_flight",
        "wait_by_block",
        "wait_by_gatherer",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.sub_in_flight = 0
        self.in_flight_by_caller: dict[str, int] = {}
        self.answered = 0
        self.refused = 0
        self.leaf_calls = 0
        self.leaf_calls_extra = 0
        self.wait_by_block: dict[str, tuple[float, float]] = {}
        self.wait_by_gatherer: dict[str, dict[str, tuple[float, float]]] = {}

    def learn_wait(
        self, block_id: str, node_id: str, *, wait: float, now: float
    ) -> None:
        """Takes in how long calls wait at a gatherer of a block."""
        self.wait_by_block[block_id] = (wait, now)
        # Gatherers that are gone say nothing more: their words go with age.
        kept = {
            each: (left, at)
            for each, (left, at) in self.wait_by_gatherer.get(
                block_id, {}
            ).items()
            if left > now - at
        }
        kept[node_id] = (wait, now)
        self.wait_by_gatherer[block_id] = kept

    def wait_at(self, block_id: str, node_id: str, now: float) -> float:
        """Returns the seconds a call waits there; the word fades with age."""
        waits = self.wait_by_gatherer.get(block_id, {})
        wait, at = waits.get(node_id, (0.0, 0.0))
        return max(0.0, wait - (now - at))


class DrainSection:
    """The graceful shutdown.

    Attributes:
        draining: Whether it has begun.
        since: Monotonic instant of its begin.
        refusing: Whether new requests are refused, once the balancer's lag
            is over.
    """

    __slots__ = ("draining", "refusing", "since")

    def __init__(self) -> None:
        self.draining = False
        self.since = 0.0
        self.refusing = False


class Board:
    """All sections of one process.

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
