"""Estimate of how soon a service can answer, for the admission."""

from collections.abc import Iterable

from trefoilpier import replicas
from trefoilpier.forward import (
    admission,
    request_context,
    shared_states,
    wait_queue,
)


def estimate_service_state(
    pools: Iterable[replicas.LeafPool],
    queue: wait_queue.WaitQueue | None,
    *,
    median_latency_s: float,
    now: float,
    sufficient_s: float,
) -> admission.ServiceState:
    """Return the state of a service.

    The expected time is that of the first leaf which answers within a
    sufficient time, or of the fastest leaf if none does: whether a faster one
    exists does not change the decisions.

    Args:
        pools: The leaves of the service.
        queue: Calls that wait for one of them, if there is a queue.
        median_latency_s: Median latency of the route's calls in seconds.
        now: Monotonic time.
        sufficient_s: Expected time in seconds that is good enough.
    """
    queue_wait_s = queue.expected_wait_s if queue is not None else 0.0
    lowest_s = None
    lowest_load = 0.0
    for pool in pools:
        if pool.stats.is_ejected(now):
            continue
        load = pool.stats.load(now)
        cost = pool.stats.expected_cost(now, load=load)
        wait_s = queue_wait_s + pool.send_wait_s()
        expected_s = wait_s + cost * median_latency_s
        if lowest_s is None:
            lowest_s, lowest_load = expected_s, load
        lowest_s = min(lowest_s, expected_s)
        lowest_load = min(lowest_load, load)
        if expected_s <= sufficient_s:
            break
    return admission.ServiceState(
        usable=lowest_s is not None,
        expected_s=lowest_s or 0.0,
        has_free_slot=lowest_load < 1.0,
    )


def estimate_admission_state(
    context: request_context.RequestContext,
    services: tuple[str, ...],
    *,
    registry: replicas.LeafRegistry,
    states: shared_states.SharedStates,
    now: float,
) -> admission.AdmissionState:
    """Return the state by which a request is admitted.

    Args:
        context: The request.
        services: Services to which it would be sent.
        registry: Known leaves.
        states: Queues and latencies of the VM.
        now: Monotonic time.
    """
    route = context.route
    time_left_s = context.deadline - now
    sufficient_s = time_left_s
    if route.gather is not None:
        sufficient_s = min(time_left_s, context.objective_deadline - now)
    median_latency_s = states.latency_for(route).median_s
    return admission.AdmissionState(
        services=tuple(
            estimate_service_state(
                registry.pools_by_service.get(service, ()),
                states.queue_by_service.get(service),
                median_latency_s=median_latency_s,
                now=now,
                sufficient_s=sufficient_s,
            )
            for service in services
        ),
        min_coverage=(route.gather.min_coverage if route.gather else 1.0),
        time_left_s=time_left_s,
    )
