"""Quota gate whose decisions a test makes."""

from collections.abc import Callable, Iterable

from trefoilpier import accounts, forward

ADMITTED = forward.QuotaDecision(admitted=True)


class ScriptedGate(forward.QuotaGate):
    """Gate that decides at once, as scripted, or later by the test.

    Attributes:
        pending: Callbacks of the requests without a scripted decision.
        asked: Names of the accounts of all requests.
        released: Names of the accounts of released requests.
        withdrawn: Number of withdrawn requests.
    """

    __slots__ = ("_decisions", "asked", "pending", "released", "withdrawn")

    def __init__(
        self, *, decisions: Iterable[forward.QuotaDecision] = ()
    ) -> None:
        """Create the gate.

        Args:
            decisions: Decisions on the first requests.
        """
        self._decisions = list(decisions)
        self.asked: list[str] = []
        self.pending: list[Callable[[forward.QuotaDecision], None]] = []
        self.released: list[str] = []
        self.withdrawn = 0

    def acquire(
        self,
        account: accounts.Account,
        on_decided: Callable[[forward.QuotaDecision], None],
    ) -> Callable[[], None]:
        """Decide now if a decision is left, else when the test does."""
        self.asked.append(account.name)
        if self._decisions:
            on_decided(self._decisions.pop(0))
        else:
            self.pending.append(on_decided)
        return self._withdraw

    def _withdraw(self) -> None:
        self.withdrawn += 1

    def release(self, account: accounts.Account) -> None:
        """Record the release."""
        self.released.append(account.name)
