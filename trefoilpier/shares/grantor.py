"""The limits that one VM owns, and its answers to other VMs."""

from collections.abc import Callable

from trefoilpier import base
from trefoilpier.shares import exchange, messages, owner, roles, spec

# Longest wait for the votes that an owner needs; with the messages to and from
# the owner, less than a caller's request waits.
_VOTE_WAIT_S = 0.015
# Limits that have not been used for this time are forgotten.
_IDLE_S = 60.0
_SWEEP_PAUSE_S = 10.0


class Grantor(roles.Answerer):
    """Answers the messages of all VMs, and owns limits.

    Attributes:
        owned_by_name: The limits for which tokens were asked here.
        stopping: Whether this VM leaves its limits to others, if there are any.
    """

    __slots__ = (
        "_clock",
        "_exchange",
        "_find_spec",
        "_own_id",
        "_swept_at",
        "_waiting_answers",
        "owned_by_name",
        "stopping",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        peer_exchange: exchange.PeerExchange,
        own_id: str,
        find_spec: Callable[[str], spec.LimitSpec | None],
    ) -> None:
        """Create the grantor of a VM that owns nothing yet.

        Args:
            clock: Source of time and timers.
            peer_exchange: Messages to other VMs.
            own_id: Name of this VM.
            find_spec: Returns a limit by the configuration in force here, or
                None if it does not contain the limit.
        """
        self._clock = clock
        self._exchange = peer_exchange
        self._own_id = own_id
        self._find_spec = find_spec
        self._swept_at = clock.monotonic()
        self._waiting_answers: dict[
            int,
            tuple[
                messages.ShareRequest,
                Callable[[messages.ShareAnswer], None],
                base.Timer,
            ],
        ] = {}
        self.owned_by_name: dict[str, owner.OwnedLimit] = {}
        self.stopping = False

    def handle(
        self,
        request: messages.ShareRequest,
        respond: Callable[[messages.ShareAnswer], None],
    ) -> None:
        """Answer a message, now or a few milliseconds later."""
        self._exchange.roster.note_message(request.sender, request.run)
        self._exchange.touch()
        for vm_id in (*request.unreachable, *self._if_unreachable(request)):
            self._exchange.check(vm_id)
        if not self._owns_any(request) or self._exchange.collect_votes():
            respond(self._answer(request))
            return
        key = id(request)
        timer = self._clock.call_later(_VOTE_WAIT_S, self._end_vote_wait, key)
        self._waiting_answers[key] = (request, respond, timer)

    def _if_unreachable(
        self, request: messages.ShareRequest
    ) -> tuple[str, ...]:
        if request.sender in self._exchange.roster.unreachable:
            return (request.sender,)
        return ()

    def _owns_any(self, request: messages.ShareRequest) -> bool:
        return any(
            self._exchange.roster.is_own(
                self._exchange.roster.owner_of(ask.name)
            )
            for ask in request.asks
        )

    def handle_votes(self) -> None:
        """Go on with answers that wait for votes."""
        if self._waiting_answers and self._exchange.has_votes():
            for key in list(self._waiting_answers):
                self._end_vote_wait(key)

    def _end_vote_wait(self, key: int) -> None:
        request, respond, timer = self._waiting_answers.pop(key)
        timer.cancel()
        respond(self._answer(request))

    def _answer(self, request: messages.ShareRequest) -> messages.ShareAnswer:
        now = self._clock.monotonic()
        self._sweep(now)
        return messages.ShareAnswer(
            sender=self._own_id,
            periods=self._exchange.roster.electorate.vote(request.digest, now),
            grants=tuple(
                self._grant(ask, request, now) for ask in request.asks
            ),
            leaving=self.stopping,
            new=self._exchange.is_new,
        )

    def _grant(
        self, ask: messages.Ask, request: messages.ShareRequest, now: float
    ) -> messages.Grant | None:
        peer = self._exchange.roster.owner_of(ask.name)
        if not self._exchange.roster.is_own(peer):
            if peer is not None:
                # The VM that asks may be unable to reach the owner.
                self._exchange.check(peer.vm_id)
            return None
        book = self._exchange.roster.electorate.book
        since = book.owner_since(ask.name, now)
        if since is None:
            self._exchange.ask_those_who_disagree()
            return None
        limit_spec = self._find_spec(ask.name) or ask.spec
        owned = self.owned_by_name.get(ask.name)
        if owned is None:
            owned = owner.OwnedLimit(
                limit_spec=limit_spec,
                since=since,
                now=now,
                founded_at=book.founded_at,
            )
            self.owned_by_name[ask.name] = owned
        else:
            owned.set_spec(limit_spec, now)
        grant = owned.grant(ask, request, since=since, now=now)
        if grant.tokens:
            self._exchange.has_used_tokens = True
        return grant

    def _sweep(self, now: float) -> None:
        """Forget limits that are not used any more."""
        if now - self._swept_at < _SWEEP_PAUSE_S:
            return
        self._swept_at = now
        for name, limit in list(self.owned_by_name.items()):
            if limit.is_idle(now, _IDLE_S):
                del self.owned_by_name[name]
