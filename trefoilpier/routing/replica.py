"""Choice between the replicas of a shard."""

import random

from trefoilpier import board

_ASKED_FACTOR = 3.0
_LOAD_HINT_WEIGHT = 0.2
_LOAD_HINT_AGE_S = 2.0


class ReplicaChooser:
    """Two random choices by own calls in flight and recent latency.

    The latency that was seen fades towards the best replica's, so that a leaf
    that was slow is tried again. A reported load adds a fifth at most, and
    nothing once it is two seconds old, since reports lag or mislead.
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
        avoid: frozenset[str] | set[str] = frozenset(),
        asked: frozenset[str] | set[str] = frozenset(),
    ) -> board.LeafState | None:
        """Chooses a leaf for a call.

        Args:
            leaf_ids: The replicas of the shard in the pinned map.
            shard: The shard.
            version: The pinned index version.
            now: Monotonic instant.
            avoid: Leaves that are not asked.
            asked: Leaves with a call out for this shard; one of them is
                chosen only when the others are several times slower.

        Returns:
            The row of the leaf, or None when no replica can be asked.
        """
        candidates = self._eligible(leaf_ids, shard, version, avoid)
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        first, second = candidates
        best = _best_mean(first, second)
        cost_first = self._cost(first, now, best)
        cost_second = self._cost(second, now, best)
        if first.leaf.id in asked:
            cost_first *= _ASKED_FACTOR
        if second.leaf.id in asked:
            cost_second *= _ASKED_FACTOR
        if cost_first == cost_second:
            return first if self._random.random() < 0.5 else second
        return first if cost_first < cost_second else second

    def _eligible(
        self,
        leaf_ids: tuple[str, ...],
        shard: int,
        version: int,
        avoid: frozenset[str] | set[str],
    ) -> list[board.LeafState]:
        """Returns the replicas that take new work and have the version.

        A leaf that is down is kept as the last resort: its state may be old,
        and asking it costs nothing when it does not listen.
        """
        up = []
        down = []
        for leaf_id in leaf_ids:
            state = self._leaves.state_by_id.get(leaf_id)
            if state is None or leaf_id in avoid:
                continue
            if state.phase == board.LeafPhase.DRAINING:
                continue
            if state.versions and version not in state.versions:
                continue
            if state.shards and shard not in state.shards:
                continue
            if state.phase == board.LeafPhase.UP:
                up.append(state)
            else:
                down.append(state)
        return up or down

    def _cost(self, state: board.LeafState, now: float, best: float) -> float:
        """Estimates the seconds until an answer of a leaf."""
        mean = state.latency.mean
        if not state.latency.samples:
            # Nothing is known of it, so it is tried like the best one.
            mean = best
        elif mean > best:
            age = now - state.sampled_at
            mean = best + (mean - best) * 0.5 ** (age / board.MEAN_HALF_LIFE_S)
        busy = (state.in_flight + state.queued + 1) / max(1.0, state.limit)
        hint = 0.0
        if now - state.reported_at < _LOAD_HINT_AGE_S:
            hint = _LOAD_HINT_WEIGHT * min(1.0, max(0.0, state.reported_load))
        return mean * busy * (1.0 + hint)


def _best_mean(first: board.LeafState, second: board.LeafState) -> float:
    """Returns the lower mean latency of the leaves that have samples."""
    means = [
        state.latency.mean for state in (first, second) if state.latency.samples
    ]
    return min(means, default=first.latency.mean)
