"""Settings of the choice between the leaves of a service."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafPolicy:
    """Weights of the statistics and costs by which leaves are compared.

    Costs are in units of the route's median latency. A cost of 0 or a factor
    of 1 switches its mechanism off.

    Attributes:
        estimate_slowness: Whether a leaf's recent latencies count.
        slowness_smoothing: Weight of a new latency sample in the geometric
            mean of the leaf's latencies.
        slowness_confirmed_smoothing: Weight of a late sample whose call was
            sent after another late answer, and of the first sample in time
            after late ones. A value up to `slowness_smoothing` switches the
            larger weight off.
        slowness_max: Largest relative latency that a sample counts with, so
            that one pause does not outweigh many good answers.
        slowness_half_life_s: Age at which the estimate has lost half its
            weight, in seconds. An estimate above 2 medians loses little
            before and nearly all by one and a half times this age.
        share_slowness: Whether gatherers tell each other which leaves are
            slow.
        use_load_reports: Whether the load that leaves report counts.
        limit_concurrency: Whether the calls in flight at a saturated leaf are
            limited, so that further ones wait in the VM's own queue.
        eject_failing: Whether a leaf gets no requests for a while after
            several failures in a row.
        other_zone_cost: Cost of a leaf in another availability zone. Traffic
            between zones is expensive, so a remote leaf is chosen only if the
            local ones are slower by this much or have no free slot.
        no_slot_cost: Cost of the average wait until a slot is free.
        overdue_cost: Cost of an overdue call, which indicates a paused leaf.
        failure_cost: Cost of a call that fails: the time until the failure and
            that of another call, a part of the retry budget, and one of the
            few attempts that the route allows.
        warm_up_factor: Factor on the cost of a leaf that has just started.
        shed_cost: Cost of a leaf that has just rejected a request.
        suspect_cost: Cost of a leaf with a request in flight that may crash
            it.
    """

    estimate_slowness: bool = True
    slowness_smoothing: float = 0.2
    slowness_confirmed_smoothing: float = 0.6
    slowness_max: float = 30.0
    slowness_half_life_s: float = 3.0
    share_slowness: bool = False
    use_load_reports: bool = True
    limit_concurrency: bool = True
    eject_failing: bool = True
    other_zone_cost: float = 1.2
    no_slot_cost: float = 0.5
    overdue_cost: float = 3.0
    failure_cost: float = 10.0
    warm_up_factor: float = 1.6
    shed_cost: float = 4.0
    suspect_cost: float = 8.0
