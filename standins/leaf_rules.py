"""What the platform demands toward leaves, and where VMs do not reach them."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from standins import opaque_leaf

# Requests are counted in windows of this length, from this time after the leaf
# first named its limit.
_WINDOW_S = 4.0
_CONTACT_S = 4.0
_RATE_FACTOR = 1.5
_EXTRA_REQUESTS = 5
# Cut VMs are judged from this time after the cut began: their callers may be
# served a third less often than the others', and some may fail in any case.
_CUT_CONTACT_S = 4.0
_CUT_SERVED_MIN = 2 / 3
_CUT_FAILED_MAX = 10
_CUT_FAILED_SHARE = 1 / 50
# A VM that has just started sends until the leaf's first answer tells it.
_REQUESTS_BEFORE_TOLD = 4
# A request that has crashed this many leaves may, from this time after the last
# of them, reach leaves so many more times.
_CRASHES_MAX = 3
_CRASH_CONTACT_S = 4.0
_SENDS_AFTER_MAX = 3
# Nothing may reach a leaf from this time after its zone's evacuation began.
EVACUATE_S = 5.0
# VMs learn of a leaf that has become cold again within this time.
_COLD_CONTACT_S = 1.0
_COLD_WINDOW_S = 1.0
# Bound on the requests to a cold leaf, as a factor and a slack.
COLD_BOUNDS = (1.5, 5.0)


class Answered(Protocol):
    """A request of a caller and what became of it.

    Attributes:
        vm: Name of the VM that got it.
        sent_at: Monotonic time of sending.
        status: Status of the answer; 0 for none.
    """

    vm: str
    sent_at: float
    status: int


def cut_violations(
    answers: Iterable[Answered],
    *,
    cut_vms: Sequence[str],
    start: float,
    end: float,
) -> Iterator[str]:
    """Return whether callers of cut VMs were served worse than the others.

    Args:
        answers: Requests of callers; those outside the cut do not count.
        cut_vms: Names of the VMs without a path to the leaves.
        start: Monotonic time at which the cut began.
        end: Monotonic time at which it ended.
    """
    judged = [
        each
        for each in answers
        if start + _CUT_CONTACT_S <= each.sent_at <= end
    ]
    served = [each.status == 200 for each in judged if each.vm in cut_vms]
    others = [each.status == 200 for each in judged if each.vm not in cut_vms]
    if not served or not others:
        return
    failed = len(served) - sum(served)
    share, other_share = sum(served) / len(served), sum(others) / len(others)
    tolerated = _CUT_FAILED_MAX + _CUT_FAILED_SHARE * len(judged)
    if failed > tolerated and share < _CUT_SERVED_MIN * other_share:
        yield (
            f"{', '.join(cut_vms)} cut from leaves served {share:.2f} of their "
            f"callers, the others {other_share:.2f}"
        )


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


@dataclass(slots=True, kw_only=True)
class Evacuation:
    """A time in which the store had the key of an evacuated zone.

    Attributes:
        zone: The availability zone.
        start: Monotonic time at which it was written.
        end: Monotonic time at which it was deleted; infinite until then.
    """

    zone: str
    start: float
    end: float = float("inf")


def evacuation_violations(
    leaf: opaque_leaf.OpaqueLeaf,
    zone: str,
    evacuations: Iterable[Evacuation],
    *,
    judged_from: Callable[[float], float] = lambda start: start + EVACUATE_S,
) -> Iterator[str]:
    """Return where a leaf got anything while its zone was evacuated.

    Args:
        leaf: The leaf.
        zone: Its availability zone.
        evacuations: All evacuations.
        judged_from: Returns the time from which one with this start must be
            in force.
    """
    for each in evacuations:
        if each.zone != zone:
            continue
        first = judged_from(each.start)
        late = [at for at in leaf.request_times if first < at < each.end]
        if late:
            yield (
                f"leaf {leaf.id} of evacuated zone {zone} got {len(late)} "
                f"requests, the last {late[-1] - each.start:.1f} s after"
            )


def cold_violations(
    leaf: opaque_leaf.OpaqueLeaf,
    rate: float,
    *,
    is_judged: Callable[[float], bool] = lambda at: True,
) -> Iterator[str]:
    """Return where a leaf got more requests than it tolerates while cold.

    Args:
        leaf: The leaf.
        rate: Requests a second that it tolerates from all VMs together.
        is_judged: Returns whether a request that arrived at a time counts.
    """
    factor, slack = COLD_BOUNDS
    bound = rate * factor + slack
    for each in leaf.cold_periods:
        most = leaf.max_requests_in(
            _COLD_WINDOW_S,
            since=each.start + (0.0 if each.started else _COLD_CONTACT_S),
            until=each.end,
            times=[at for at in leaf.call_times if is_judged(at)],
        )
        if most > bound:
            yield (
                f"cold leaf {leaf.id} got {most} requests in a second, of "
                f"which it tolerates {bound:g}"
            )


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashRecord:
    """What the leaves saw of a request that crashes them.

    Attributes:
        crashes: Monotonic times at which leaves ended under it.
        arrivals: Monotonic times at which it reached leaves.
    """

    crashes: Sequence[float]
    arrivals: Sequence[float]


def crash_violations(
    target: bytes, record: CrashRecord, *, excused: int = 0
) -> Iterator[str]:
    """Return whether a request was sent on after it had crashed leaves.

    Args:
        target: Target of the request.
        record: What the leaves saw of it.
        excused: Arrivals that VMs out of touch may have sent.

    >>> record = CrashRecord(crashes=[1, 2, 3], arrivals=[1, 2, 3, 8, 9, 10])
    >>> list(crash_violations(b"/a", record))
    []
    """
    crashes = sorted(record.crashes)
    if len(crashes) < _CRASHES_MAX:
        return
    judged_from = crashes[_CRASHES_MAX - 1] + _CRASH_CONTACT_S
    sent_on = sum(arrival > judged_from for arrival in record.arrivals)
    if sent_on > _SENDS_AFTER_MAX + excused:
        yield (
            f"{target.decode()}, under which {_CRASHES_MAX} leaves had ended, "
            f"reached leaves {sent_on} times more; {len(crashes)} ended in all"
        )
