"""Choice among the leaves of one service for a request and its hedges."""

from collections.abc import Set

from trefoilpier import replicas
from trefoilpier.forward import environment, hedging
from trefoilpier.forward import wire as wires


class ServiceLeaves:
    """The leaves of one service, as a request to it sees them."""

    __slots__ = ("_env", "_service")

    def __init__(
        self, *, env: environment.ForwardEnvironment, service: str
    ) -> None:
        """Create it.

        Args:
            env: State and services of the VM.
            service: Name of the service.
        """
        self._env = env
        self._service = service

    def _pools(self) -> list[replicas.LeafPool]:
        return self._env.registry.pools_by_service.get(self._service, [])

    def choose(self, exclude: Set[str]) -> replicas.LeafPool | None:
        """Return the best leaf with free capacity, or None.

        Args:
            exclude: Ids of leaves that are not chosen.
        """
        return self._env.chooser.choose(
            self._pools(), now=self._env.clock.monotonic(), exclude=exclude
        )

    def notify_when_sendable(self) -> None:
        """Arrange for another try once a limited leaf takes a request."""
        for pool in self._pools():
            pool.notify_when_sendable()

    def shortest_wait_s(self, tried: Set[str]) -> float | None:
        """Return how soon the limit of a usable leaf allows the call.

        Args:
            tried: Ids of leaves that the call was sent to.

        Returns:
            Seconds, or None if no leaf is usable that it was not sent to.
        """
        now = self._env.clock.monotonic()
        return min(
            (
                pool.send_wait_s()
                for pool in self._pools()
                if pool.entry.id not in tried and not pool.stats.is_ejected(now)
            ),
            default=None,
        )

    def useless_ids(
        self,
        pool: replicas.LeafPool,
        call: replicas.LeafCall,
        *,
        tried: Set[str],
    ) -> frozenset[str]:
        """Return the leaves where a hedge would not overtake a late call.

        Args:
            pool: Leaf that has the call.
            call: The late call.
            tried: Ids of leaves that the call was sent to.
        """
        now = self._env.clock.monotonic()
        current_cost = pool.stats.expected_cost(now)
        elapsed = (now - call.started_at) / call.median_latency_s
        useless = []
        for other in self._pools():
            if other.entry.id in tried:
                continue
            load = other.stats.load(now)
            outlook = hedging.LeafOutlook(
                load=load,
                cost=other.stats.expected_cost(now, load=load),
                overdue=other.has_overdue_call(now),
            )
            if not hedging.may_answer_sooner(
                outlook, current_cost=current_cost, elapsed=elapsed
            ):
                useless.append(other.entry.id)
        return frozenset(useless)

    def apply_notices(
        self, pool: replicas.LeafPool, answer: wires.LeafAnswer
    ) -> None:
        """Apply what a leaf says about further requests to it."""
        self._env.registry.set_rate_limit(pool, answer.rate_limit)
        if answer.rest_s is not None:
            pool.rest(answer.rest_s)
        if answer.leaving:
            self._env.registry.handle_leaving(pool)
