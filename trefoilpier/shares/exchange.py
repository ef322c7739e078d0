"""Exchange of messages with the other VMs, and the state of each of them."""

from collections.abc import Callable

from trefoilpier import base
from trefoilpier.shares import (
    member_watch,
    messages,
    orders,
    roles,
    roster,
    transport,
)
from trefoilpier.shares import peer as peers

# Between two messages to one VM, so that requests which find no tokens at about
# the same time share one.
_SEND_GAP_S = 0.005
_RETRY_PAUSE_S = 0.05  # After the first message without an answer.
# Between two messages to a VM that cannot be reached.
_PROBE_PAUSE_S = 0.5
_UPKEEP_PAUSE_S = 0.25
# Without a request under any limit for this time, nothing is sent.
_ACTIVE_S = 3.0
# A process is new for this time at most. VMs that lose power together start
# within a shorter one.
_NEW_S = 5.0
# Votes that end within this time are renewed while this VM grants tokens.
_VOTE_RENEWAL_S = 0.5
# While this VM may not grant, messages to those that disagree are at least this
# long apart.
_DISAGREEMENT_PAUSE_S = 0.1
_LOG_PAUSE_S = 5.0  # Between two events about the state of this VM.


class PeerExchange:
    """Messages of one VM to the others, which it also votes with.

    Attributes:
        answerer: Answers messages; set after the creation.
        roster: The other VMs and the votes.
        sent_count: Messages sent to other VMs.
        lost_count: Messages among them without an answer.
        has_used_tokens: Whether this process has given or got tokens.
        granting: Whether this VM has lately had enough votes to grant tokens;
            None if it has not tried.
    """

    __slots__ = (
        "_active_until",
        "_clock",
        "_granting_until",
        "_log",
        "_logged_at",
        "_logged_state",
        "_message_count",
        "_own_id",
        "_run",
        "_started_at",
        "_transport",
        "_upkeep",
        "_watch",
        "_source",
        "answerer",
        "granting",
        "has_used_tokens",
        "lost_count",
        "roster",
        "sent_count",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        share_transport: transport.ShareTransport,
        source: roles.AskSource,
        own_id: str,
        run: int,
        on_members: Callable[[], None],
    ) -> None:
        """Create the exchange without other VMs.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            share_transport: Sends messages.
            source: The limits in use on this VM.
            own_id: Name of this VM.
            run: Start of this process; higher for a later one.
            on_members: Called when VMs have ceased to be members.
        """
        self._clock = clock
        self._log = log
        self._transport = share_transport
        self._source = source
        self._own_id = own_id
        self._run = run
        self.roster = roster.PeerRoster(clock=clock, own_id=own_id, run=run)
        self._watch = member_watch.MemberWatch(
            clock=clock,
            peer_roster=self.roster,
            schedule=self.schedule,
            on_dropped=on_members,
        )
        self._message_count = 0
        self._active_until = 0.0
        self._granting_until = 0.0
        self._upkeep: base.Timer | None = None
        self._logged_at = -_LOG_PAUSE_S
        self._logged_state: tuple = ()
        self.answerer: roles.Answerer
        self.granting: bool | None = None
        self.has_used_tokens = False
        self._started_at = clock.monotonic()
        self.sent_count = 0
        self.lost_count = 0

    def set_members(self, run_by_id: dict[str, int]) -> None:
        """Change the gatherers, given with the start of their processes."""
        self.roster.set_members(run_by_id, seen=self._message_count)
        self._watch.start()

    @property
    def is_new(self) -> bool:
        """Whether this process has neither given nor got tokens so far."""
        return (
            not self.has_used_tokens
            and self._clock.monotonic() < self._started_at + _NEW_S
        )

    # Messages.

    def schedule(self, peer: peers.Peer, at: float) -> None:
        """Send a message at a time, or when the last one has been answered."""
        if peer.in_flight:
            return
        now = self._clock.monotonic()
        if peer.vm_id != self._own_id:
            at = max(at, peer.sent_at + _SEND_GAP_S)
        if peer.timer is not None:
            if peer.due_at <= at:
                return
            peer.stop()
        if at <= now:
            self._send(peer)
            return
        peer.due_at = at
        peer.timer = self._clock.call_later(at - now, self._send, peer)

    def check(self, vm_id: str) -> None:
        """Find out soon whether a VM can be reached."""
        peer = self.roster.peer_by_id.get(vm_id)
        if peer is None or vm_id == self._own_id or not peer.supported:
            return
        now = self._clock.monotonic()
        if now - peer.sent_at > transport.ANSWER_TIMEOUT_S:
            self.schedule(peer, now)

    def _send(self, peer: peers.Peer) -> None:
        peer.stop()
        now = self._clock.monotonic()
        peer.in_flight = True
        self._message_count += 1
        peer.number = self._message_count
        peer.sent_at = now
        asks = self._source.make_asks(peer, now)
        order = self.roster.order
        number = peer.number
        request = messages.ShareRequest(
            sender=self._own_id,
            run=self._run,
            number=number,
            seen=peer.seen,
            digest=order.digest,
            unreachable=self.roster.unreachable,
            asks=asks,
        )
        if peer.vm_id == self._own_id:
            self.answerer.handle(
                request,
                lambda answer: self._handle_answer(
                    peer, number, asks, order, answer
                ),
            )
            return
        self.sent_count += 1
        self._transport.send(
            peer.vm_id,
            messages.encode_request(request),
            lambda outcome: self._handle_outcome(
                peer, number, asks, order, outcome
            ),
        )

    def _handle_outcome(
        self,
        peer: peers.Peer,
        number: int,
        asks: tuple[messages.Ask, ...],
        order: orders.OwnerOrder,
        outcome: bytes | transport.SendFailure,
    ) -> None:
        if number != peer.number:
            return
        if isinstance(outcome, bytes):
            decoded = messages.decode_answer(outcome)
            if decoded.is_ok():
                self._handle_answer(peer, number, asks, order, decoded.ok)
                return
            self.report(peer.vm_id, decoded.error)
            outcome = transport.SendFailure.REJECTED
        self._handle_failure(peer, asks, outcome)

    def report(self, vm_id: str, reason: str) -> None:
        """Log an unreadable message, once for each process of a VM."""
        peer = self.roster.peer_by_id.get(vm_id)
        if peer is None or peer.reported:
            return
        peer.reported = True
        self._log.emit(base.Event.PEER_REJECTED, peer=vm_id, reason=reason)

    def _handle_failure(
        self,
        peer: peers.Peer,
        asks: tuple[messages.Ask, ...],
        failure: transport.SendFailure,
    ) -> None:
        now = self._clock.monotonic()
        peer.in_flight = False
        was_reachable = peer.reachable
        peer.failures += 1
        self.lost_count += 1
        if failure is transport.SendFailure.UNSUPPORTED:
            peer.supported = False
            self.report(peer.vm_id, "VM does not know shared limits")
        elif failure is transport.SendFailure.REJECTED:
            self.report(peer.vm_id, "VM cannot read messages about limits")
        known = self.roster.peer_by_id.get(peer.vm_id) is peer
        if known and peer.reachable != was_reachable:
            self.roster.update_candidates()
        self._source.apply_grants(peer, asks, (), peer.sent_at)
        if known and peer.supported and peer.failures < peers.FAILURES_MAX:
            self.schedule(peer, now + _RETRY_PAUSE_S)

    def _handle_answer(
        self,
        peer: peers.Peer,
        number: int,
        asks: tuple[messages.Ask, ...],
        order: orders.OwnerOrder,
        answer: messages.ShareAnswer,
    ) -> None:
        if number != peer.number:
            return
        now = self._clock.monotonic()
        was_reachable = peer.reachable
        peer.in_flight = False
        peer.failures = 0
        peer.seen = number
        peer.leaving = answer.leaving
        peer.heard_at = now
        if self.roster.peer_by_id.get(peer.vm_id) is peer:
            if peer.reachable != was_reachable:
                self.roster.update_candidates()
            if answer.periods and peer.vm_id != self._own_id:
                self.roster.electorate.record(
                    peer.vm_id,
                    answer.periods,
                    order=order,
                    new=answer.new,
                    sent_at=peer.sent_at,
                    now=now,
                )
                self.answerer.handle_votes()
        self._source.apply_grants(peer, asks, answer.grants, peer.sent_at)

    # Votes.

    def collect_votes(self) -> bool:
        """Return whether votes suffice to grant; ask for them if not."""
        now = self._clock.monotonic()
        self._granting_until = now + _ACTIVE_S
        return self._update_votes(now)

    def _update_votes(self, now: float) -> bool:
        if self._own_id in self.roster.peer_by_id:
            self.roster.electorate.record_own(now, new=self.is_new)
        self.granting = self.has_votes()
        if not self.granting:
            self._ask_for_votes(until=now)
        return self.granting

    def has_votes(self) -> bool:
        """Return whether votes suffice to grant.

        While all VMs start, the votes of all of them are worth a short wait.
        """
        now = self._clock.monotonic()
        book = self.roster.electorate.book
        book.found(now)
        if not book.has_quorum(now):
            return False
        if book.founded_at is not None or not self.roster.together:
            return True
        return all(book.valid_until(vm_id) > now for vm_id in book.members)

    def _ask_for_votes(self, *, until: float) -> None:
        """Ask as many VMs as are needed for votes that hold longer.

        One more than needed is asked, so that a single loss does not matter.
        Each VM begins after itself in the list, which spreads the messages.
        """
        now = self._clock.monotonic()
        book = self.roster.electorate.book
        members = book.members
        index = members.index(self._own_id) if self._own_id in members else 0
        wanted = book.quorum
        if book.founded_at is None and self.roster.together:
            wanted = len(members)
        count = 0
        for vm_id in (*members[index + 1 :], *members[:index]):
            if count >= wanted:
                return
            peer = self.roster.peer_by_id[vm_id]
            if not peer.reachable:
                continue
            count += 1
            if book.valid_until(vm_id) <= until:
                self.schedule(peer, now)

    def ask_those_who_disagree(self) -> None:
        """Ask the VMs again that regard another one as the owner."""
        now = self._clock.monotonic()
        for vm_id in self.roster.electorate.dissenters(now):
            peer = self.roster.peer_by_id.get(vm_id)
            if peer is not None and peer.reachable:
                self.schedule(peer, peer.sent_at + _DISAGREEMENT_PAUSE_S)

    # Upkeep.

    def touch(self) -> None:
        """Note that limits are in use."""
        self._active_until = self._clock.monotonic() + _ACTIVE_S
        if self._upkeep is None:
            self._upkeep = self._clock.call_later(_UPKEEP_PAUSE_S, self._check)

    def _check(self) -> None:
        now = self._clock.monotonic()
        if now < self._granting_until:
            self._update_votes(now)
            self._ask_for_votes(until=now + _VOTE_RENEWAL_S)
        for peer in self.roster.others:
            if (
                peer.supported
                and not peer.reachable
                and not peer.in_flight
                and now - peer.sent_at >= _PROBE_PAUSE_S
            ):
                self.schedule(peer, now)
        self._log_state(now)
        if now < self._active_until:
            self._upkeep = self._clock.call_later(_UPKEEP_PAUSE_S, self._check)
            return
        self._upkeep = None
        self.granting = None
        # What was not reachable then may be so when a limit is used again.
        for peer in self.roster.peer_by_id.values():
            peer.failures = 0
        self.roster.update_candidates()

    def _log_state(self, now: float) -> None:
        """Log changes of who is reachable and whether this VM may grant."""
        state = (
            self.granting,
            self.roster.unreachable,
            len(self.roster.electorate.book.members),
        )
        if state == self._logged_state or now - self._logged_at < _LOG_PAUSE_S:
            return
        self._logged_state = state
        self._logged_at = now
        self._log.emit(
            base.Event.LIMIT_OWNER,
            grants=self.granting,
            members=len(self.roster.electorate.book.members),
            unreachable=list(self.roster.unreachable),
        )
