"""How recently the accounts of a VM were known to be current.

With strict revocation, a VM that is cut off from the store and from all VMs
that reach it must stop to serve keys, since they may have been withdrawn.
"""

from collections.abc import Callable

from trefoilpier import base

# A watch of the store that is lost, and the read that follows it, must leave
# time for the confirmation to pass through two other VMs.
_WATCH_SHARE = 1 / 3


class AccountConfirmation:
    """Times at which the accounts in force were known to be current.

    Without strict revocation the accounts always count as confirmed.

    Attributes:
        confirmed_at: Monotonic time of the latest known moment at which the
            accounts were current; None if there was none.
    """

    __slots__ = (
        "_clock",
        "_log",
        "_reported_lost",
        "_revoke_s",
        "confirmed_at",
    )

    def __init__(
        self, *, clock: base.Clock, log: base.EventLog, revoke_s: float | None
    ) -> None:
        """Create it; the accounts are not confirmed yet.

        Args:
            clock: Source of time.
            log: Log of events.
            revoke_s: Seconds for which a confirmation counts; None without
                strict revocation.
        """
        self._clock = clock
        self._log = log
        self._revoke_s = revoke_s
        self._reported_lost = False
        self.confirmed_at: float | None = None

    def limit_watch(self, timeout_s: float) -> float:
        """Return how long a watch of the store may wait, in seconds.

        Args:
            timeout_s: Seconds that it waits without strict revocation.
        """
        if self._revoke_s is None:
            return timeout_s
        return min(timeout_s, _WATCH_SHARE * self._revoke_s)

    def confirm(self, at: float) -> None:
        """Note that the accounts in force were current at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def confirm_from_peer(
        self, *, own_version: int, peer_version: int, at: float
    ) -> None:
        """Note that a peer's accounts were current at a time.

        Args:
            own_version: Version of the configuration in force here.
            peer_version: Version in force at the peer.
            at: Monotonic time of this VM.
        """
        if own_version >= peer_version:
            self.confirm(at)

    def for_peers(self) -> float | None:
        """Return the time to tell peers; None without strict revocation."""
        return None if self._revoke_s is None else self.confirmed_at

    @property
    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that return metrics, by name."""
        if self._revoke_s is None:
            return {}
        return {"accounts_confirmed": self.is_confirmed}

    def is_confirmed(self) -> bool:
        """Return whether the accounts may be used; log when that changes."""
        if self._revoke_s is None:
            return True
        now = self._clock.monotonic()
        confirmed = (
            self.confirmed_at is not None
            and now - self.confirmed_at < self._revoke_s
        )
        if confirmed is self._reported_lost:
            self._reported_lost = not confirmed
            self._log.emit(
                base.Event.ACCOUNTS_CONFIRMED,
                confirmed=confirmed,
                age_s=(
                    None
                    if self.confirmed_at is None
                    else round(now - self.confirmed_at, 3)
                ),
            )
        return confirmed
