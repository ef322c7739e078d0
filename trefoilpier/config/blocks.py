"""Partition of a shard group into blocks that are placed together."""

from trefoilpier.config import model


def _connected_components(
    leaf_ids_by_shard: tuple[tuple[str, ...], ...],
) -> list[list[int]]:
    """Return the sets of shards that are connected by shared leaves.

    All shards of a leaf are in one set, so that each leaf belongs to exactly
    one block.
    """
    parent_by_shard = list(range(len(leaf_ids_by_shard)))
    first_shard_by_leaf: dict[str, int] = {}

    def find_root(shard: int) -> int:
        while parent_by_shard[shard] != shard:
            shard = parent_by_shard[shard]
        return shard

    for shard, leaf_ids in enumerate(leaf_ids_by_shard):
        for leaf_id in leaf_ids:
            first_shard = first_shard_by_leaf.setdefault(leaf_id, shard)
            low, high = sorted((find_root(first_shard), find_root(shard)))
            parent_by_shard[high] = low
    shards_by_root: dict[int, list[int]] = {}
    for shard in range(len(leaf_ids_by_shard)):
        shards_by_root.setdefault(find_root(shard), []).append(shard)
    return list(shards_by_root.values())


def make_blocks(
    *,
    group: str,
    leaf_ids_by_shard: tuple[tuple[str, ...], ...],
    block_size: int,
) -> tuple[model.Block, ...]:
    """Partition the shards of a group into blocks.

    All replicas of a shard belong to the same block, so that the gatherer of
    the block can choose among them and hedge without another network hop.

    Args:
        group: The shard group's name.
        leaf_ids_by_shard: The leaves that hold a replica of each shard.
        block_size: Maximum number of leaves in a block. A block exceeds it
            only if shards that share leaves need more.

    Returns:
        The blocks, in the order of their lowest shard.

    >>> made = make_blocks(group="g", leaf_ids_by_shard=(("a",), ("b",),
    ...     ("a", "c")), block_size=2)
    >>> [block.shards for block in made]
    [(0, 2), (1,)]
    """
    block_shards: list[list[int]] = []
    block_leaves: list[set[str]] = []
    for component in _connected_components(leaf_ids_by_shard):
        component_leaves = {
            leaf for shard in component for leaf in leaf_ids_by_shard[shard]
        }
        if (
            block_shards
            and len(block_leaves[-1] | component_leaves) <= block_size
        ):
            block_shards[-1].extend(component)
            block_leaves[-1] |= component_leaves
            continue
        block_shards.append(list(component))
        block_leaves.append(component_leaves)
    return tuple(
        model.Block(
            id=f"{group}/{index}",
            group=group,
            shards=tuple(sorted(component)),
            leaf_ids=tuple(sorted(block_leaves[index])),
        )
        for index, component in enumerate(block_shards)
    )
