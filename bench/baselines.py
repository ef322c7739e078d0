"""Simple routing and hedging policies, as baselines for comparison."""

import random

from trefoilpier import board, node, routing

_NEVER_S = 1e9


class RandomChooser(routing.ReplicaChooser):
    """Random choice among the replicas that are up and have the version."""

    __slots__ = ("_section", "_source")

    def __init__(
        self, *, leaves: board.LeafSection, rng: random.Random
    ) -> None:
        super().__init__(leaves=leaves, rng=rng)
        self._section = leaves
        self._source = rng

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
        """Choose a leaf at random."""
        states = [
            self._section.state_by_id[leaf_id]
            for leaf_id in leaf_ids
            if leaf_id in self._section.state_by_id
            and leaf_id not in excluded
            and leaf_id not in pending
        ]
        usable = [
            state
            for state in states
            if state.phase == board.LeafPhase.UP and version in state.versions
        ]
        return self._source.choice(usable) if usable else None


class FixedHedge(routing.HedgePolicy):
    """Hedging after a fixed delay, regardless of the state of the fleet."""

    __slots__ = ("_delay",)

    def __init__(self, *, leaves: board.LeafSection, delay: float) -> None:
        super().__init__(leaves=leaves)
        self._delay = delay

    def delay(self, leaf_ids: tuple[str, ...]) -> float:
        """Return the fixed delay."""
        return self._delay

    def fleet_is_slow(self, *, late: int, total: int) -> bool:
        """Return False, so that hedging is never suppressed."""
        return False


def use_no_hedging(entry_node: node.Node, rng: random.Random) -> None:
    """Use baseline (a): a random replica, no hedging."""
    leaves = entry_node.board.leaves
    entry_node.context.chooser = RandomChooser(leaves=leaves, rng=rng)
    entry_node.context.hedge_policy = FixedHedge(leaves=leaves, delay=_NEVER_S)


def use_fixed_hedging(entry_node: node.Node, rng: random.Random) -> None:
    """Use baseline (b): a random replica, a hedge after 20 ms."""
    leaves = entry_node.board.leaves
    entry_node.context.chooser = RandomChooser(leaves=leaves, rng=rng)
    entry_node.context.hedge_policy = FixedHedge(leaves=leaves, delay=0.020)
