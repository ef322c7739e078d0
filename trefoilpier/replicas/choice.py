"""Which leaf of a service gets a request."""

import random
from collections.abc import Iterable

from trefoilpier.replicas import pool

# Bytes between zones are dear: a near leaf is left for a distant one when its
# answer would take so much longer, as a share of the usual time: when it has no
# free slot, or is slow.
_OTHER_ZONE_COST = 1.2
_FULL_COST = 0.5  # A request waits for half a usual time until a slot is free.
_JITTER = 0.1  # Keeps VMs with equal views from choosing the same leaf.
_OVERDUE_COST = 3.0  # A call that is overdue marks a pause of the leaf.


class LeafChooser:
    """Takes the leaf with the least expected time, near ones first."""

    __slots__ = ("_rng", "_zone")

    def __init__(self, *, rng: random.Random, zone: str) -> None:
        self._rng = rng
        self._zone = zone

    def choose(
        self,
        pools: Iterable["pool.LeafPool"],
        *,
        now: float,
        avoid: frozenset[str] | set[str] = frozenset(),
    ) -> "pool.LeafPool | None":
        """Returns the best leaf that has room, or None.

        Args:
            pools: The leafs of the service.
            now: Monotonic instant.
            avoid: Ids of leafs that had the request already.
        """
        best = None
        best_cost = float("inf")
        for candidate in pools:
            if candidate.entry.id in avoid or not candidate.has_room():
                continue
            if candidate.stats.ejected(now):
                continue
            cost = self._cost(candidate, now)
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _cost(self, candidate: "pool.LeafPool", now: float) -> float:
        cost = candidate.stats.expected_cost(now)
        if candidate.entry.zone != self._zone:
            cost += _OTHER_ZONE_COST
        if candidate.stats.load(now) >= 1.0:
            cost += _FULL_COST
        if candidate.overdue(now):
            cost += _OVERDUE_COST
        return cost * (1.0 + _JITTER * self._rng.random())
