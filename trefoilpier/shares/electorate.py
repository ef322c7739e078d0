"""The votes that one VM gives and has received."""

from collections.abc import Iterable

from trefoilpier.shares import messages, orders, ownership


class Electorate:
    """Votes of one VM, with times on its clock.

    Attributes:
        book: Votes received.
    """

    __slots__ = ("_orders", "_own_id", "_voter", "book")

    def __init__(self, *, own_id: str, now: float) -> None:
        """Start without any VMs.

        Args:
            own_id: Name of this VM.
            now: Monotonic time.
        """
        self._own_id = own_id
        self._orders = orders.OwnerOrders()
        self._voter = ownership.Voter(order=self._orders.get(()), now=now)
        self.book = ownership.VoteBook(own_id=own_id, now=now)

    @property
    def order(self) -> orders.OwnerOrder:
        """The candidates, as seen from here."""
        return self._voter.order

    def set_voters(
        self,
        voters: Iterable[str],
        *,
        candidates: Iterable[str],
        unable: frozenset[str],
        now: float,
    ) -> None:
        """Change the VMs that vote.

        Args:
            voters: The VMs.
            candidates: Those among them that may own limits.
            unable: VMs that do not know shared limits.
            now: Monotonic time.
        """
        self.book.unable = unable
        self.book.set_members(tuple(sorted(voters)), now)
        self._voter.set_order(self._orders.get(candidates), now)

    def vote(
        self, digest: str, now: float
    ) -> tuple[messages.PeriodReport, ...]:
        """Return this VM's vote for an answer.

        Args:
            digest: Hash of the candidates that the asking VM knows.
            now: Monotonic time.
        """
        return tuple(
            messages.PeriodReport(
                vm_ids=None
                if period.order.digest == digest
                else period.order.vm_ids,
                age_s=now - period.since,
                promised_s=period.promised_until - now,
            )
            for period in self._voter.vote(now)
        )

    def dissenters(self, now: float) -> list[str]:
        """Return the VMs whose vote does not help to own limits yet.

        They have no vote for the candidates seen from here, or none since the
        last change of another voter.
        """
        return [
            vm_id
            for vm_id in self.book.members
            if vm_id != self._own_id
            and not (
                self.book.agrees(vm_id, self.order, now)
                and self.book.is_current(vm_id, now)
            )
        ]

    def record_own(self, now: float, *, new: bool) -> None:
        """Note this VM's vote for itself.

        Args:
            now: Monotonic time.
            new: Whether this process has neither given nor got tokens.
        """
        self.book.record(
            self._own_id,
            ownership.Vote(
                periods=list(self._voter.vote(now)),
                valid_until=now + ownership.VOTE_LIFETIME_S,
                new=new,
            ),
        )

    def record(
        self,
        vm_id: str,
        reports: tuple[messages.PeriodReport, ...],
        *,
        order: orders.OwnerOrder,
        new: bool,
        sent_at: float,
        now: float,
    ) -> None:
        """Note the vote in an answer.

        Args:
            vm_id: Name of the VM that answered.
            reports: Its vote.
            order: The candidates whose digest was in the message.
            new: Whether its process has neither given nor got tokens.
            sent_at: Monotonic time of the message.
            now: Monotonic time of the answer.
        """
        self.book.record(
            vm_id,
            ownership.Vote(
                periods=[
                    ownership.VotePeriod(
                        order=order
                        if report.vm_ids is None
                        else self._orders.get(report.vm_ids),
                        since=now - report.age_s,
                        promised_until=now + report.promised_s,
                    )
                    for report in reports
                ],
                valid_until=sent_at + ownership.VOTE_LIFETIME_S,
                new=new,
            ),
        )
