"""What the requests to one service, or on one route, share at one VM."""

from trefoilpier import base, routes
from trefoilpier.forward import (
    budget,
    latency,
    wait_queue,
    weighted_round_robin,
)


class SharedStates:
    """Budgets and queues by service, latencies and splits by route.

    Attributes:
        vm_count: VMs that share each service's retry allowance.
        budget_by_service: Budgets of retries and hedges.
        queue_by_service: Queues of calls that wait for a leaf.
        latency_by_route: Latency estimators by the name of the route.
    """

    __slots__ = (
        "_budget_limits",
        "_by_objective",
        "_clock",
        "_split_by_route",
        "_started_at",
        "budget_by_service",
        "latency_by_route",
        "queue_by_service",
        "vm_count",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        budget_limits: budget.RetryBudgetLimits,
        by_objective: bool,
    ) -> None:
        """Start without states; each is made when it is first used.

        Args:
            clock: Clock of the budgets and queues.
            budget_limits: Limits on retries and hedges to one service.
            by_objective: Whether queued calls are ordered by their objective.
        """
        self._clock = clock
        self._budget_limits = budget_limits
        self._by_objective = by_objective
        self._started_at = clock.monotonic()
        self.vm_count = budget.ASSUMED_VM_COUNT
        self.budget_by_service: dict[str, budget.RetryBudget] = {}
        self.queue_by_service: dict[str, wait_queue.WaitQueue] = {}
        self.latency_by_route: dict[str, latency.LatencyEstimator] = {}
        self._split_by_route: dict[
            str, weighted_round_robin.WeightedRoundRobin
        ] = {}

    def budget_for(self, service: str) -> budget.RetryBudget:
        """Return the budget of retries and hedges of a service."""
        service_budget = self.budget_by_service.get(service)
        if service_budget is None:
            service_budget = self._budget_limits.make_budget(
                self._clock, self.vm_count, self._started_at
            )
            self.budget_by_service[service] = service_budget
        return service_budget

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share each service's retry allowance."""
        self.vm_count = max(1, count)
        for service_budget in self.budget_by_service.values():
            service_budget.allowance = (
                self._budget_limits.allowance / self.vm_count
            )

    def queue_for(self, service: str) -> wait_queue.WaitQueue:
        """Return the queue of calls that wait for a leaf of a service."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = wait_queue.WaitQueue(
                clock=self._clock, by_objective=self._by_objective
            )
            self.queue_by_service[service] = queue
        return queue

    def dispatch(self, service: str) -> None:
        """Start queued calls to a service, as far as leaves have capacity."""
        queue = self.queue_by_service.get(service)
        if queue is not None:
            queue.dispatch()

    def latency_for(self, route: routes.Route) -> latency.LatencyEstimator:
        """Return the latency estimator of a route."""
        estimator = self.latency_by_route.get(route.name)
        if estimator is None:
            estimator = latency.LatencyEstimator(objective_s=route.objective_s)
            self.latency_by_route[route.name] = estimator
        return estimator

    def choose_services(self, route: routes.Route) -> tuple[str, ...]:
        """Return all shards of a route, or its next service by weight."""
        if route.gather is not None:
            return route.gather.services
        if len(route.targets) == 1:
            return (route.targets[0].name,)
        selector = self._split_by_route.get(route.name)
        if selector is None or selector.targets != route.targets:
            selector = weighted_round_robin.WeightedRoundRobin(
                targets=route.targets
            )
            self._split_by_route[route.name] = selector
        return (selector.next(),)

    def drop_unused(
        self, previous: routes.RouteTable, current: routes.RouteTable
    ) -> None:
        """Drop the state of services and routes in neither version.

        State of the previous version is kept for requests in flight. So are
        queues in which calls wait, and budgets that a window still counts:
        versions may follow each other within a batch, and name a service again.
        """
        services = previous.used_services | current.used_services
        route_names = {
            route.name for route in (*previous.routes, *current.routes)
        }
        for service in set(self.queue_by_service) - services:
            if not self.queue_by_service[service].count:
                del self.queue_by_service[service]
        for service in set(self.budget_by_service) - services:
            if self.budget_by_service[service].is_unused():
                del self.budget_by_service[service]
        for by_route in (self.latency_by_route, self._split_by_route):
            for name in set(by_route) - route_names:
                del by_route[name]
