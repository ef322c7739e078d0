"""State that all calls of one request share."""

from dataclasses import dataclass, field

from trefoilpier import accounts, http1, replicas, routes
from trefoilpier.forward import admission
from trefoilpier.forward import wire as wires

_LOST_MIN = 3  # Fewer leaves may end at the same time by chance.


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """State shared by all calls of one request.

    Attributes:
        request: The caller's request.
        template: The request as it is forwarded to leaves.
        metadata: Request id and timeout stated by the caller.
        route: Route of the request, fixed when it was received.
        deadline: Monotonic time at which the caller stops waiting.
        objective_deadline: Monotonic time after which the answer misses the
            route's latency objective.
        identity: What the request has in common with its repeats; None if
            leaves that end do not count against it.
        suspect: Whether it may crash leaves, and so is sent to one at a time.
        one_first: Whether it is sent to one shard before the others.
        canary: Whether the only reason is that nothing is known about it.
        on_trial: Whether it is the one trial after a bar.
        lost_count: Calls whose leaf closed the connection.
        losses: These calls, and why they were lost.
        answered_count: Calls that a leaf ran and answered.
        shard_states: State of each shard's service when a gathered request was
            admitted; empty if it was not estimated.
        account: Client account of the caller; None if not known or not used.
        quota_held: Whether the request counts against its account's quota.
        sent: Whether the request was sent to any leaf.
    """

    request: http1.HttpRequest
    template: http1.RequestTemplate
    metadata: wires.RequestMetadata
    route: routes.Route
    deadline: float
    objective_deadline: float
    identity: replicas.RequestIdentity | None = None
    suspect: bool = False
    one_first: bool = False
    canary: bool = False
    on_trial: bool = False
    lost_count: int = 0
    losses: list[replicas.CallLoss] = field(default_factory=list)
    answered_count: int = 0
    shard_states: tuple[admission.ServiceState, ...] = ()
    account: accounts.Account | None = None
    quota_held: bool = False
    sent: bool = False

    @property
    def priority(self) -> int:
        """Priority of the account, or of the route; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def may_crash_leaves(self) -> bool:
        """Whether it is sent to one leaf at a time.

        One answer shows that a leaf survives the request, and so does a leaf
        that has lost no more than the connection.
        """
        if self.suspect or self.answered_count:
            return self.suspect
        return any(not loss.harmless for loss in self.losses)

    def may_crash_leaves_of(self, service: str) -> bool:
        """Return whether a late call to a service gets no second send.

        A leaf that has ended shows little about those of other shards that
        answer.

        Args:
            service: Service of the leaves.
        """
        return self.may_crash_leaves or any(
            loss.service == service and not loss.harmless
            for loss in self.losses
        )

    @property
    def seems_to_crash_leaves(self) -> bool:
        """Whether many of its leaves were lost and none has answered."""
        if self.answered_count or self.lost_count < _LOST_MIN:
            return False
        return 2 * self.lost_count >= len(self.route.service_names)
