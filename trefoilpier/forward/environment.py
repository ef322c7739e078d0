"""What the runs and calls of requests need from the VM."""

import abc
from collections.abc import Callable

from trefoilpier import base, http1, quarantine, replicas, routes
from trefoilpier.forward import (
    budget,
    latency,
    policy,
    request_context,
    wait_queue,
)
from trefoilpier.forward import wire as wires

# The first call of a gather that is lost is sent again once another shard has
# answered, or after this multiple of the median latency: if the request crashes
# leaves, another one is lost by then.
_PATIENCE_FACTOR = 2.0
_PATIENCE_MIN_S = 0.03
_PATIENCE_MAX_S = 0.25


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
        if context.route.gather is not None and self.gate.is_refused_early(
            context.identity,
            lost=bool(context.lost_count and not context.answered_count),
        ):
            return True
        return context.seems_to_crash_leaves or self.gate.is_barred(
            context.identity, on_trial=context.on_trial
        )

    def is_held_back(
        self,
        context: request_context.RequestContext,
        resume: Callable[[], None] | None = None,
    ) -> bool:
        """Return whether calls of a gathered request wait for a decision.

        Args:
            context: The request.
            resume: Called once it is decided whether it crashes leaves.
        """
        if self.gate is None or context.identity is None:
            return False
        if context.route.gather is None:
            return False
        return self.gate.is_held_back(context.identity, resume)

    def record_lost(
        self,
        context: request_context.RequestContext,
        leaf: replicas.LeafEntry,
        loss: replicas.CallLoss,
    ) -> None:
        """Record a call of a request that was lost by disconnection.

        Args:
            context: The request.
            leaf: Entry of the leaf.
            loss: The loss and its cause, once that is known.
        """
        if self.gate is None or self.gate.cases is None:
            return
        if context.identity is None or context.route.gather is None:
            return
        median_s = self.latency_for(context.route).median_s
        self.gate.cases.record_lost(
            quarantine.Loss(
                identity=context.identity,
                service=leaf.service,
                leaf=leaf.id,
                call_loss=loss,
                services=context.route.gather.services,
                one_first=context.one_first,
                answered=context.answered_count,
                patience_s=min(
                    _PATIENCE_MAX_S,
                    max(_PATIENCE_MIN_S, _PATIENCE_FACTOR * median_s),
                ),
            )
        )

    def record_answer(
        self, context: request_context.RequestContext, service: str
    ) -> None:
        """Record that a leaf has run a request and answered it."""
        context.answered_count += 1
        if self.gate is not None and context.identity is not None:
            self.gate.record_answer(context.identity, service)
            if self.gate.cases is not None:
                self.gate.cases.record_answer(
                    context.identity.fingerprint, context.answered_count
                )

    def record_gathered(self, context: request_context.RequestContext) -> None:
        """Record a gather that was answered, if no leaf was lost under it."""
        if self.gate is None or self.gate.early is None:
            return
        if context.identity is not None and not context.lost_count:
            self.gate.early.record_gathered(context.identity.fingerprint)

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
