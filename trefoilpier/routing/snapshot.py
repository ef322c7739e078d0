"""Selection of the index version to which a query is pinned."""

from collections.abc import Iterable, Mapping

from trefoilpier import board, config


def choose_version(
    versions_by_shard: Mapping[int, Iterable[int]],
) -> int | None:
    """Choose the newest version among those that most shards can serve.

    The newest version that all shards can serve is preferred. If there is
    none, the version with the largest coverage is chosen, and the newest one
    of these if several have the same coverage.

    Args:
        versions_by_shard: For each shard, the versions served by at least one
            of its usable replicas.

    Returns:
        The version, or None if no shard can serve any.

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
    """The index versions that each shard of a group can serve.

    The versions of held shards are read from the leaves on the blackboard.
    For blocks gathered by other nodes, the versions last offered by a
    gatherer are cached.
    """

    __slots__ = ("_leaves", "_versions_by_block")

    def __init__(self, *, leaves: board.LeafSection) -> None:
        self._leaves = leaves
        self._versions_by_block: dict[str, dict[int, tuple[int, ...]]] = {}

    def cache_offer(
        self, block_id: str, versions_by_shard: Mapping[int, tuple[int, ...]]
    ) -> None:
        """Cache the versions that another gatherer offered for a block.

        An offer without any version is not cached, because the gatherer may
        be able to serve the block soon. The next query then asks again.
        """
        if any(versions_by_shard.values()):
            self._versions_by_block[block_id] = dict(versions_by_shard)
        else:
            self._versions_by_block.pop(block_id, None)

    def discard_offer(self, block_id: str) -> None:
        """Discard the cached versions of a block."""
        self._versions_by_block.pop(block_id, None)

    def has_offer(self, block: config.Block) -> bool:
        """Return whether versions are cached for another node's block."""
        return block.id in self._versions_by_block

    def held_versions(
        self, group: config.ShardGroup, shards: Iterable[int]
    ) -> dict[int, tuple[int, ...]]:
        """Return the versions that the held leaves of each shard serve."""
        state_by_id = self._leaves.state_by_id
        held_versions_by_shard: dict[int, tuple[int, ...]] = {}
        for shard in shards:
            versions: set[int] = set()
            for leaf_id in group.leaf_ids_by_shard[shard]:
                leaf_state = state_by_id.get(leaf_id)
                if leaf_state is None or not _can_serve(
                    leaf_state, group, shard
                ):
                    continue
                versions.update(leaf_state.versions)
            held_versions_by_shard[shard] = tuple(sorted(versions))
        return held_versions_by_shard

    def common_versions(
        self, group: config.ShardGroup, shards: Iterable[int]
    ) -> tuple[int, ...]:
        """Return the versions that all of the given held shards serve."""
        versions_per_shard = list(self.held_versions(group, shards).values())
        if not versions_per_shard:
            return ()
        return tuple(
            sorted(
                set(versions_per_shard[0]).intersection(*versions_per_shard[1:])
            )
        )

    def choose_pinned_version(
        self,
        group: config.ShardGroup,
        held: Iterable[config.Block],
        blocks: Iterable[config.Block],
    ) -> int | None:
        """Choose the version to which a query is pinned.

        Args:
            group: The shard group.
            held: The query's blocks that this node gathers.
            blocks: All blocks of the query.
        """
        held_ids = {block.id for block in held}
        versions_by_shard: dict[int, tuple[int, ...]] = {}
        for block in blocks:
            if block.id in held_ids:
                versions_of_block = self.held_versions(group, block.shards)
                versions_by_shard.update(versions_of_block)
                continue
            versions_by_shard.update(self._versions_by_block.get(block.id, {}))
        return choose_version(versions_by_shard)


def _can_serve(
    leaf_state: board.LeafState, group: config.ShardGroup, shard: int
) -> bool:
    """Return whether a leaf accepts calls for a shard of this epoch."""
    return (
        leaf_state.phase == board.LeafPhase.UP
        and leaf_state.epoch == group.epoch
        and shard in leaf_state.shards
    )
