"""Divides the shards of a group into blocks that are placed together."""

from trefoilpier.config import model


def _linked_runs(
    leaf_ids_by_shard: tuple[tuple[str, ...], ...],
) -> list[list[int]]:
    """Joins shards that share a leaf, so that a leaf is in one block."""
    root_by_shard = list(range(len(leaf_ids_by_shard)))
    first_by_leaf: dict[str, int] = {}

    def root(shard: int) -> int:
        while root_by_shard[shard] != shard:
            shard = root_by_shard[shard]
        return shard

    for shard, leaf_ids in enumerate(leaf_ids_by_shard):
        for leaf_id in leaf_ids:
            other = first_by_leaf.setdefault(leaf_id, shard)
            low, high = sorted((root(other), root(shard)))
            root_by_shard[high] = low
    shards_by_root: dict[int, list[int]] = {}
    for shard in range(len(leaf_ids_by_shard)):
        shards_by_root.setdefault(root(shard), []).append(shard)
    return list(shards_by_root.values())


def make_blocks(
    *,
    group: str,
    leaf_ids_by_shard: tuple[tuple[str, ...], ...],
    block_size: int,
) -> tuple[model.Block, ...]:
    """Groups shards with all their replicas into blocks of leaves.

    All replicas of a shard are in one block, so that its gatherer can choose
    among them and hedge without another hop.

    Args:
        group: The shard group's name.
        leaf_ids_by_shard: The replicas of each shard.
        block_size: Leaves in a block, unless shards that share leaves
            need more.

    >>> made = make_blocks(group="g", leaf_ids_by_shard=(("a",), ("b",),
    ...     ("a", "c")), block_size=2)
    >>> [block.shards for block in made]
    [(0, 2), (1,)]
    """
    runs: list[list[int]] = []
    leaves: list[set[str]] = []
    for run in _linked_runs(leaf_ids_by_shard):
        own = {leaf for shard in run for leaf in leaf_ids_by_shard[shard]}
        if runs and len(leaves[-1] | own) <= block_size:
            runs[-1].extend(run)
            leaves[-1] |= own
            continue
        runs.append(list(run))
        leaves.append(own)
    return tuple(
        model.Block(
            id=f"{group}/{index}",
            group=group,
            shards=tuple(sorted(run)),
            leaf_ids=tuple(sorted(leaves[index])),
        )
        for index, run in enumerate(runs)
    )
