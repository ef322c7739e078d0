"""Settings of the decisions on callers' requests."""

from dataclasses import dataclass, field

from trefoilpier import replicas


@dataclass(slots=True, kw_only=True, frozen=True)
class ForwardPolicy:
    """Switches and limits of the decisions on callers' requests.

    Attributes:
        leaves: Settings of the choice between leaves.
        admission: Whether a request is refused at once if it cannot be
            answered in time.
        hedging: Whether a late call is sent to a second leaf.
        hedge_only_if_useful: Whether a late call is not hedged where all other
            leaves of its service have no free slot or are as slow.
        hedge_reserved_share: Share of the retry budget reserved for retries
            of failed calls: a late call may still be answered without a
            hedge.
        order_by_objective: Whether calls that wait for a leaf start in the
            order of their objective; otherwise in the order of arrival.
        expire_queued: Whether a call that has waited so long that most
            answers would miss the deadline is dropped unsent.
        answer_at_objective: Whether a gathered request is answered at its
            latency objective with the parts received; otherwise all parts are
            awaited until the deadline.
        shard_selection: Whether a gathered request leaves out shards that
            cannot answer before its latency objective, if the others reach
            the minimum coverage.
        cancel_delay_s: Time that calls still have after their request ended,
            in seconds; a call that completes keeps its connection.
    """

    leaves: replicas.LeafPolicy = field(default_factory=replicas.LeafPolicy)
    admission: bool = True
    hedging: bool = True
    hedge_only_if_useful: bool = True
    hedge_reserved_share: float = 0.2
    order_by_objective: bool = True
    expire_queued: bool = True
    answer_at_objective: bool = True
    shard_selection: bool = True
    cancel_delay_s: float = 0.3
