"""Choice of the owner of a limit, and the votes that confirm it.

VMs learn at different times that a VM has joined, left or cannot be reached, so
that two of them may consider themselves the owner of a limit. An owner
therefore grants tokens only while most VMs have promised to consider no other
VM the owner. Two majorities of the same VMs have one in common, whose promises
do not overlap in time.
"""

import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass

from trefoilpier.shares import orders

# An owner counts a vote for this time from its own message. It survives the
# loss of two messages.
VOTE_LIFETIME_S = 1.2
# The VM that has given the vote keeps to it for longer, from its answer on; the
# margin covers clocks of different speed.
PROMISE_S = 1.3
# A list of VMs that was not confirmed by most of the former ones counts fully
# after this time, in which VMs that are cut off have stopped or returned.
_FORMER_MEMBERS_S = 30.0
# VMs in contact learn of a change of the list within this time. Until then, an
# owner needs half of the VMs of each earlier list that a voter tells of.
_CHANGE_SPREAD_S = 6.0
# Usual time of an answer, by which a voter's start seems later. A process does
# not start again within this time.
_START_MARGIN_S = 0.05
_HISTORY_MAX = 8  # Changes that a vote tells of.


@dataclass(slots=True, kw_only=True)
class VotePeriod:
    """A time in which a VM regarded the same VMs as candidates.

    Attributes:
        order: The candidates.
        since: Monotonic time of its start.
        promised_until: Monotonic time until which the votes given in it hold;
            0 if none was given.
    """

    order: orders.OwnerOrder
    since: float
    promised_until: float = 0.0


class Voter:
    """The votes that one VM gives.

    Attributes:
        periods: The current period and earlier ones, the newest last.

    >>> known = orders.OwnerOrders()
    >>> voter = Voter(order=known.get(["a", "b"]), now=0.0)
    >>> voter.vote(5.0)[0].promised_until
    6.3
    >>> voter.set_order(known.get(["a"]), 5.5)
    >>> [(each.since, each.promised_until) for each in voter.periods]
    [(1.3, 6.3), (5.5, 0.0)]
    """

    __slots__ = ("_bound_until", "periods")

    def __init__(self, *, order: orders.OwnerOrder, now: float) -> None:
        """Start without knowledge of earlier votes of the same VM.

        Args:
            order: The candidates.
            now: Monotonic time.
        """
        # An earlier process of this VM may have voted until now.
        self._bound_until = now + PROMISE_S
        self.periods = [VotePeriod(order=order, since=self._bound_until)]

    @property
    def order(self) -> orders.OwnerOrder:
        """The current candidates."""
        return self.periods[-1].order

    def set_order(self, order: orders.OwnerOrder, now: float) -> None:
        """Change the candidates."""
        if order is self.order:
            return
        if not self.periods[-1].promised_until:
            # Nobody relies on the current period.
            self.periods.pop()
            if self.periods and self.order is order:
                return
        if len(self.periods) >= _HISTORY_MAX:
            dropped = self.periods.pop(0)
            self._bound_until = max(self._bound_until, dropped.promised_until)
            oldest = self.periods[0]
            oldest.since = max(oldest.since, self._bound_until)
        since = now if self.periods else max(now, self._bound_until)
        self.periods.append(VotePeriod(order=order, since=since))

    def vote(self, now: float) -> list[VotePeriod]:
        """Promise to keep to the current candidates, and return the periods.

        Earlier periods tell since when a candidate has been the only one.
        """
        self.periods[-1].promised_until = now + PROMISE_S
        return self.periods


@dataclass(slots=True, kw_only=True)
class Vote:
    """A vote received, with times on this VM's clock.

    Attributes:
        periods: Periods of the voter, the newest last.
        valid_until: Monotonic time until which the vote counts.
        new: Whether the voter's process has started lately and has neither
            given nor got tokens.
    """

    periods: list[VotePeriod]
    valid_until: float
    new: bool = False

    @property
    def sent_at(self) -> float:
        """Monotonic time of the message that asked for the vote."""
        return self.valid_until - VOTE_LIFETIME_S

    def earlier_orders(self, now: float) -> Iterable[orders.OwnerOrder]:
        """Return the candidates that the voter had until lately."""
        for period, following in itertools.pairwise(self.periods):
            if now - following.since < _CHANGE_SPREAD_S:
                yield period.order

    def owner_period(
        self, name: str, vm_id: str
    ) -> tuple[float | None, VotePeriod | None]:
        """Return since when the voter regards a VM as the owner of a limit.

        Args:
            name: Name of the limit.
            vm_id: Name of the VM.

        Returns:
            The time, or None if the voter regards another one as the owner,
            and the last period in which it regarded another one as that.
        """
        since = None
        for period in reversed(self.periods):
            if period.order.owner_of(name) != vm_id:
                return since, period
            since = period.since
        return since, None


class VoteBook:
    """The votes that one VM has received.

    Attributes:
        members: The VMs that vote.
        unable: VMs that do not know shared limits, and so own none.
        founded_at: Monotonic time at which new processes of all members had
            voted for the same candidates; None if that has not been seen.
    """

    __slots__ = (
        "_former_members",
        "_former_until",
        "_own_id",
        "_started_at",
        "_vote_by_id",
        "founded_at",
        "members",
        "unable",
    )

    def __init__(self, *, own_id: str, now: float) -> None:
        self._own_id = own_id
        self._started_at = now
        self._vote_by_id: dict[str, Vote] = {}
        self.members: tuple[str, ...] = ()
        self.unable: frozenset[str] = frozenset()
        self.founded_at: float | None = None
        self._former_members: tuple[str, ...] = ()
        self._former_until = now

    def set_members(self, members: tuple[str, ...], now: float) -> None:
        """Change the VMs that vote."""
        if members == self.members:
            return
        if not self._former_members or now >= self._former_until:
            # A VM that has just started knows of no former ones. The others
            # alone, which it knows until its own vote counts, are none.
            joined = self._own_id in self.members
            self._former_members = self.members if joined else ()
        self._former_until = now + _FORMER_MEMBERS_S
        self.members = members
        for vm_id in set(self._vote_by_id).difference(members):
            if vm_id not in self._former_members:
                del self._vote_by_id[vm_id]

    def record(self, vm_id: str, vote: Vote) -> None:
        """Note a vote, unless a newer one is known."""
        known = self._vote_by_id.get(vm_id)
        if known is None or known.valid_until <= vote.valid_until:
            self._vote_by_id[vm_id] = vote

    def valid_until(self, vm_id: str) -> float:
        """Return until when a VM's vote counts."""
        vote = self._vote_by_id.get(vm_id)
        return vote.valid_until if vote is not None else 0.0

    @property
    def quorum(self) -> int:
        """Votes that an owner needs, its own included."""
        return len(self.members) // 2 + 1

    def has_quorum(self, now: float) -> bool:
        """Return whether enough votes are known, for whatever owner."""
        votes = sum(self.valid_until(vm_id) > now for vm_id in self.members)
        return votes >= self.quorum

    def agrees(self, vm_id: str, order: orders.OwnerOrder, now: float) -> bool:
        """Return whether a VM has voted for these candidates."""
        vote = self._vote_by_id.get(vm_id)
        return (
            vote is not None
            and vote.valid_until > now
            and vote.periods[-1].order is order
        )

    def owner_since(self, name: str, now: float) -> float | None:
        """Return since when this VM has been the only owner of a limit.

        None if it may not be the owner, or not the only one. This VM's own vote
        is needed: while it has promised to consider another VM the owner, that
        one relies on this VM not to be one.
        """
        since_by_id = {}
        earlier: set[orders.OwnerOrder] = set()
        for vm_id, vote in self._vote_by_id.items():
            if vote.valid_until <= now:
                continue
            if len(vote.periods) > 1:
                earlier.update(vote.earlier_orders(now))
            since = self._only_owner_since(vote, name, now)
            if since is not None and since <= now:
                since_by_id[vm_id] = since
        starts = sorted(
            since_by_id[vm_id] for vm_id in self.members if vm_id in since_by_id
        )
        quorum = self.quorum
        if (
            self._own_id not in since_by_id
            or len(starts) < quorum
            or not self._is_confirmed(since_by_id, now)
            or not all(
                self._has_half(order.vm_ids, since_by_id) for order in earlier
            )
        ):
            return None
        return max(starts[quorum - 1], self._started_at)

    def _only_owner_since(
        self, vote: Vote, name: str, now: float
    ) -> float | None:
        """Return from when on a voter's promises are for this VM only."""
        since, conflict = vote.owner_period(name, self._own_id)
        if since is None:
            return None
        if conflict is None:
            return self._after_start(since)
        rival = conflict.order.owner_of(name)
        return max(
            since,
            min(
                conflict.promised_until,
                self._yielded(rival, name, since, now),
            ),
        )

    def found(self, now: float) -> None:
        """Note that all VMs have started again and agree, if they do.

        Then no running process has been an owner or has tokens of one. The
        earlier processes of the same VMs have ended, so that nobody relies on
        their promises.
        """
        if self.founded_at is not None or not self.members:
            return
        own = self._vote_by_id.get(self._own_id)
        if own is None or self._own_id not in self.members:
            return
        order = own.periods[-1].order
        for vm_id in self.members:
            vote = self._vote_by_id.get(vm_id)
            if vote is None or not vote.new:
                return
            if not self.agrees(vm_id, order, now):
                return
        self.founded_at = now

    def _after_start(self, since: float) -> float:
        """Return from when on a vote counts that was never for another VM.

        Args:
            since: Its time, for which the voter's process waits after its start
                because of promises of its earlier process.
        """
        founded_at = self.founded_at
        if founded_at is None or since <= founded_at:
            return since
        # The voter's process may have started again since then.
        if since > founded_at + PROMISE_S + _START_MARGIN_S:
            return since
        return founded_at

    def _yielded(
        self, rival: str, name: str, changed_at: float, now: float
    ) -> float:
        """Return since when another VM has left a limit to this one.

        A VM grants only what it regards as its own, and keeps to its vote. It
        may have regarded the limit as its own between an older vote and the
        voter's change.

        Args:
            rival: Name of the other VM.
            name: Name of the limit.
            changed_at: Monotonic time since when a voter has regarded this VM
                as the owner, and not the other one.
            now: Monotonic time.
        """
        vote = self._vote_by_id.get(rival)
        if vote is None or vote.valid_until <= now:
            return math.inf
        if vote.sent_at < changed_at:
            return math.inf
        since, conflict = vote.owner_period(name, self._own_id)
        if since is None:
            return math.inf
        return self._after_start(since) if conflict is None else since

    def is_current(self, vm_id: str, now: float) -> bool:
        """Return whether a vote is newer than the last change of any voter."""
        changes = (vote.periods[-1].since for vote in self._vote_by_id.values())
        # Votes of processes that have just started begin later.
        changed_at = max((each for each in changes if each <= now), default=0.0)
        vote = self._vote_by_id.get(vm_id)
        return vote is not None and vote.sent_at >= changed_at

    def _is_confirmed(self, since_by_id: dict[str, float], now: float) -> bool:
        """Return whether VMs with the former list cannot choose an owner.

        VMs that are cut off from the store and from the others disappear from
        the list, but may still be the majority of the former one.
        """
        if not self._former_members:
            return True
        if now < self._former_until and not self._has_half(
            self._former_members, since_by_id
        ):
            return False
        if self._knows_list(now):
            self._former_members = ()
        return True

    def _knows_list(self, now: float) -> bool:
        """Return whether half of the former VMs have the current list."""
        own = self._vote_by_id.get(self._own_id)
        if now >= self._former_until or own is None:
            return True
        order = own.periods[-1].order
        aware = 0
        for vm_id in self._former_members:
            vote = self._vote_by_id.get(vm_id)
            if vote is not None and vote.valid_until > now:
                aware += vote.periods[-1].order is order
        return 2 * aware >= len(self._former_members)

    def _has_half(
        self, vm_ids: tuple[str, ...], agreeing: dict[str, float]
    ) -> bool:
        """Return whether the others of some VMs cannot be a majority."""
        able = [vm_id for vm_id in vm_ids if vm_id not in self.unable]
        return 2 * sum(vm_id in agreeing for vm_id in able) >= len(able)
