"""The gatherers that take part in the exchange, as one VM sees them."""

from collections.abc import Iterator

from trefoilpier import base
from trefoilpier.shares import electorate, membership, orders, ownership
from trefoilpier.shares import peer as peers

# A VM that joins votes and may own limits after this time. Until then its votes
# would not count, since they wait for those of an earlier process to end.
_JOIN_DELAY_S = ownership.PROMISE_S + 0.2
# VMs whose processes have started within this time of each other may have
# started together, after a loss of all of them.
_TOGETHER_MS = 3000


class PeerRoster:
    """The gatherers, this VM included, and the votes among them.

    Attributes:
        electorate: Votes given and received.
        peer_by_id: State of each gatherer.
    """

    __slots__ = (
        "_clock",
        "_listed_at",
        "_own_id",
        "_run",
        "_started_at",
        "electorate",
        "peer_by_id",
    )

    def __init__(self, *, clock: base.Clock, own_id: str, run: int) -> None:
        """Create a roster without gatherers.

        Args:
            clock: Source of time and timers.
            own_id: Name of this VM.
            run: Start of this process in milliseconds.
        """
        self._run = run
        self._clock = clock
        self._own_id = own_id
        self._started_at = clock.monotonic()
        self.electorate = electorate.Electorate(
            own_id=own_id, now=self._started_at
        )
        self.peer_by_id: dict[str, peers.Peer] = {}
        # Monotonic time of the first list.
        self._listed_at: float | None = None

    @property
    def members(self) -> list[str]:
        """The gatherers that know shared limits."""
        return [
            peer.vm_id for peer in self.peer_by_id.values() if peer.supported
        ]

    @property
    def others(self) -> Iterator[peers.Peer]:
        """The gatherers without this VM."""
        return (
            peer
            for peer in self.peer_by_id.values()
            if peer.vm_id != self._own_id
        )

    @property
    def unreachable(self) -> tuple[str, ...]:
        """VMs that cannot be the owner of limits, as seen from here."""
        return tuple(
            peer.vm_id
            for peer in self.peer_by_id.values()
            if not peer.reachable
        )

    @property
    def order(self) -> orders.OwnerOrder:
        """The VMs that may own limits."""
        return self.electorate.order

    def owner_of(self, name: str) -> peers.Peer | None:
        """Return the owner of a limit, as seen from here."""
        return self.peer_by_id.get(self.order.owner_of(name))

    def is_own(self, peer: peers.Peer | None) -> bool:
        """Return whether a peer stands for this VM."""
        return peer is not None and peer.vm_id == self._own_id

    def set_members(self, run_by_id: dict[str, int], *, seen: int) -> None:
        """Change the gatherers.

        Those that are in the list no more stay members while they are heard of.

        Args:
            run_by_id: Start of the process of each.
            seen: Number of the last message sent to any.
        """
        now = self._clock.monotonic()
        if run_by_id and self._listed_at is None:
            self._listed_at = now
        for vm_id, peer in self.peer_by_id.items():
            if vm_id in run_by_id:
                peer.unlisted_at = None
            elif peer.unlisted_at is None:
                peer.unlisted_at = now
        for vm_id, run in run_by_id.items():
            peer = self.peer_by_id.get(vm_id)
            if peer is None:
                # Answers to messages of before may have been used.
                peer = peers.Peer(vm_id=vm_id, seen=seen)
                self.peer_by_id[vm_id] = peer
            # Lists of other VMs may be older.
            if peer.run < run:
                self._note_start(peer, run, now)
        self._join_if_together(now)
        if not self.drop_ended():
            self.update_candidates()

    def note_message(self, vm_id: str, run: int) -> None:
        """Note a message of another VM, which therefore runs.

        Args:
            vm_id: Name of the VM.
            run: Start of its process. Its first message may show a later one
                than the list, which holds the start of the whole VM.
        """
        peer = self.peer_by_id.get(vm_id)
        if peer is None:
            return
        now = self._clock.monotonic()
        peer.heard_at = now
        if run <= peer.heard_run:
            return
        is_first = peer.heard_run < 0
        peer.heard_run = run
        if run <= peer.run:
            return
        if is_first:
            peer.run = run
            peer.failures = 0
        else:
            self._note_start(peer, run, now)
        self._join_if_together(now)
        self.update_candidates()

    @property
    def together(self) -> bool:
        """Whether all VMs may have started at about the same time as this."""
        return self._clock.monotonic() < (
            self._started_at + _JOIN_DELAY_S
        ) and all(
            peer.run >= self._run - _TOGETHER_MS
            for peer in self.others
            if peer.supported
        )

    def _join_if_together(self, now: float) -> None:
        """Vote without delay if all VMs have started.

        No VM waits for the end of this VM's earlier promises then.
        """
        own = self.peer_by_id.get(self._own_id)
        if own is not None and own.votes_from > now and self.together:
            own.votes_from = now

    def _note_start(self, peer: peers.Peer, run: int, now: float) -> None:
        peer.reset(run)
        peer.votes_from = self._votes_from(peer.vm_id, now)
        self._clock.call_later(peer.votes_from - now, self.update_candidates)

    @property
    def unlisted(self) -> list[peers.Peer]:
        """The other members that the list does not contain."""
        return [each for each in self.others if each.unlisted_at is not None]

    def drop_ended(self) -> bool:
        """Remove VMs that are no members any more; return whether any was."""
        now = self._clock.monotonic()
        ended = [
            peer
            for peer in self.unlisted
            if (ends_at := membership.ends_at(peer)) is not None
            and ends_at <= now
        ]
        for peer in ended:
            self.peer_by_id.pop(peer.vm_id).stop()
        if ended:
            self.update_candidates()
        return bool(ended)

    def _votes_from(self, vm_id: str, now: float) -> float:
        """Return from when on a VM votes and may own limits."""
        if vm_id == self._own_id:
            return max(now, self._started_at + ownership.PROMISE_S)
        if self._listed_at is None or now < self._listed_at + _JOIN_DELAY_S:
            # Nothing is known of when it has joined. Waiting for the others of
            # the first list would leave this VM as the only one that votes.
            return now
        return now + _JOIN_DELAY_S

    def update_candidates(self) -> None:
        """Apply a change of who votes or may own limits."""
        now = self._clock.monotonic()
        voting = [
            peer
            for peer in self.peer_by_id.values()
            if peer.supported and peer.votes_from <= now
        ]
        candidates = [peer for peer in voting if peer.reachable]
        if not candidates:
            # All VMs leave: those that still run go on for as long.
            candidates = [peer for peer in voting if peer.answers]
        self.electorate.set_voters(
            (peer.vm_id for peer in voting),
            candidates=(peer.vm_id for peer in candidates),
            unable=frozenset(
                peer.vm_id
                for peer in self.peer_by_id.values()
                if not peer.supported
            ),
            now=now,
        )

    def leave(self) -> None:
        """Stop owning limits."""
        own = self.peer_by_id.get(self._own_id)
        if own is not None:
            own.leaving = True
            self.update_candidates()
