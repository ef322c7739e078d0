"""The side of a limit on a VM that sends requests under it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilpier import base
from trefoilpier.shares import demand as demands
from trefoilpier.shares import messages
from trefoilpier.shares import spec as specs

# After a VM has been told that no tokens are left, it refuses requests without
# asking for a time between these. The owner collects tokens meanwhile. With
# 20 ms, a VM with demand of twice a limit of 40 sent 32 messages a second.
_EMPTY_MAX_S = 0.25
_EMPTY_MIN_S = 0.1
# Time for which tokens are asked in advance: until the next exchange and its
# answer.
_AHEAD_S = specs.TOKEN_LIFETIME_S
# Shares below this are not divided into times of return.
_SHARE_MIN = 0.1  # Requests a second.
_NO_OWNER_RETRY_S = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ShareDecision:
    """Decision on one request under a limit.

    Attributes:
        admitted: Whether the request may be sent.
        retry_after_s: If refused, seconds after which a retry is worthwhile.
        below_limit: If refused, whether this VM could not get its part of the
            limit, so that the limit may not have been reached.
    """

    admitted: bool
    retry_after_s: float = 0.0
    below_limit: bool = False


ADMITTED = ShareDecision(admitted=True)


@dataclass(slots=True, kw_only=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes:
        on_decided: Called once with the decision.
        timer: Timer of the end of the wait.
    """

    on_decided: Callable[[ShareDecision], None]
    timer: base.Timer | None = None

    def decide(self, decision: ShareDecision) -> None:
        """End the wait."""
        if self.timer is not None:
            self.timer.cancel()
        self.on_decided(decision)


class ToleranceUse:
    """Requests that one VM has sent without tokens of the owner.

    A process that has just started does not know what the VM sent before, so
    that it sends none in its first window.

    >>> use = ToleranceUse(started_at=0.0)
    >>> use.take(4.0, part=2, window_s=5.0)
    False
    >>> [use.take(6.0, part=2, window_s=5.0) for _ in range(3)]
    [True, True, False]
    >>> use.take(11.1, part=2, window_s=5.0)
    True
    """

    __slots__ = ("_started_at", "_times")

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._times: deque[float] = deque()

    def take(self, now: float, *, part: int, window_s: float) -> bool:
        """Use one request of this VM's part, if one is left in the window."""
        if now - self._started_at < window_s:
            return False
        self.forget(now, window_s)
        if len(self._times) >= part:
            return False
        self._times.append(now)
        return True

    def forget(self, now: float, window_s: float) -> bool:
        """Drop what is older than a window; return whether nothing is left."""
        times = self._times
        while times and now - times[0] > window_s:
            times.popleft()
        return not times


@dataclass(slots=True, kw_only=True)
class HeldLimit:
    """One limit, as a VM that sends requests under it knows it.

    Attributes:
        name: Name of the limit.
        spec: The limit.
        tolerance: Use of the tolerance.
        demand: Requests under the limit, also refused ones.
        tokens: Tokens for further requests.
        expires_at: Monotonic time at which the tokens expire.
        unused: Tokens to give back.
        waiters: Requests that wait for tokens.
        empty_until: Monotonic time until which no tokens are expected.
        no_owner_until: Monotonic time until which no owner is expected.
        part: This VM's part of the tolerance; None if it has to be computed.
        used_at: Monotonic time of the last request.
    """

    name: str
    spec: specs.LimitSpec
    tolerance: ToleranceUse
    demand: demands.DemandMeter = field(default_factory=demands.DemandMeter)
    tokens: int = 0
    expires_at: float = 0.0
    unused: int = 0
    waiters: deque[Waiter] = field(default_factory=deque)
    empty_until: float = 0.0
    no_owner_until: float = 0.0
    part: int | None = None
    used_at: float = 0.0
    _wait_s: float = field(default=0.0, init=False)
    _share: float = field(default=0.0, init=False)
    _next_return_at: float = field(default=0.0, init=False)

    def take(self, now: float) -> bool:
        """Use one token, if there is a valid one."""
        if not self.tokens:
            return False
        if now >= self.expires_at:
            self.unused += self.tokens
            self.tokens = 0
            return False
        self.tokens -= 1
        return True

    def make_ask(self, now: float) -> messages.Ask:
        """Return a request for tokens that gives back those that are left."""
        returned = self.tokens + self.unused
        self.tokens = self.unused = 0
        rate = self.demand.rate(now)
        return messages.Ask(
            name=self.name,
            spec=self.spec,
            urgent=len(self.waiters),
            ahead=self._ahead(rate),
            demand=rate,
            returned=returned,
        )

    def _ahead(self, rate: float) -> int:
        return int(rate * _AHEAD_S + 0.5)

    def needs_exchange(self, now: float) -> bool:
        """Return whether the next exchange should contain this limit."""
        return bool(
            self.waiters
            or self.tokens
            or self.unused
            or self._ahead(self.demand.rate(now))
        )

    def apply_grant(
        self, grant: messages.Grant, *, asked: int, sent_at: float, now: float
    ) -> tuple[int, int]:
        """Use the tokens of an answer; refuse what they do not suffice for.

        Args:
            grant: The answer.
            asked: Tokens asked for requests that waited.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time.

        Returns:
            Requests admitted and refused.
        """
        self.no_owner_until = 0.0
        self._wait_s = grant.wait_s
        self._share = grant.share
        # Tokens given back since are not used any more.
        self.unused += self.tokens
        self.tokens = grant.tokens
        self.expires_at = sent_at + specs.TOKEN_LIFETIME_S
        admitted = 0
        while self.waiters and self.take(now):
            self.waiters.popleft().decide(ADMITTED)
            admitted += 1
        if grant.tokens >= asked:
            return admitted, 0
        pause_s = min(max(grant.wait_s, _EMPTY_MIN_S), _EMPTY_MAX_S)
        self.empty_until = now + pause_s
        refused = len(self.waiters)
        while self.waiters:
            self.waiters.popleft().decide(self.refuse(now))
        return admitted, refused

    def refuse(self, now: float) -> ShareDecision:
        """Return the refusal of a request beyond the limit.

        Times of return are spread at this VM's share of the limit, up to one
        window ahead.
        """
        earliest = now + self._wait_s
        horizon = now + max(self.spec.window_s, self._wait_s)
        self._next_return_at = min(max(self._next_return_at, earliest), horizon)
        retry_after_s = self._next_return_at - now
        self._next_return_at += 1.0 / max(self._share, _SHARE_MIN)
        return ShareDecision(admitted=False, retry_after_s=retry_after_s)

    def refuse_without_owner(self) -> ShareDecision:
        """Return the refusal of a request for lack of an owner."""
        return ShareDecision(
            admitted=False, retry_after_s=_NO_OWNER_RETRY_S, below_limit=True
        )

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Return whether a new object would be the same as this one."""
        return (
            now - self.used_at > max(idle_s, self.spec.window_s)
            and not self.waiters
            and self.tolerance.forget(now, self.spec.window_s)
        )
