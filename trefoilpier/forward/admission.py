"""Whether a request can be served in time, decided when it comes.

Pure decisions: what they look at is passed in. The load patterns they answer
are named at each function.
"""

from dataclasses import dataclass

from trefoilpier import base

# A leaf that was left alone is tried again after about this time.
_NO_LEAF_RETRY_S = 0.3
# Below it, callers that were refused together come back together.
_RETRY_LEAST_S = 0.02
# Callers wait as told only up to a third of the time that they have left.
_RETRY_SHARE = 0.3


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceView:
    """What is known of one service.

    Attributes:
        usable: Whether any of its leafs can be asked.
        expected_s: Time in which an answer is expected: the wait for a place
            at a leaf, and the leaf's own time as it is now.
    """

    usable: bool
    expected_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class AdmissionView:
    """What the decision looks at.

    Attributes:
        services: The services that the request needs: one, or one a shard.
        coverage_least: Share of the services without which it is no use.
        wait_s: Time that the caller has left.
    """

    services: tuple[ServiceView, ...]
    coverage_least: float
    wait_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Refusal:
    """Why a request is refused, and when to come back."""

    code: base.ResultCode
    retry_after_s: float


def admit(view: AdmissionView) -> Refusal | None:
    """Returns a refusal, or None if the request is admitted.

    All leafs of a shard down: the shard is left out if the others reach the
    least coverage, and the request is refused at once if they do not.

    A burst, or leafs that turned slow: shards whose queue is longer than the
    caller waits cannot answer. The request is refused while it has not run
    anywhere if too few remain, to come back when the queue is shorter.

    >>> slow = ServiceView(usable=True, expected_s=2.0)
    >>> admit(AdmissionView(services=(slow,), coverage_least=1.0, wait_s=3.0))
    >>> admit(AdmissionView(services=(slow,), coverage_least=1.0, wait_s=1.5))
    Refusal(code=<ResultCode.OVERLOADED: 'TPR-3001'>, retry_after_s=0.45)
    """
    needed = view.coverage_least * len(view.services) - 1e-9
    usable = [service for service in view.services if service.usable]
    if not usable or len(usable) < needed:
        return Refusal(
            code=base.ResultCode.NO_LEAF,
            retry_after_s=retry_after(view.wait_s),
        )
    expected = sorted(service.expected_s for service in usable)
    # The answer is complete enough once so many of the fastest are in.
    place = max(0, min(len(expected), int(needed + 1)) - 1)
    excess_s = expected[place] - view.wait_s
    if excess_s <= 0:
        return None
    return Refusal(
        code=base.ResultCode.OVERLOADED,
        retry_after_s=retry_after(view.wait_s, excess_s),
    )


def retry_after(wait_s: float, excess_s: float = _NO_LEAF_RETRY_S) -> float:
    """Returns when to come back, within what a caller can wait.

    Args:
        wait_s: Time that the caller has left.
        excess_s: Time after which the request would be admitted.

    >>> retry_after(0.5), retry_after(4.0, 0.5)
    (0.15, 0.5)
    """
    after_s = max(_RETRY_LEAST_S, excess_s)
    return round(min(after_s, _RETRY_SHARE * max(0.003, wait_s)), 3)
