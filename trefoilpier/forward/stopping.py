"""Decision on requests that arrive while the VM stops.

Callers may be sent to a stopping VM until its process ends: over a connection
that they keep open, or since the load balancer has too few other VMs. The
functions are pure: they decide from the state that is passed in.
"""

from dataclasses import dataclass

from trefoilpier import base
from trefoilpier.forward import admission, latency

# Of the slowest recent call. A request that must not be repeated and gets no
# response in time is lost to its caller for good.
_UNREPEATABLE_FACTOR = 1.5
# From the end of a process until its successor takes requests.
_RESTART_S = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class StopTimes:
    """Times of a VM's stop.

    Attributes:
        leaves_rotation_at: Monotonic time from which the load balancer sends
            new connections to other VMs, if it has enough of them.
        answer_by: Monotonic time at which requests in flight are ended.
    """

    leaves_rotation_at: float
    answer_by: float


@dataclass(slots=True, kw_only=True, frozen=True)
class StoppingState:
    """State that the decision on a request depends on.

    Attributes:
        expected_s: Expected response time in seconds; 0 if another VM decides.
        excess_s: By how many seconds a response may exceed it.
        time_left_s: Seconds until the caller's deadline.
        time_to_end_s: Seconds until requests in flight are ended.
        in_rotation: Whether another try reaches other VMs.
    """

    expected_s: float
    excess_s: float
    time_left_s: float
    time_to_end_s: float
    in_rotation: bool


def allowed_excess_s(
    estimator: latency.LatencyEstimator, *, repeatable: bool
) -> float:
    """Return by how many seconds a response may exceed the expected time.

    Most of the repeatable requests, and nearly all others, take less.
    """
    slow_s = (
        estimator.hedge_after_s
        if repeatable
        else _UNREPEATABLE_FACTOR * estimator.slow_s
    )
    return max(0.0, slow_s - estimator.median_s)


def refuse_at_end(time_left_s: float) -> admission.Refusal:
    """Return the refusal of what arrives just before the process ends.

    Args:
        time_left_s: Seconds until the caller's deadline.

    >>> refuse_at_end(6.0)
    Refusal(code=<ResultCode.DRAINING: 'TPR-3003'>, retry_after_s=1.0)
    """
    return admission.Refusal(
        code=base.ResultCode.DRAINING,
        retry_after_s=admission.retry_after(time_left_s, _RESTART_S),
    )


def admit(state: StoppingState) -> admission.Refusal | None:
    """Return a refusal of what may not end in time, or None.

    A request is taken if even a slow response, or the caller's deadline, comes
    before the VM ends what is in flight. Callers who reached the VM because
    there are few others are told to return after its restart.

    >>> state = StoppingState(
    ...     expected_s=0.2, excess_s=0.4, time_left_s=5.0, time_to_end_s=1.0,
    ...     in_rotation=False)
    >>> admit(state)
    >>> import dataclasses
    >>> admit(dataclasses.replace(state, time_to_end_s=0.5))
    Refusal(code=<ResultCode.DRAINING: 'TPR-3003'>, retry_after_s=1.5)
    """
    if state.time_left_s <= state.time_to_end_s:
        return None
    needed_s = state.expected_s + state.excess_s
    if state.time_to_end_s > 0.0 and needed_s <= state.time_to_end_s:
        return None
    return_s = (
        0.0 if state.in_rotation else max(0.0, state.time_to_end_s) + _RESTART_S
    )
    return admission.Refusal(
        code=base.ResultCode.DRAINING,
        retry_after_s=admission.retry_after(state.time_left_s, return_s),
    )
