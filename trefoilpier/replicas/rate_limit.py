"""Pacing of requests to a leaf that limits their rate."""

import math

# Requests that were held back for lack of demand expire after this time.
_UNUSED_LIFETIME_S = 1.0
# A leaf that takes no requests at all could not report the end of its limit.
_RATE_MIN = 0.2  # Requests a second, from all VMs together.


class RequestPacer:
    """Times at which one VM may send requests to a leaf.

    A leaf's limit holds for all VMs together, and each VM sends at an equal
    share of it. A VM has send times at a fixed interval, and one that is not
    used expires. However many VMs there are, and whenever their demand
    rises, their sum in any time exceeds the limit by at most the requests of
    the lifetime of a send time. Each VM has its own phase, since all learn of a
    limit at about the same time.

    Attributes:
        rate: Requests a second that the leaf takes from all VMs together; None
            if it names no limit.

    >>> pacer = RequestPacer(phase=0.5)
    >>> pacer.wait_s(10.0)
    0.0
    >>> pacer.set_rate(4.0, vm_count=2, now=10.0)
    >>> pacer.wait_s(10.0)
    0.25
    >>> pacer.record_send(10.25)
    >>> pacer.wait_s(10.25)
    0.5
    """

    __slots__ = (
        "_interval_s",
        "_lifetime_s",
        "_next_at",
        "_phase",
        "_rate_min",
        "rate",
    )

    def __init__(
        self,
        *,
        phase: float,
        lifetime_s: float = _UNUSED_LIFETIME_S,
        rate_min: float = _RATE_MIN,
    ) -> None:
        """Create a pacer without a limit.

        Args:
            phase: Time to the first send time as a share of the interval.
            lifetime_s: Seconds after which an unused send time expires.
            rate_min: Lowest rate of all VMs together, in requests a second.
        """
        self._phase = phase
        self._lifetime_s = lifetime_s
        self._rate_min = rate_min
        self._interval_s = 0.0
        self._next_at = 0.0
        self.rate: float | None = None

    def set_rate(
        self, rate: float | None, *, vm_count: int, now: float
    ) -> None:
        """Set the leaf's limit, or lift it with None.

        Args:
            rate: Requests a second from all VMs together.
            vm_count: VMs that send requests to the leaf.
            now: Monotonic time.
        """
        previous, self.rate = self.rate, rate
        if rate is None:
            return
        self._interval_s = vm_count / max(self._rate_min, rate)
        first_at = now + self._phase * self._interval_s
        if previous is None or self._next_at > first_at:
            self._next_at = first_at

    def _skip_expired(self, now: float) -> None:
        expired_s = now - self._lifetime_s - self._next_at
        if expired_s > 0.0:
            intervals = math.ceil(expired_s / self._interval_s)
            self._next_at += intervals * self._interval_s

    def wait_s(self, now: float) -> float:
        """Return the seconds until a request may be sent."""
        if self.rate is None:
            return 0.0
        self._skip_expired(now)
        return max(0.0, self._next_at - now)

    def record_send(self, now: float) -> None:
        """Use one send time."""
        if self.rate is None:
            return
        self._skip_expired(now)
        self._next_at += self._interval_s
