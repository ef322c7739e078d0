"""What the platform allows leaves that ask for fewer requests."""

from collections.abc import Iterator, Sequence

from standins import opaque_leaf

# Requests are counted in windows of this length, from this time after the leaf
# first named its limit.
_WINDOW_S = 4.0
_CONTACT_S = 4.0
_RATE_FACTOR = 1.5
_EXTRA_REQUESTS = 5
# A VM that has just started sends until the leaf's first answer tells it.
_REQUESTS_BEFORE_TOLD = 4


def allowed_requests(rate: float) -> float:
    """Return how many requests a limit allows in one window.

    >>> allowed_requests(10.0)
    65.0
    """
    return _RATE_FACTOR * _WINDOW_S * rate + _EXTRA_REQUESTS


def rate_limit_violations(
    leaf: opaque_leaf.OpaqueLeaf, *, vm_starts: Sequence[float] = ()
) -> Iterator[str]:
    """Return where a leaf got more requests than a limit that it named.

    Args:
        leaf: The leaf.
        vm_starts: Monotonic times at which VMs started.
    """
    for limit in leaf.rate_limits:
        most = leaf.max_requests_in(
            _WINDOW_S, since=limit.start + _CONTACT_S, until=limit.end
        )
        started = sum(limit.start < start < limit.end for start in vm_starts)
        excused = _REQUESTS_BEFORE_TOLD * started
        if most > allowed_requests(limit.rate) + excused:
            yield (
                f"leaf {leaf.id} got {most} requests in {_WINDOW_S:g} s at a "
                f"limit of {limit.rate:g} a second"
            )
