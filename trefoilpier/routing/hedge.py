"""When a second call for the same shard is worth its load."""

from trefoilpier import board

_FLOOR_S = 0.002
_LATE_SHARE_MAX = 0.5
_FEW_SHARDS = 3


class HedgePolicy:
    """Hedges after the latency quantile of the shard's fastest replica.

    The slow replica's own quantile would be too late, so the lowest of the
    shard's replicas counts. When most of the query's shards are late, the
    whole fleet is slow and more calls would make it slower.
    """

    __slots__ = ("_leaves",)

    def __init__(self, *, leaves: board.LeafSection) -> None:
        self._leaves = leaves

    def delay(self, leaf_ids: tuple[str, ...]) -> float:
        """Returns the seconds after a send at which a hedge is due."""
        state_by_id = self._leaves.state_by_id
        quantiles = [
            state_by_id[leaf_id].latency.quantile
            for leaf_id in leaf_ids
            if leaf_id in state_by_id
        ]
        return max(_FLOOR_S, min(quantiles, default=_FLOOR_S))

    def fleet_is_slow(self, *, late: int, total: int) -> bool:
        """Tells whether too many shards are late to blame single leaves.

        >>> HedgePolicy(leaves=board.LeafSection()).fleet_is_slow(
        ...     late=9, total=15)
        True
        """
        if total < _FEW_SHARDS:
            return False
        return late > _LATE_SHARE_MAX * total
