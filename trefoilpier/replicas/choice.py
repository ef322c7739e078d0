"""Load balancing across the leaves of a service."""

import random
from collections.abc import Iterable

from trefoilpier.replicas import pool

# Costs are in units of the median latency. Traffic between availability zones
# is expensive, so a leaf of another zone is chosen only if the local leaves are
# slower by this much: when they are slow or have no free slot.
_OTHER_ZONE_COST = 1.2
_NO_SLOT_COST = 0.5  # Average wait until a slot is free.
_JITTER = 0.1  # Keeps VMs with equal statistics from choosing the same leaf.
_OVERDUE_COST = 3.0  # An overdue call indicates a paused leaf.


class LeafChooser:
    """Choice of the leaf with the lowest expected cost."""

    __slots__ = ("_rng", "_zone")

    def __init__(self, *, rng: random.Random, zone: str) -> None:
        self._rng = rng
        self._zone = zone

    def choose(
        self,
        pools: Iterable["pool.LeafPool"],
        *,
        now: float,
        exclude: frozenset[str] | set[str] = frozenset(),
    ) -> "pool.LeafPool | None":
        """Return the best leaf that has free capacity, or None.

        Args:
            pools: The leaves of the service.
            now: Monotonic time.
            exclude: Ids of leaves to which the request was already sent.
        """
        best = None
        lowest_cost = float("inf")
        for candidate in pools:
            if candidate.entry.id in exclude or not candidate.has_capacity():
                continue
            if candidate.stats.is_ejected(now):
                continue
            cost = self._cost(candidate, now)
            if cost < lowest_cost:
                best, lowest_cost = candidate, cost
        return best

    def _cost(self, candidate: "pool.LeafPool", now: float) -> float:
        cost = candidate.stats.expected_cost(now)
        if candidate.entry.zone != self._zone:
            cost += _OTHER_ZONE_COST
        if candidate.stats.load(now) >= 1.0:
            cost += _NO_SLOT_COST
        if candidate.has_overdue_call(now):
            cost += _OVERDUE_COST
        return cost * (1.0 + _JITTER * self._rng.random())
