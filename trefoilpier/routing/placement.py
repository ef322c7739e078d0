"""Rendezvous-hash placement of gatherers on the live nodes."""

import bisect
from collections.abc import Callable

from trefoilpier import base, board, config

# Nodes ranked in addition to the gatherers, so that the loss of a few nodes
# requires no new ranking.
_SPARE_RANKED_NODES = 8
# Round trip between availability zones of a region, as given by the users.
_CROSS_ZONE_ROUND_TRIP_S = 0.002


def _zero_wait(node_id: str) -> float:
    """Return no queue wait for any node."""
    del node_id
    return 0.0


class _BlockRanking:
    """The highest-ranked nodes of one block, updated as membership changes.

    Only the best few nodes are stored. A node that joins is inserted if it
    ranks among them, and a node that leaves is removed. All nodes are ranked
    again only when too few are left.
    """

    __slots__ = (
        "_block_id",
        "_covers_all_nodes",
        "_capacity",
        "_ranked_entries",
    )

    def __init__(
        self, *, block_id: str, count: int, live_ids: tuple[str, ...]
    ) -> None:
        self._block_id = block_id
        self._capacity = count + _SPARE_RANKED_NODES
        self._ranked_entries: list[tuple[int, str]] = []
        self._covers_all_nodes = False
        self.rank_all(live_ids)

    def _ranked_entry(self, node_id: str) -> tuple[int, str]:
        # Negated so that the highest hash, the best node, sorts first.
        return -base.stable_hash(f"{self._block_id}|{node_id}"), node_id

    def rank_all(self, live_ids: tuple[str, ...]) -> None:
        """Rank all live nodes."""
        entries = sorted(self._ranked_entry(node_id) for node_id in live_ids)
        self._covers_all_nodes = len(entries) <= self._capacity
        self._ranked_entries = entries[: self._capacity]

    def join(self, node_id: str) -> None:
        """Insert a node that has become live, if it ranks high enough."""
        entry = self._ranked_entry(node_id)
        if self._covers_all_nodes or (
            self._ranked_entries and entry < self._ranked_entries[-1]
        ):
            bisect.insort(self._ranked_entries, entry)
        if len(self._ranked_entries) > self._capacity:
            self._ranked_entries.pop()
            self._covers_all_nodes = False

    def leave(self, node_id: str) -> None:
        """Remove a node that is no longer live."""
        entry = self._ranked_entry(node_id)
        if entry in self._ranked_entries:
            self._ranked_entries.remove(entry)

    def best(self, count: int) -> tuple[str, ...] | None:
        """Return the best nodes, or None if all must be ranked again."""
        if len(self._ranked_entries) < count and not self._covers_all_nodes:
            return None
        return tuple(node_id for _, node_id in self._ranked_entries[:count])


class Placement:
    """Placement of each block's gatherers by rendezvous hashing.

    The N highest-ranked live nodes hold connections to the block's leaves,
    where N is the shard group's number of gatherers. When one node joins or
    leaves, one hash is computed for each block looked up so far.
    """

    __slots__ = ("_generation", "_live_ids", "_nodes", "_ranking_by_block")

    def __init__(self, *, nodes: board.NodeSection) -> None:
        self._nodes = nodes
        self._generation = -1
        self._live_ids: frozenset[str] = frozenset()
        self._ranking_by_block: dict[tuple[str, int], _BlockRanking] = {}

    def gatherers(
        self, block: config.Block, group: config.ShardGroup
    ) -> tuple[str, ...]:
        """Return the ids of a block's gatherers, best first."""
        if self._generation != self._nodes.generation:
            self._apply_membership_changes()
        key = (block.id, group.gatherers)
        live_ids = self._nodes.live_ids
        ranking = self._ranking_by_block.get(key)
        if ranking is None:
            ranking = _BlockRanking(
                block_id=block.id, count=group.gatherers, live_ids=live_ids
            )
            self._ranking_by_block[key] = ranking
        count = min(group.gatherers, len(live_ids))
        best = ranking.best(count)
        if best is None:
            ranking.rank_all(live_ids)
            best = ranking.best(count) or ()
        return best

    def _apply_membership_changes(self) -> None:
        """Apply joins and leaves since the last call to every ranking."""
        self._generation = self._nodes.generation
        live = frozenset(self._nodes.live_ids)
        joined = live - self._live_ids
        left = self._live_ids - live
        self._live_ids = live
        for ranking in self._ranking_by_block.values():
            for node_id in left:
                ranking.leave(node_id)
            for node_id in joined:
                ranking.join(node_id)

    def is_gatherer(
        self, block: config.Block, group: config.ShardGroup
    ) -> bool:
        """Return whether this node is a gatherer of a block."""
        return self._nodes.self_id in self.gatherers(block, group)

    def gatherers_by_preference(
        self,
        block: config.Block,
        group: config.ShardGroup,
        *,
        queue_wait_of: Callable[[str], float] = _zero_wait,
        salt: str = "",
    ) -> tuple[str, ...]:
        """Return the gatherers in the order in which this node tries them.

        This node comes first, then the gatherers of its region by queue wait
        plus round trip, then those of other regions by queue wait. Ties are
        broken by a hash, which spreads senders and queries over the
        gatherers.

        Args:
            block: The block.
            group: The block's shard group.
            queue_wait_of: Returns the queue wait at a gatherer, in seconds.
            salt: A value that differs by query, to spread the queries of one
                sender.
        """
        nodes = self._nodes
        own_record = nodes.node_by_id.get(nodes.self_id)

        def cost(node_id: str) -> tuple[int, float, int]:
            tie_break = base.stable_hash(f"{nodes.self_id}|{node_id}|{salt}")
            record = nodes.node_by_id.get(node_id)
            if node_id == nodes.self_id:
                return 0, 0.0, tie_break
            if (
                record is None
                or own_record is None
                or record.region != own_record.region
            ):
                return 2, queue_wait_of(node_id), tie_break
            zone_latency_s = (
                0.0
                if record.zone == own_record.zone
                else _CROSS_ZONE_ROUND_TRIP_S
            )
            return 1, queue_wait_of(node_id) + zone_latency_s, tie_break

        return tuple(sorted(self.gatherers(block, group), key=cost))
