"""Requests beyond the first that leafs of a service may be sent."""

from collections import deque
from dataclasses import dataclass

from trefoilpier import base

_BUCKET_S = 0.5  # Precision of the sliding window.
# Other VMs' windows and ours do not begin together; the rest is their slack.
_SAFETY = 0.8


class ExtraBudget:
    """A sliding window over one service's requests and extra sends.

    Allowed are a share of the VM's own requests in the window and the VM's
    part of an absolute allowance that all VMs share.

    >>> clock = base.VirtualClock()
    >>> budget = ExtraBudget(clock=clock, share=0.2, window_s=10.0, allowance=2)
    >>> budget.take(), budget.take()
    (True, False)
    """

    __slots__ = (
        "_clock",
        "_extra",
        "_first",
        "_rows",
        "_share",
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
    ) -> None:
        self._clock = clock
        self._share = share
        self._window_s = window_s
        self.allowance = allowance
        # Rows of (end of bucket, first requests, extra sends).
        self._rows: deque[list[float]] = deque()
        self._first = 0.0
        self._extra = 0.0

    def _row(self) -> list[float]:
        now = self._clock.monotonic()
        while self._rows and self._rows[0][0] < now - self._window_s:
            _, first, extra = self._rows.popleft()
            self._first -= first
            self._extra -= extra
        if not self._rows or self._rows[-1][0] < now:
            self._rows.append([now + _BUCKET_S, 0.0, 0.0])
        return self._rows[-1]

    def first(self) -> None:
        """Counts a caller's request."""
        self._row()[1] += 1
        self._first += 1

    def take(self, *, reserve: float = 0.0) -> bool:
        """Counts an extra send if it is allowed.

        Args:
            reserve: Share of the budget that is left for others.
        """
        row = self._row()
        allowed = _SAFETY * (self._share * self._first + self.allowance)
        if self._extra + 1 > allowed * (1.0 - reserve):
            return False
        row[2] += 1
        self._extra += 1
        return True


# VMs that share an allowance until the fleet's size is known.
VMS_ASSUMED = 12


@dataclass(slots=True, kw_only=True, frozen=True)
class BudgetTerms:
    """The platform's terms for extra sends to one service.

    Attributes:
        share: Extra sends for each request.
        window_s: Any span of this length counts.
        allowance: Extra sends in a window beyond the share, for all VMs.
    """

    share: float
    window_s: float
    allowance: float

    def make(self, clock: base.Clock, vm_count: int) -> ExtraBudget:
        """Makes one VM's budget."""
        return ExtraBudget(
            clock=clock,
            share=self.share,
            window_s=self.window_s,
            allowance=self.allowance / vm_count,
        )
