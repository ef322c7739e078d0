"""Load balancing across the leaves of a service."""

import random
from collections.abc import Iterable, Set

from trefoilpier.replicas import policy as policies
from trefoilpier.replicas import pool

_JITTER = 0.1  # Keeps VMs with equal statistics from choosing the same leaf.


class LeafChooser:
    """Choice of the leaf with the lowest expected cost."""

    __slots__ = ("_policy", "_rng", "_zone")

    def __init__(
        self,
        *,
        rng: random.Random,
        zone: str,
        policy: policies.LeafPolicy | None = None,
    ) -> None:
        self._rng = rng
        self._zone = zone
        self._policy = policy or policies.LeafPolicy()

    def choose(
        self,
        pools: Iterable["pool.LeafPool"],
        *,
        now: float,
        exclude: Set[str] = frozenset(),
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
        load = candidate.stats.load(now)
        cost = candidate.stats.expected_cost(now, load=load)
        if candidate.entry.zone != self._zone:
            cost += self._policy.other_zone_cost
        if load >= 1.0:
            cost += self._policy.no_slot_cost
        if candidate.has_overdue_call(now):
            cost += self._policy.overdue_cost
        if candidate.suspect_count:
            cost += self._policy.suspect_cost
        return cost * (1.0 + _JITTER * self._rng.random())
