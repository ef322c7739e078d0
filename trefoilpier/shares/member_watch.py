"""Contact with members that the list of gatherers has lost."""

from collections.abc import Callable

from trefoilpier import base
from trefoilpier.shares import membership, roster
from trefoilpier.shares import peer as peers

_CHECK_PAUSE_S = 0.25


class MemberWatch:
    """Asks such members whether they run, and drops them if they do not.

    This does not depend on demand, so that all VMs have the same members when a
    limit is used again. Nothing is sent while the list contains all members.
    """

    __slots__ = ("_clock", "_on_dropped", "_roster", "_schedule", "_timer")

    def __init__(
        self,
        *,
        clock: base.Clock,
        peer_roster: roster.PeerRoster,
        schedule: Callable[[peers.Peer, float], None],
        on_dropped: Callable[[], None],
    ) -> None:
        """Create the watch without members.

        Args:
            clock: Source of time and timers.
            peer_roster: The members.
            schedule: Sends a message to one of them at a time.
            on_dropped: Called when VMs have ceased to be members.
        """
        self._clock = clock
        self._roster = peer_roster
        self._schedule = schedule
        self._on_dropped = on_dropped
        self._timer: base.Timer | None = None

    def start(self) -> None:
        """Begin after a change of the list, unless it runs already."""
        if self._timer is None:
            self._check()

    def _check(self) -> None:
        self._timer = None
        if self._roster.drop_ended():
            self._on_dropped()
        unlisted = self._roster.unlisted
        if not unlisted:
            return
        now = self._clock.monotonic()
        for peer in unlisted:
            if now - peer.sent_at >= membership.PROBE_PAUSE_S:
                self._schedule(peer, now)
        self._timer = self._clock.call_later(_CHECK_PAUSE_S, self._check)
