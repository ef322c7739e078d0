"""Budget of retries and hedged requests to a service."""

from collections import deque
from dataclasses import dataclass

from trefoilpier import base

_BUCKET_WIDTH_S = 0.5  # Resolution of the sliding window.
# Margin for the delay between the decision to send and the arrival.
_SAFETY_FACTOR = 0.9
# Share of the allowance that a VM has at its start; the rest accrues within the
# first window, since the VM does not know what it spent before a restart.
_INITIAL_ALLOWANCE_SHARE = 0.25


class RetryBudget:
    """Sliding-window budget of retries and hedges to one service.

    The budget is a share of this VM's requests in the window plus this VM's
    part of an allowance that all VMs share.

    Attributes:
        allowance: This VM's part of the allowance.

    >>> clock = base.VirtualClock()
    >>> budget = RetryBudget(clock=clock, share=0.2, window_s=10.0, allowance=4,
    ...                      started_at=clock.monotonic())
    >>> budget.try_acquire()
    False
    >>> clock.advance(10.0)
    >>> [budget.try_acquire() for _ in range(4)]
    [True, True, True, False]
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_extra_count",
        "_request_count",
        "_share",
        "_started_at",
        "_window_s",
        "allowance",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        share: float,
        window_s: float,
        allowance: float,
        started_at: float,
    ) -> None:
        """Create a budget of which nothing is spent.

        Args:
            clock: Clock of the window.
            share: Retries and hedges allowed per request.
            window_s: Length of the sliding window in seconds.
            allowance: This VM's part of the allowance.
            started_at: Monotonic time at which the VM started.
        """
        self._clock = clock
        self._started_at = started_at
        self._share = share
        self._window_s = window_s
        self.allowance = allowance
        # Lists of [end of bucket, requests, retries and hedges].
        self._buckets: deque[list[float]] = deque()
        self._request_count = 0.0
        self._extra_count = 0.0

    def _drop_old_buckets(self, now: float) -> None:
        while self._buckets and self._buckets[0][0] < now - self._window_s:
            _, requests, extra = self._buckets.popleft()
            self._request_count -= requests
            self._extra_count -= extra

    def is_unused(self) -> bool:
        """Return whether a new budget would allow the same."""
        self._drop_old_buckets(self._clock.monotonic())
        return not self._buckets

    def _current_bucket(self) -> list[float]:
        now = self._clock.monotonic()
        self._drop_old_buckets(now)
        if not self._buckets or self._buckets[-1][0] < now:
            self._buckets.append([now + _BUCKET_WIDTH_S, 0.0, 0.0])
        return self._buckets[-1]

    def record_request(self) -> None:
        """Count a request from a caller."""
        self._current_bucket()[1] += 1
        self._request_count += 1

    def _accrued_allowance(self) -> float:
        """Return the part of the allowance that this VM may use by now."""
        uptime_s = self._clock.monotonic() - self._started_at
        accrued = _INITIAL_ALLOWANCE_SHARE + (
            (1.0 - _INITIAL_ALLOWANCE_SHARE) * uptime_s / self._window_s
        )
        return self.allowance * min(1.0, accrued)

    def try_acquire(self, *, reserved_share: float = 0.0) -> bool:
        """Count a retry or hedge if the budget allows it.

        Args:
            reserved_share: Share of the budget that this call may not use.

        Returns:
            Whether the request may be sent.
        """
        bucket = self._current_bucket()
        allowed = _SAFETY_FACTOR * (
            self._share * self._request_count + self._accrued_allowance()
        )
        if self._extra_count + 1 > allowed * (1.0 - reserved_share):
            return False
        bucket[2] += 1
        self._extra_count += 1
        return True


# VMs assumed to share an allowance until the fleet's size is known.
ASSUMED_VM_COUNT = 12


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryBudgetLimits:
    """Limits on retries and hedges to one service, set by the platform.

    Attributes:
        share: Retries and hedges allowed per request.
        window_s: Length in seconds of the sliding window.
        allowance: Retries and hedges allowed per window in addition to the
            share, for all VMs together.
    """

    share: float
    window_s: float
    allowance: float

    def make_budget(
        self, clock: base.Clock, vm_count: int, started_at: float
    ) -> RetryBudget:
        """Return the budget of one VM.

        Args:
            clock: Clock of the window.
            vm_count: VMs that share the allowance.
            started_at: Monotonic time at which the VM started.
        """
        return RetryBudget(
            clock=clock,
            share=self.share,
            window_s=self.window_s,
            allowance=self.allowance / vm_count,
            started_at=started_at,
        )
