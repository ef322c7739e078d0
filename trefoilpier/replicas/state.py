"""How a leaf fares, learnt from its own answers."""

from dataclasses import dataclass

_GAIN = 0.2  # Weight of a new sample: about the last ten answers count.
_RELATIVE_MAX = 6.0  # One pause must not outweigh ten good answers.
_FORGET_S = 3.0  # A bad sample loses half its weight in this time.
_FAILURES_MAX = 3  # Failures in a row after which a leaf is left alone.
_EJECT_FIRST_S = 0.5  # First pause; each further one is twice as long.
_EJECT_MAX_S = 4.0  # Below the platform's three heartbeats of silence.
_REPORT_FADE_S = 0.15  # Age at which a load report counts half.
_SHED_PAUSE_S = 0.05  # A full leaf needs about one request's time.


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafLoad:
    """A leaf's own report with an answer.

    Attributes:
        running: Requests that it processes.
        waiting: Requests in its queue.
        slots: Requests that it can process at a time.
        slowness: How long work takes now; 1.0 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class LeafStats:
    """Latency relative to the route's usual one, failures and load.

    Attributes:
        in_flight: Requests of this VM that are out at the leaf.

    >>> stats = LeafStats(slots=2, slow_until=0.0)
    >>> stats.answered(now=1.0, relative=4.0)
    >>> round(stats.slowness(now=1.0), 2)
    1.6
    """

    __slots__ = (
        "_eject_s",
        "_ejected_until",
        "_failures",
        "_relative",
        "_relative_at",
        "_report",
        "_report_at",
        "_shed_until",
        "_slow_until",
        "_success",
        "in_flight",
        "slots",
    )

    def __init__(self, *, slots: int, slow_until: float) -> None:
        self.slots = max(1, slots)
        self.in_flight = 0
        self._slow_until = slow_until
        self._relative = 1.0
        self._relative_at = 0.0
        self._success = 1.0
        self._failures = 0
        self._ejected_until = 0.0
        self._eject_s = _EJECT_FIRST_S
        self._report: LeafLoad | None = None
        self._report_at = 0.0
        self._shed_until = 0.0

    def _faded(self, value: float, now: float) -> float:
        age = max(0.0, now - self._relative_at)
        return 1.0 + (value - 1.0) * 0.5 ** (age / _FORGET_S)

    def slowness(self, now: float) -> float:
        """Returns the usual latency of its answers; 1.0 is the mean."""
        return self._faded(self._relative, now)

    def success(self, now: float) -> float:
        """Returns the share of requests that succeed of late."""
        return max(0.02, self._faded(self._success, now))

    def answered(self, *, now: float, relative: float) -> None:
        """Takes a good answer, with its latency over the usual one."""
        before = self._faded(self._relative, now)
        success = self._faded(self._success, now)
        self._relative = before + _GAIN * (
            min(relative, _RELATIVE_MAX) - before
        )
        self._success = success + _GAIN * (1.0 - success)
        self._relative_at = now
        self._failures = 0
        self._eject_s = _EJECT_FIRST_S
        self._ejected_until = 0.0

    def late(self, *, now: float, relative: float) -> None:
        """Takes the time of a request whose answer was not awaited."""
        before = self._faded(self._relative, now)
        self._success = self._faded(self._success, now)
        self._relative = before + _GAIN * (
            min(relative, _RELATIVE_MAX) - before
        )
        self._relative_at = now

    def failed(self, now: float) -> None:
        """Takes a failure; several in a row pause the leaf."""
        relative = self._faded(self._relative, now)
        success = self._faded(self._success, now)
        self._relative = relative
        self._success = success - _GAIN * success
        self._relative_at = now
        self._failures += 1
        if self._failures >= _FAILURES_MAX:
            self._ejected_until = now + self._eject_s
            self._eject_s = min(_EJECT_MAX_S, 2 * self._eject_s)

    def unreachable(self, now: float) -> None:
        """Takes a connection that could not be made."""
        self._failures = max(self._failures, _FAILURES_MAX - 1)
        self.failed(now)

    def shed(self, now: float) -> None:
        """Takes a request that the leaf rejected unprocessed.

        It counts against the leaf like a failure: whether the leaf is full
        or sheds without need, the next request fares better elsewhere.
        """
        relative = self._faded(self._relative, now)
        success = self._faded(self._success, now)
        self._relative = relative
        self._success = success - _GAIN * success
        self._relative_at = now
        self._shed_until = now + _SHED_PAUSE_S

    def reported(self, load: LeafLoad, now: float) -> None:
        """Takes the leaf's own load report."""
        self._report = load
        self._report_at = now
        self.slots = max(1, load.slots)

    def ejected(self, now: float) -> bool:
        """Whether the leaf is left alone for now."""
        return now < self._ejected_until

    def load(self, now: float) -> float:
        """Returns the requests at the leaf over its slots, as far as known."""
        others = 0.0
        if self._report is not None:
            age = max(0.0, now - self._report_at)
            seen = self._report.running + self._report.waiting - 1
            others = max(0, seen) * 0.5 ** (age / _REPORT_FADE_S)
        return max(self.in_flight, others) / self.slots

    def expected_cost(self, now: float) -> float:
        """Returns the expected time of a request; 1.0 is the usual one."""
        cost = self.slowness(now) * (1.0 + self.load(now))
        if now < self._slow_until:
            cost *= 1.6
        if now < self._shed_until:
            cost += 4.0
        # A failure costs the time until it shows and a send of the budget.
        return cost / self.success(now) ** 2
