"""Admission control.

The functions are pure: they decide from the state that is passed in.
"""

from dataclasses import dataclass

from trefoilpier import base

# An ejected leaf is tried again after about this time.
_NO_LEAF_RETRY_S = 0.3
# The first read of the store brings the routes within a few milliseconds.
_FIRST_READ_WAIT_MAX_S = 0.03
# An outage of the store lasts seconds, and callers have few retries.
_STORE_OUTAGE_RETRY_S = 1.0
# With shorter delays, callers that were refused together retry together.
_RETRY_AFTER_MIN_S = 0.02
# Callers obey Retry-After only up to a third of their remaining time.
_RETRY_AFTER_MAX_SHARE = 0.3


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceState:
    """State of one service.

    Attributes:
        usable: Whether any of its leaves can receive requests.
        expected_s: Expected response time in seconds: the queue wait and the
            current processing time of a leaf.
        has_free_slot: Whether any of its leaves is likely to have a free slot.
    """

    usable: bool
    expected_s: float
    has_free_slot: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class AdmissionState:
    """State that an admission decision depends on.

    Attributes:
        services: The service of the request, or one service per shard.
        min_coverage: Minimum share of the services that must answer.
        time_left_s: Seconds until the caller's deadline.
    """

    services: tuple[ServiceState, ...]
    min_coverage: float
    time_left_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """Result code and retry delay, in seconds, of a refused request."""

    code: base.ResultCode
    retry_after_s: float


def expected_s(state: AdmissionState) -> float | None:
    """Return the expected response time in seconds.

    The response has enough coverage once the required number of the fastest
    services have answered. None means that too few services are usable.
    """
    required = state.min_coverage * len(state.services) - 1e-9
    expected = sorted(
        service.expected_s for service in state.services if service.usable
    )
    if not expected or len(expected) < required:
        return None
    return expected[max(0, min(len(expected), int(required + 1)) - 1)]


def admit(state: AdmissionState) -> Refusal | None:
    """Return a refusal, or None if the request is admitted.

    A shard without usable leaves is left out if the others reach the minimum
    coverage. Otherwise the request is refused at once.

    During a burst, or when leaves turn slow, shards whose expected response
    time exceeds the time left cannot answer. If too few shards remain, the
    request is refused before it runs anywhere, and the caller is told to retry
    once the queue is shorter.

    >>> slow = ServiceState(usable=True, expected_s=2.0)
    >>> admit(
    ...     AdmissionState(services=(slow,), min_coverage=1.0, time_left_s=3.0)
    ... )
    >>> admit(
    ...     AdmissionState(services=(slow,), min_coverage=1.0, time_left_s=1.5)
    ... )
    Refusal(code=<ResultCode.OVERLOADED: 'TPR-3001'>, retry_after_s=0.45)
    """
    response_s = expected_s(state)
    if response_s is None:
        return Refusal(
            code=base.ResultCode.NO_LEAF,
            retry_after_s=retry_after(state.time_left_s),
        )
    excess_s = response_s - state.time_left_s
    if excess_s <= 0:
        return None
    return Refusal(
        code=base.ResultCode.OVERLOADED,
        retry_after_s=retry_after(state.time_left_s, excess_s),
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class StartupState:
    """State of a VM that has no routes yet, and of one request to it.

    Attributes:
        read_failed: Whether the last attempt to read the routes failed.
        waited_s: Seconds since the request was received.
        time_left_s: Seconds until the caller's deadline.
    """

    read_failed: bool
    waited_s: float
    time_left_s: float


def admit_without_routes(state: StartupState) -> Refusal | None:
    """Return a refusal, or None if the request waits for the first routes.

    After a loss of all VMs, requests arrive before the routes. While the first
    read is under way, they wait for it. Once a read has failed, they are
    refused at once and told to come back as late as they can still be
    answered: a retry during the outage would be a caller's last.

    >>> state = StartupState(read_failed=False, waited_s=0.0, time_left_s=1.0)
    >>> admit_without_routes(state)
    >>> state = StartupState(read_failed=True, waited_s=0.0, time_left_s=1.0)
    >>> admit_without_routes(state).retry_after_s
    0.3
    """
    if not state.read_failed and state.waited_s < _FIRST_READ_WAIT_MAX_S:
        return None
    return Refusal(
        code=base.ResultCode.NO_CONFIGURATION,
        retry_after_s=retry_after(state.time_left_s, _STORE_OUTAGE_RETRY_S),
    )


def retry_after(
    time_left_s: float, excess_s: float = _NO_LEAF_RETRY_S
) -> float:
    """Return the retry delay in seconds, within the caller's time left.

    Args:
        time_left_s: Seconds until the caller's deadline.
        excess_s: Seconds after which the request would be admitted.

    >>> retry_after(0.5), retry_after(4.0, 0.5)
    (0.15, 0.5)
    """
    delay_s = max(_RETRY_AFTER_MIN_S, excess_s)
    return round(
        min(delay_s, _RETRY_AFTER_MAX_SHARE * max(0.003, time_left_s)), 3
    )
