"""Load balancing between the replicas of a shard."""

import random

from trefoilpier import board

_PENDING_COST_FACTOR = 3.0
_REPORTED_LOAD_WEIGHT = 0.2
_REPORTED_LOAD_MAX_AGE_S = 2.0


class ReplicaChooser:
    """Power-of-two-choices selection by expected latency.

    The expected latency is based on this node's calls to the leaf and on the
    observed mean latency. A high mean decays towards the lower one of the two
    candidates, so that a leaf that was slow is tried again. The load reported
    by a leaf adds at most a fifth and is ignored after two seconds, because
    such reports can be delayed or wrong.
    """

    __slots__ = ("_leaves", "_random")

    def __init__(
        self, *, leaves: board.LeafSection, rng: random.Random
    ) -> None:
        self._leaves = leaves
        self._random = rng

    def choose(
        self,
        leaf_ids: tuple[str, ...],
        *,
        shard: int,
        version: int,
        now: float,
        excluded: frozenset[str] | set[str] = frozenset(),
        pending: frozenset[str] | set[str] = frozenset(),
    ) -> board.LeafState | None:
        """Choose a leaf for a call.

        Args:
            leaf_ids: The replicas of the shard in the pinned shard map.
            shard: The shard.
            version: The pinned index version.
            now: The current monotonic time.
            excluded: Leaves that are never chosen.
            pending: Leaves with a pending call for this shard. They are chosen
                only if the alternative is several times slower.

        Returns:
            The state of the chosen leaf, or None if no replica is eligible.
        """
        candidates = self._eligible_replicas(leaf_ids, shard, version, excluded)
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        first, second = candidates
        best_mean = _best_mean(first, second)
        first_cost = self._expected_latency(first, now, best_mean)
        second_cost = self._expected_latency(second, now, best_mean)
        if first.leaf.id in pending:
            first_cost *= _PENDING_COST_FACTOR
        if second.leaf.id in pending:
            second_cost *= _PENDING_COST_FACTOR
        if first_cost == second_cost:
            return first if self._random.random() < 0.5 else second
        return first if first_cost < second_cost else second

    def _eligible_replicas(
        self,
        leaf_ids: tuple[str, ...],
        shard: int,
        version: int,
        excluded: frozenset[str] | set[str],
    ) -> list[board.LeafState]:
        """Return the replicas that accept calls and serve the version.

        Leaves that are down are returned only if no replica is up: their
        state may be outdated, and a call to a leaf that doesn't listen costs
        nothing.
        """
        up_leaves = []
        down_leaves = []
        for leaf_id in leaf_ids:
            leaf_state = self._leaves.state_by_id.get(leaf_id)
            if leaf_state is None or leaf_id in excluded:
                continue
            if leaf_state.phase == board.LeafPhase.DRAINING:
                continue
            if leaf_state.versions and version not in leaf_state.versions:
                continue
            if leaf_state.shards and shard not in leaf_state.shards:
                continue
            if leaf_state.phase == board.LeafPhase.UP:
                up_leaves.append(leaf_state)
            else:
                down_leaves.append(leaf_state)
        return up_leaves or down_leaves

    def _expected_latency(
        self, leaf_state: board.LeafState, now: float, best_mean: float
    ) -> float:
        """Estimate the response time of a leaf, in seconds."""
        mean = leaf_state.latency.mean
        if not leaf_state.latency.samples:
            # Without samples, a leaf is assumed to be as fast as the best.
            mean = best_mean
        elif mean > best_mean:
            age = now - leaf_state.sampled_at
            mean = best_mean + (mean - best_mean) * 0.5 ** (
                age / board.MEAN_HALF_LIFE_S
            )
        utilization = (leaf_state.in_flight + leaf_state.queued + 1) / max(
            1.0, leaf_state.limit
        )
        load_penalty = 0.0
        if now - leaf_state.reported_at < _REPORTED_LOAD_MAX_AGE_S:
            load_penalty = _REPORTED_LOAD_WEIGHT * min(
                1.0, max(0.0, leaf_state.reported_load)
            )
        return mean * utilization * (1.0 + load_penalty)


def _best_mean(first: board.LeafState, second: board.LeafState) -> float:
    """Return the lower mean latency among the leaves that have samples."""
    means = [
        leaf_state.latency.mean
        for leaf_state in (first, second)
        if leaf_state.latency.samples
    ]
    return min(means, default=first.latency.mean)
