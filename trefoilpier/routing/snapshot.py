"""Which index version a query is pinned to."""

from collections.abc import Iterable, Mapping

from trefoilpier import board, config


def choose_version(
    versions_by_shard: Mapping[int, Iterable[int]],
) -> int | None:
    """Chooses the newest version that most shards can serve.

    The newest version that every shard has wins; failing that, the version
    with the largest coverage, the newest of equals.

    Args:
        versions_by_shard: For each shard, the versions that at least one of
            its usable replicas serves.

    Returns:
        The version, or None when no shard has any.

    >>> choose_version({0: [1, 2, 3], 1: [1, 2]})
    2
    >>> choose_version({0: [3], 1: [3], 2: [1]})
    3
    """
    count_by_version: dict[int, int] = {}
    for versions in versions_by_shard.values():
        for version in set(versions):
            count_by_version[version] = count_by_version.get(version, 0) + 1
    if not count_by_version:
        return None
    return max(
        count_by_version,
        key=lambda version: (count_by_version[version], version),
    )


class SnapshotTracker:
    """Knows which versions each shard of a group can serve.

    Held shards are read from the blackboard's leaves. For blocks that other
    nodes gather, the versions that they last offered are remembered.
    """

    __slots__ = ("_leaves", "_offered_by_block")

    def __init__(self, *, leaves: board.LeafSection) -> None:
        self._leaves = leaves
        self._offered_by_block: dict[str, dict[int, tuple[int, ...]]] = {}

    def learn(
        self, block_id: str, versions_by_shard: Mapping[int, tuple[int, ...]]
    ) -> None:
        """Remembers what another gatherer offered for a block.

        A gatherer that can serve nothing now may serve it in a moment, so
        that is not remembered, and the next query asks again.
        """
        if any(versions_by_shard.values()):
            self._offered_by_block[block_id] = dict(versions_by_shard)
        else:
            self._offered_by_block.pop(block_id, None)

    def forget(self, block_id: str) -> None:
        """Drops what was offered for a block."""
        self._offered_by_block.pop(block_id, None)

    def knows(self, block: config.Block) -> bool:
        """Tells whether any version is known for a block of others."""
        return block.id in self._offered_by_block

    def held_versions(
        self, group: config.ShardGroup, shards: Iterable[int]
    ) -> dict[int, tuple[int, ...]]:
        """Returns the versions that held leaves serve, for each shard."""
        state_by_id = self._leaves.state_by_id
        found: dict[int, tuple[int, ...]] = {}
        for shard in shards:
            versions: set[int] = set()
            for leaf_id in group.leaf_ids_by_shard[shard]:
                state = state_by_id.get(leaf_id)
                if state is None or not _can_serve(state, group, shard):
                    continue
                versions.update(state.versions)
            found[shard] = tuple(sorted(versions))
        return found

    def offered(
        self, group: config.ShardGroup, shards: Iterable[int]
    ) -> tuple[int, ...]:
        """Returns the versions that every one of some held shards serves."""
        rows = list(self.held_versions(group, shards).values())
        if not rows:
            return ()
        return tuple(sorted(set(rows[0]).intersection(*rows[1:])))

    def pin(
        self,
        group: config.ShardGroup,
        held: Iterable[config.Block],
        blocks: Iterable[config.Block],
    ) -> int | None:
        """Chooses the version for a query.

        Args:
            group: The shard group.
            held: The query's blocks that this node gathers.
            blocks: All of the query's blocks.
        """
        held_ids = {block.id for block in held}
        versions_by_shard: dict[int, tuple[int, ...]] = {}
        for block in blocks:
            if block.id in held_ids:
                own = self.held_versions(group, block.shards)
                versions_by_shard.update(own)
                continue
            versions_by_shard.update(self._offered_by_block.get(block.id, {}))
        return choose_version(versions_by_shard)


def _can_serve(
    state: board.LeafState, group: config.ShardGroup, shard: int
) -> bool:
    """Tells whether a leaf takes work for a shard of this partitioning."""
    return (
        state.phase == board.LeafPhase.UP
        and state.epoch == group.epoch
        and shard in state.shards
    )
