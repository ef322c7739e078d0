"""Which nodes gather for which block of leaves."""

import bisect
from collections.abc import Callable

from trefoilpier import base, board, config

# Ranked nodes kept beyond the gatherers; a lost few cost no new ranking.
_SPARE_RANKS = 8
# Seconds there and back between zones of a region, from the users' sheet.
_OTHER_ZONE_S = 0.002


def _no_wait(node_id: str) -> float:
    """Tells that calls wait nowhere."""
    del node_id
    return 0.0


class _Ranking:
    """The best nodes of one block, kept while nodes come and go.

    Only the best few are kept. A node that joins is compared with them; one
    that leaves is removed, and all nodes are ranked again only when too few
    are left.
    """

    __slots__ = ("_block_id", "_complete", "_kept", "_rows")

    def __init__(
        self, *, block_id: str, count: int, live_ids: tuple[str, ...]
    ) -> None:
        self._block_id = block_id
        self._kept = count + _SPARE_RANKS
        self._rows: list[tuple[int, str]] = []
        self._complete = False
        self.rank(live_ids)

    def _row(self, node_id: str) -> tuple[int, str]:
        # Negative, so that the best node sorts first.
        return -base.stable_hash(f"{self._block_id}|{node_id}"), node_id

    def rank(self, live_ids: tuple[str, ...]) -> None:
        """Ranks all live nodes."""
        rows = sorted(self._row(node_id) for node_id in live_ids)
        self._complete = len(rows) <= self._kept
        self._rows = rows[: self._kept]

    def join(self, node_id: str) -> None:
        """Takes in a node that has become live."""
        row = self._row(node_id)
        if self._complete or (self._rows and row < self._rows[-1]):
            bisect.insort(self._rows, row)
        if len(self._rows) > self._kept:
            self._rows.pop()
            self._complete = False

    def leave(self, node_id: str) -> None:
        """Drops a node that is no longer live."""
        row = self._row(node_id)
        if row in self._rows:
            self._rows.remove(row)

    def best(self, count: int) -> tuple[str, ...] | None:
        """Returns the best nodes; None when all must be ranked again."""
        if len(self._rows) < count and not self._complete:
            return None
        return tuple(node_id for _, node_id in self._rows[:count])


class Placement:
    """Ranks the live nodes for each block by rendezvous hash.

    The first N of them hold connections to the block's leaves, where N is the
    shard group's number of gatherers. A change of one node costs one hash for
    each block that was asked about.
    """

    __slots__ = ("_generation", "_live", "_nodes", "_ranking_by_block")

    def __init__(self, *, nodes: board.NodeSection) -> None:
        self._nodes = nodes
        self._generation = -1
        self._live: frozenset[str] = frozenset()
        self._ranking_by_block: dict[tuple[str, int], _Ranking] = {}

    def gatherers(
        self, block: config.Block, group: config.ShardGroup
    ) -> tuple[str, ...]:
        """Returns the ids of the nodes that gather for a block, best first."""
        if self._generation != self._nodes.generation:
            self._follow()
        key = (block.id, group.gatherers)
        live_ids = self._nodes.live_ids
        ranking = self._ranking_by_block.get(key)
        if ranking is None:
            ranking = _Ranking(
                block_id=block.id, count=group.gatherers, live_ids=live_ids
            )
            self._ranking_by_block[key] = ranking
        count = min(group.gatherers, len(live_ids))
        best = ranking.best(count)
        if best is None:
            ranking.rank(live_ids)
            best = ranking.best(count) or ()
        return best

    def _follow(self) -> None:
        """Takes the changes of the live nodes into every ranking."""
        self._generation = self._nodes.generation
        live = frozenset(self._nodes.live_ids)
        joined = live - self._live
        left = self._live - live
        self._live = live
        for ranking in self._ranking_by_block.values():
            for node_id in left:
                ranking.leave(node_id)
            for node_id in joined:
                ranking.join(node_id)

    def holds(self, block: config.Block, group: config.ShardGroup) -> bool:
        """Tells whether this node gathers for a block."""
        return self._nodes.self_id in self.gatherers(block, group)

    def preferred(
        self,
        block: config.Block,
        group: config.ShardGroup,
        *,
        wait_of: Callable[[str], float] = _no_wait,
        salt: str = "",
    ) -> tuple[str, ...]:
        """Returns the gatherers in the order this node should ask them.

        Itself first, then those of its own region by the time that a call
        waits there and needs to get there; ties by a hash, so that senders
        and queries spread over the gatherers.

        Args:
            block: The block.
            group: Its shard group.
            wait_of: Tells the seconds that calls wait at a gatherer.
            salt: Differs by query, to spread those of one sender.
        """
        nodes = self._nodes
        mine = nodes.node_by_id.get(nodes.self_id)

        def cost(node_id: str) -> tuple[int, float, int]:
            spread = base.stable_hash(f"{nodes.self_id}|{node_id}|{salt}")
            record = nodes.node_by_id.get(node_id)
            if node_id == nodes.self_id:
                return 0, 0.0, spread
            if record is None or mine is None or record.region != mine.region:
                return 2, wait_of(node_id), spread
            way = 0.0 if record.zone == mine.zone else _OTHER_ZONE_S
            return 1, wait_of(node_id) + way, spread

        return tuple(sorted(self.gatherers(block, group), key=cost))
