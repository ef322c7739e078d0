"""Which nodes gather for which block of leaves."""

from trefoilpier import base, board, config


class Placement:
    """Ranks the live nodes for each block by rendezvous hash.

    The first N of them hold connections to the block's leaves, where N is the
    shard group's number of gatherers. The ranking is kept until the live
    nodes change.
    """

    __slots__ = ("_gatherers_by_block", "_generation", "_nodes")

    def __init__(self, *, nodes: board.NodeSection) -> None:
        self._nodes = nodes
        self._generation = -1
        self._gatherers_by_block: dict[tuple[str, int], tuple[str, ...]] = {}

    def gatherers(
        self, block: config.Block, group: config.ShardGroup
    ) -> tuple[str, ...]:
        """Returns the ids of the nodes that gather for a block, best first."""
        if self._generation != self._nodes.generation:
            self._generation = self._nodes.generation
            self._gatherers_by_block.clear()
        key = (block.id, group.gatherers)
        ranked = self._gatherers_by_block.get(key)
        if ranked is None:
            order = base.rank_nodes(block.id, self._nodes.live_ids)
            ranked = tuple(order[: group.gatherers])
            self._gatherers_by_block[key] = ranked
        return ranked

    def holds(self, block: config.Block, group: config.ShardGroup) -> bool:
        """Tells whether this node gathers for a block."""
        return self._nodes.self_id in self.gatherers(block, group)

    def preferred(
        self, block: config.Block, group: config.ShardGroup
    ) -> tuple[str, ...]:
        """Returns the gatherers in the order this node should ask them.

        Itself first, then those of its own zone, then of its region; ties by
        a hash of both ends, so that senders spread over the gatherers.
        """
        nodes = self._nodes
        mine = nodes.node_by_id.get(nodes.self_id)

        def distance(node_id: str) -> tuple[int, int]:
            spread = base.stable_hash(f"{nodes.self_id}|{node_id}|{block.id}")
            record = nodes.node_by_id.get(node_id)
            if node_id == nodes.self_id:
                return 0, spread
            if record is None or mine is None or record.region != mine.region:
                return 3, spread
            return (1 if record.zone == mine.zone else 2), spread

        return tuple(sorted(self.gatherers(block, group), key=distance))
