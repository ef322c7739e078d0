"""What the runs and calls of requests need from the VM."""

import abc

from trefoilpier import base, http1, quarantine, replicas, routes
from trefoilpier.forward import (
    budget,
    latency,
    policy,
    request_context,
    wait_queue,
)
from trefoilpier.forward import wire as wires


class ForwardEnvironment(abc.ABC):
    """State and services of one VM that requests share.

    Attributes:
        clock: Clock for deadlines and timers.
        registry: Known leaves and their connection pools.
        chooser: Load balancer across the leaves of a service.
        wire: Reader and writer of callers' and leaves' headers.
        policy: Settings of the decisions.
        gate: Admission by the evidence against requests; None if leaves that
            end do not count against them.
    """

    __slots__ = ("chooser", "clock", "gate", "policy", "registry", "wire")

    clock: base.Clock
    registry: replicas.LeafRegistry
    chooser: replicas.LeafChooser
    wire: wires.LeafWire
    policy: policy.ForwardPolicy
    gate: quarantine.QuarantineGate | None

    def is_barred(self, context: request_context.RequestContext) -> bool:
        """Return whether a request may not be sent to any further leaf."""
        if self.gate is None or context.identity is None:
            return False
        if context.on_trial and context.lost_count:
            return True
        return context.seems_to_crash_leaves or self.gate.is_barred(
            context.identity
        )

    def record_answer(
        self, context: request_context.RequestContext, service: str
    ) -> None:
        """Record that a leaf has run a request and answered it."""
        context.answered_count += 1
        if self.gate is not None and context.identity is not None:
            self.gate.record_answer(context.identity, service)

    def suspected_services(
        self, context: request_context.RequestContext
    ) -> frozenset[str]:
        """Return the services whose leaves have ended under a request."""
        if self.gate is None or context.identity is None:
            return frozenset()
        return self.gate.suspected_services(context.identity)

    @abc.abstractmethod
    def budget_for(self, service: str) -> budget.RetryBudget:
        """Return the budget of retries and hedges of a service."""

    @abc.abstractmethod
    def queue_for(self, service: str) -> wait_queue.WaitQueue:
        """Return the queue of calls that wait for a leaf of a service."""

    @abc.abstractmethod
    def latency_for(self, route: routes.Route) -> latency.LatencyEstimator:
        """Return the latency estimator of a route."""

    @abc.abstractmethod
    def record_send(self, *, extra: bool) -> None:
        """Count a request sent to a leaf.

        Args:
            extra: Whether it was a retry or a hedge.
        """

    @abc.abstractmethod
    def log_lost_call(
        self,
        context: request_context.RequestContext,
        leaf_id: str,
        reason: str,
    ) -> None:
        """Log a call to a leaf that ended without a response."""

    @abc.abstractmethod
    def finish(
        self,
        exchange: http1.Exchange,
        context: request_context.RequestContext,
        code: base.ResultCode,
        response: http1.HttpResponse,
        fields: dict,
    ) -> None:
        """Send the response to an admitted request and log it."""

    @abc.abstractmethod
    def handle_caller_disconnect(
        self,
        context: request_context.RequestContext,
        received_at: float,
    ) -> None:
        """Log a caller that disconnected before its response."""
