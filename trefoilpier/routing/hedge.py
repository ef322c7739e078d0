"""The policy that decides when a hedge is due."""

from trefoilpier import board

_HEDGE_DELAY_MIN_S = 0.002
_LATE_SHARDS_MAX_FRACTION = 0.5
_SLOW_FLEET_SHARDS_MIN = 3


class HedgePolicy:
    """Hedging after the latency quantile of the shard's fastest replica.

    The lowest quantile among the shard's replicas is used, because a hedge
    after a slow replica's own quantile would be too late. When most shards of
    a query are late, the whole fleet is slow and more calls would make it
    slower.
    """

    __slots__ = ("_leaves",)

    def __init__(self, *, leaves: board.LeafSection) -> None:
        self._leaves = leaves

    def delay(self, leaf_ids: tuple[str, ...]) -> float:
        """Return the delay from sending a call to its hedge, in seconds."""
        state_by_id = self._leaves.state_by_id
        quantiles = [
            state_by_id[leaf_id].latency.quantile
            for leaf_id in leaf_ids
            if leaf_id in state_by_id
        ]
        return max(
            _HEDGE_DELAY_MIN_S, min(quantiles, default=_HEDGE_DELAY_MIN_S)
        )

    def fleet_is_slow(self, *, late: int, total: int) -> bool:
        """Return whether too many shards are late to blame single leaves.

        >>> HedgePolicy(leaves=board.LeafSection()).fleet_is_slow(
        ...     late=9, total=15)
        True
        """
        if total < _SLOW_FLEET_SHARDS_MIN:
            return False
        return late > _LATE_SHARDS_MAX_FRACTION * total
