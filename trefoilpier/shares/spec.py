"""A limit on a sum over all VMs, and how its tolerance is divided."""

from dataclasses import dataclass

# Tokens that are not used expire after this time, counted by the VM that holds
# them from the moment at which it asked. The owner counts it from the grant,
# which is later, so that it never considers a usable token expired.
TOKEN_LIFETIME_S = 0.3
# Largest usual time from the decision on a request until a leaf gets it.
_SEND_DELAY_S = 0.1
# Requests are whole, so that a bucket of less than one token serves none.
_WHOLE_TOKENS = 1.0
# Part of the room for tokens given out ahead at most.
_AHEAD_SHARE_MAX = 0.75
# Part of what is left of the room that the bucket may hold in addition. With
# less, an account of a few requests a second that come at random is refused
# although it stays below its rate on average.
_SMOOTHING_SHARE = 0.4
# Part of what is left then for the first tokens after a loss of all VMs.
_START_SHARE = 1.0 / 3.0
# Losses of all VMs in a window that the reserve covers.
_STARTS_MAX = 2


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitSpec:
    """A limit on the requests of all VMs together.

    In any window, at most (rate x window + burst) x (1 + excess) + slack may be
    sent. What this allows beyond rate x window + burst, the room, is divided:

    - Tokens that the owner has given out ahead of their use, and a part that
      evens out uneven arrivals. Both are part of the bucket's capacity, which
      bounds the tokens in the bucket and those given out together. In any
      window, the tokens of all owners are at most capacity + rate x window,
      since an owner otherwise starts with an empty bucket.
    - A reserve for requests that reach their leaf later than they were
      counted.
    - The tokens with which owners start after a loss of all VMs, for two such
      losses in a window.
    - The tolerance of VMs that cannot reach the owner.

    Attributes:
        rate: Requests a second.
        burst: Requests beyond the rate that may come at once.
        window_s: Length of the sliding window in seconds.
        excess: Tolerated excess as a share.
        slack: Requests tolerated in addition.

    >>> spec = LimitSpec(
    ...     rate=100.0, burst=50.0, window_s=5.0, excess=0.1, slack=20.0
    ... )
    >>> spec.capacity, round(spec.grant_rate, 9), spec.tolerance
    (94.6, 100.0, 13.6)
    """

    rate: float
    burst: float
    window_s: float
    excess: float
    slack: float

    @property
    def allowed(self) -> float:
        """Requests that may be sent in any window."""
        usual = self.rate * self.window_s + self.burst
        return usual * (1.0 + self.excess) + self.slack

    @property
    def _room(self) -> float:
        return self.allowed - self.rate * self.window_s - self.burst

    @property
    def _ahead(self) -> float:
        wanted = self.rate * TOKEN_LIFETIME_S + _WHOLE_TOKENS
        return min(wanted, _AHEAD_SHARE_MAX * self._room)

    @property
    def _delay_reserve(self) -> float:
        return min(self.rate * _SEND_DELAY_S, 0.5 * (self._room - self._ahead))

    @property
    def _smoothing(self) -> float:
        rest = self._room - self._ahead - self._delay_reserve
        return min(self.rate * self.window_s, _SMOOTHING_SHARE * rest)

    @property
    def capacity(self) -> float:
        """Bound on the tokens in the bucket and given out together."""
        return max(_WHOLE_TOKENS, self.burst + self._ahead + self._smoothing)

    @property
    def tolerance(self) -> float:
        """Requests in a window for all VMs without contact to the owner."""
        return max(0.0, self._unused_room - _STARTS_MAX * self.start_credit)

    @property
    def start_credit(self) -> float:
        """Tokens with which an owner starts after a loss of all VMs."""
        return max(0.0, _START_SHARE * self._unused_room / _STARTS_MAX)

    @property
    def _unused_room(self) -> float:
        used = self._ahead + self._smoothing + self._delay_reserve
        return self._room - used

    @property
    def grant_rate(self) -> float:
        """Tokens a second; less than the rate if there is too little room."""
        reserved = self._delay_reserve + _STARTS_MAX * self.start_credit
        rest = self.allowed - self.capacity - self.tolerance - reserved
        return max(0.0, min(self.rate, rest / self.window_s))


def tolerance_part(tolerance: float, *, rank: int, count: int) -> int:
    """Return how many requests of the tolerance one VM may send in a window.

    All VMs together stay within the tolerance if up to half as many VMs again
    use it, which covers VMs that have been added or replaced and are not known
    everywhere yet: the new ones of twice as many take half of the tolerance.

    Args:
        tolerance: The tolerance of the limit.
        rank: Place of the VM in the order of the limit's owners, from 0.
        count: VMs that share the tolerance.

    >>> [tolerance_part(19.0, rank=k, count=6) for k in (0, 5)]
    [2, 2]
    >>> [tolerance_part(6.0, rank=k, count=18) for k in (3, 4)]
    [1, 0]
    """
    if not count:
        return 0
    part = tolerance / (1.5 * count)
    if part >= 1.0:
        return int(part)
    return 1 if rank < int(tolerance / 1.5) else 0
