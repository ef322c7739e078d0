"""Shared limits on one VM: its requests under them and those that it owns."""

import itertools
from collections.abc import Callable

from trefoilpier import base
from trefoilpier.shares import (
    exchange,
    grantor,
    holder,
    messages,
    roles,
    spec,
    transport,
)
from trefoilpier.shares import peer as peers

# Between two messages to an owner while there is demand; with the time to the
# answer, less than the lifetime of tokens.
_EXCHANGE_PERIOD_S = 0.25
# Longest wait of a caller's request for tokens: some times the usual time of an
# exchange between availability zones.
_CALLER_WAIT_S = 0.025
# After the answer that a VM may not grant a limit.
_NO_OWNER_PAUSE_S = 0.1
# Limits in one message, of about 40 bytes each: a quarter of what a server
# accepts.
_ASKS_MAX = 1_600
# Limits that have not been used for this time are forgotten.
_IDLE_S = 60.0
_SWEEP_PAUSE_S = 10.0


def _do_nothing() -> None:
    """Withdraw a request that is decided."""


class ShareService(roles.AskSource):
    """Shared limits of one VM.

    Attributes:
        admitted_count: Requests admitted.
        refused_count: Requests refused.
        refused_below_count: Requests among them whose limit may not have been
            reached.
        tolerated_count: Requests admitted without an owner.
    """

    __slots__ = (
        "_clock",
        "_exchange",
        "_grantor",
        "_held_by_name",
        "_own_id",
        "_started_at",
        "_swept_at",
        "admitted_count",
        "refused_below_count",
        "refused_count",
        "tolerated_count",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        share_transport: transport.ShareTransport,
        own_id: str,
        run: int,
        find_spec: Callable[[str], spec.LimitSpec | None],
    ) -> None:
        """Create the service of a VM that knows no gatherers yet.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            share_transport: Sends messages to other VMs.
            own_id: Name of this VM.
            run: Start of this process; higher for a later one.
            find_spec: Returns a limit by the configuration in force here, or
                None if it does not contain the limit.
        """
        self._clock = clock
        self._own_id = own_id
        self._started_at = clock.monotonic()
        self._swept_at = self._started_at
        self._held_by_name: dict[str, holder.HeldLimit] = {}
        self._exchange = exchange.PeerExchange(
            clock=clock,
            log=log,
            share_transport=share_transport,
            source=self,
            own_id=own_id,
            run=run,
            on_members=self._divide_tolerance_again,
        )
        self._grantor = grantor.Grantor(
            clock=clock,
            peer_exchange=self._exchange,
            own_id=own_id,
            find_spec=find_spec,
        )
        self._exchange.answerer = self._grantor
        self.admitted_count = 0
        self.refused_count = 0
        self.refused_below_count = 0
        self.tolerated_count = 0

    def set_members(self, run_by_id: dict[str, int]) -> None:
        """Change the gatherers, given with the start of their processes."""
        self._exchange.set_members(run_by_id)
        self._divide_tolerance_again()

    @property
    def member_ids(self) -> list[str]:
        """The members, also those that the list has lost but that run."""
        return list(self._exchange.roster.peer_by_id)

    def _divide_tolerance_again(self) -> None:
        for held in self._held_by_name.values():
            held.part = None

    def stop(self) -> None:
        """Leave the limits that this VM owns to others."""
        self._grantor.stopping = True
        self._exchange.roster.leave()

    # Requests under limits.

    def acquire(
        self,
        name: str,
        limit_spec: spec.LimitSpec,
        on_decided: Callable[[holder.ShareDecision], None],
    ) -> Callable[[], None]:
        """Ask for one request under a limit.

        Args:
            name: Name of the limit.
            limit_spec: The limit.
            on_decided: Called once, possibly before this returns.

        Returns:
            A function that withdraws a request that is not decided yet.
        """
        now = self._clock.monotonic()
        held = self._find_held(name, limit_spec)
        held.used_at = now
        held.demand.add(now)
        if not held.waiters and held.take(now):
            self.admitted_count += 1
            on_decided(holder.ADMITTED)
            return _do_nothing
        if now < held.empty_until:
            self.refused_count += 1
            on_decided(held.refuse(now))
            return _do_nothing
        return self._ask_owner(held, on_decided, now)

    def _find_held(
        self, name: str, limit_spec: spec.LimitSpec
    ) -> holder.HeldLimit:
        held = self._held_by_name.get(name)
        if held is None:
            held = holder.HeldLimit(
                name=name,
                spec=limit_spec,
                tolerance=holder.ToleranceUse(started_at=self._started_at),
            )
            self._held_by_name[name] = held
        elif held.spec is not limit_spec and held.spec != limit_spec:
            held.spec = limit_spec
            held.part = None
        return held

    def _ask_owner(
        self,
        held: holder.HeldLimit,
        on_decided: Callable[[holder.ShareDecision], None],
        now: float,
    ) -> Callable[[], None]:
        self._exchange.touch()
        waiter = holder.Waiter(on_decided=on_decided)
        peer = self._exchange.roster.owner_of(held.name)
        if peer is None:
            self._decide_without_owner(held, waiter)
            return _do_nothing
        peer.active[held.name] = held
        if not peer.usable or now < held.no_owner_until:
            self._exchange.schedule(peer, peer.sent_at + _EXCHANGE_PERIOD_S)
            self._decide_without_owner(held, waiter)
            return _do_nothing
        held.waiters.append(waiter)
        peer.urgent[held.name] = held
        self._exchange.schedule(peer, now)
        if waiter not in held.waiters:
            return _do_nothing
        waiter.timer = self._clock.call_later(
            _CALLER_WAIT_S, self._end_wait, held, waiter
        )
        return lambda: self._withdraw(held, waiter)

    def _withdraw(self, held: holder.HeldLimit, waiter: holder.Waiter) -> None:
        if waiter in held.waiters:
            held.waiters.remove(waiter)
            if waiter.timer is not None:
                waiter.timer.cancel()

    def _end_wait(self, held: holder.HeldLimit, waiter: holder.Waiter) -> None:
        if waiter in held.waiters:
            held.waiters.remove(waiter)
            self._decide_without_owner(held, waiter)

    def _decide_without_owner(
        self, held: holder.HeldLimit, waiter: holder.Waiter
    ) -> None:
        """Admit a request by this VM's part of the tolerance, or refuse it."""
        if held.part is None:
            held.part = self._tolerance_part(held)
        admitted = held.tolerance.take(
            self._clock.monotonic(),
            part=held.part,
            window_s=held.spec.window_s,
        )
        if admitted:
            self.admitted_count += 1
            self.tolerated_count += 1
            waiter.decide(holder.ADMITTED)
            return
        self.refused_count += 1
        self.refused_below_count += 1
        waiter.decide(held.refuse_without_owner())

    def _tolerance_part(self, held: holder.HeldLimit) -> int:
        members = self._exchange.roster.members
        if self._own_id not in members:
            return 0
        ranked = base.rank_nodes(held.name, members)
        return spec.tolerance_part(
            held.spec.tolerance,
            rank=ranked.index(self._own_id),
            count=len(members),
        )

    def release(self, name: str) -> None:
        """Give back one admitted request that was not sent."""
        held = self._held_by_name.get(name)
        if held is None:
            return
        # Not for another request here: its token may have expired.
        held.unused += 1
        peer = self._exchange.roster.owner_of(name)
        if peer is not None:
            peer.active[name] = held
            self._exchange.schedule(peer, peer.sent_at + _EXCHANGE_PERIOD_S)

    # Exchange with owners.

    def make_asks(
        self, peer: peers.Peer, now: float
    ) -> tuple[messages.Ask, ...]:
        """Return what to ask a VM for.

        All limits in use are contained once in a period; in between, only
        those for which requests wait.
        """
        self._sweep(now)
        by_name = dict(peer.urgent)
        if now >= peer.asked_all_at + _EXCHANGE_PERIOD_S:
            peer.asked_all_at = now
            by_name |= peer.active
        asks = []
        for name, held in itertools.islice(by_name.items(), _ASKS_MAX):
            peer.urgent.pop(name, None)
            peer.active.pop(name, None)
            if self._exchange.roster.owner_of(
                name
            ) is peer and held.needs_exchange(now):
                # At the end, so that each limit has its turn.
                peer.active[name] = held
                asks.append(held.make_ask(now))
        return tuple(asks)

    def _sweep(self, now: float) -> None:
        """Forget limits that are not used any more."""
        if now - self._swept_at < _SWEEP_PAUSE_S:
            return
        self._swept_at = now
        for name, held in list(self._held_by_name.items()):
            if held.is_idle(now, _IDLE_S):
                del self._held_by_name[name]

    def apply_grants(
        self,
        peer: peers.Peer,
        asks: tuple[messages.Ask, ...],
        grants: tuple[messages.Grant | None, ...],
        sent_at: float,
    ) -> None:
        """Use an answer, which is empty if there was none."""
        now = self._clock.monotonic()
        for index, ask in enumerate(asks):
            held = self._held_by_name.get(ask.name)
            if held is None:
                continue
            grant = grants[index] if index < len(grants) else None
            if grant is None:
                held.no_owner_until = now + _NO_OWNER_PAUSE_S
                while held.waiters:
                    self._decide_without_owner(held, held.waiters.popleft())
                continue
            if grant.tokens:
                self._exchange.has_used_tokens = True
            admitted, refused = held.apply_grant(
                grant, asked=ask.urgent, sent_at=sent_at, now=now
            )
            self.admitted_count += admitted
            self.refused_count += refused
            if held.waiters:
                peer.urgent[ask.name] = held
        if peer.urgent:
            self._exchange.schedule(peer, now)
        elif peer.active:
            self._exchange.schedule(
                peer, peer.asked_all_at + _EXCHANGE_PERIOD_S
            )

    # Messages of other VMs.

    def handle(
        self,
        request: messages.ShareRequest,
        respond: Callable[[messages.ShareAnswer], None],
    ) -> None:
        """Answer a message, now or a few milliseconds later."""
        self._grantor.handle(request, respond)

    @property
    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that return metrics, by name."""
        return {
            "limits_known": lambda: len(self._held_by_name),
            "limits_owned": lambda: len(self._grantor.owned_by_name),
            "limits_granting": lambda: bool(self._exchange.granting),
            "limits_admitted_total": lambda: self.admitted_count,
            "limits_refused_total": lambda: self.refused_count,
            "limits_refused_below_total": lambda: self.refused_below_count,
            "limits_tolerated_total": lambda: self.tolerated_count,
            "limits_messages_total": lambda: self._exchange.sent_count,
            "limits_messages_lost_total": lambda: self._exchange.lost_count,
            "limits_vms_unreachable": lambda: len(
                self._exchange.roster.unreachable
            ),
        }
