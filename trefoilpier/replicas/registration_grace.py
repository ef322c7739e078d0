"""Leaves whose entries are missing, but which may register again."""

from collections.abc import Callable

from trefoilpier import base

# Live leaves register again within about 2 s after the store recovers.
_GRACE_S = 2.2
_FOREVER = float("inf")
# So many entries disappear at once only if they expired during an outage.
_MASS_EXPIRY_COUNT = 4
_MASS_EXPIRY_SHARE = 0.25


def is_mass_expiry(count: int, *, of: int) -> bool:
    """Return whether removals at one time indicate an outage of the store.

    Args:
        count: Removed entries of leaves that had not announced to leave.
        of: All leaves that have not announced it.

    >>> is_mass_expiry(4, of=16), is_mass_expiry(4, of=17)
    (True, False)
    """
    return count >= _MASS_EXPIRY_COUNT and count >= _MASS_EXPIRY_SHARE * of


class RegistrationGrace:
    """Grace periods after an outage of the store.

    An entry that is removed during an outage, or shortly after it, may only
    have expired. Its leaf is kept for a grace period, which begins when the
    store has recovered and ends at a time of its own: what happens to other
    leaves later does not extend it. Only another outage does, since leaves
    cannot register meanwhile.

    >>> clock = base.VirtualClock()
    >>> gone = []
    >>> grace = RegistrationGrace(clock=clock, on_expired=gone.append)
    >>> grace.handle_store_recovery()
    >>> grace.hold("a")
    >>> clock.advance(1.0)
    >>> grace.handle_store_recovery()
    >>> clock.advance(1.2)
    >>> gone
    ['a']
    """

    __slots__ = ("_clock", "_on_expired", "_timer", "_until", "_until_by_id")

    def __init__(
        self, *, clock: base.Clock, on_expired: Callable[[str], None]
    ) -> None:
        """Create it without an outage.

        Args:
            clock: Source of time and timers.
            on_expired: Called with the id of each leaf that did not register
                again in time.
        """
        self._clock = clock
        self._on_expired = on_expired
        self._timer: base.Timer | None = None
        self._until = 0.0
        self._until_by_id: dict[str, float] = {}

    @property
    def in_force(self) -> bool:
        """Whether an entry that is removed now may only have expired."""
        return self._clock.monotonic() < self._until

    def handle_store_loss(self) -> None:
        """Keep leaves until the store has recovered."""
        self._until = _FOREVER
        for leaf_id in self._until_by_id:
            self._until_by_id[leaf_id] = _FOREVER

    def handle_store_recovery(self) -> None:
        """Begin the grace period of the leaves that wait for the store."""
        self._until = self._clock.monotonic() + _GRACE_S
        for leaf_id, until in self._until_by_id.items():
            self._until_by_id[leaf_id] = min(until, self._until)
        self._arm()

    def hold(self, leaf_id: str) -> None:
        """Keep a leaf whose entry is missing; one that is kept stays so."""
        self._hold(leaf_id, self._until)

    def hold_listed_elsewhere(self, leaf_id: str) -> None:
        """Keep a leaf that another VM's copy of the store lacks.

        Its entry may have expired there if that VM's store has just recovered.
        """
        self._hold(leaf_id, self._clock.monotonic() + _GRACE_S)

    def _hold(self, leaf_id: str, until: float) -> None:
        self._until_by_id.setdefault(leaf_id, until)
        self._arm()

    def release(self, leaf_id: str) -> None:
        """Note that a leaf has registered, or is removed."""
        self._until_by_id.pop(leaf_id, None)

    def _arm(self) -> None:
        """Set the timer to the end of the next grace period."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_end = min(self._until_by_id.values(), default=_FOREVER)
        if next_end < _FOREVER:
            delay_s = next_end - self._clock.monotonic()
            self._timer = self._clock.call_later(delay_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        now = self._clock.monotonic()
        expired = [
            leaf_id
            for leaf_id, until in self._until_by_id.items()
            if until <= now
        ]
        for leaf_id in expired:
            self.release(leaf_id)
            self._on_expired(leaf_id)
        self._arm()
