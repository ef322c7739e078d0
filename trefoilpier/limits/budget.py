"""The budget for extra leaf calls, shared by hedges and retries."""


class ExtraCallBudget:
    """Token bucket for extra calls, refilled by first calls.

    Each first call adds a fraction of a token and each extra call takes a
    whole one. The balance is capped, so that tokens saved up earlier can't
    pay for a large burst of extra calls later.

    >>> budget = ExtraCallBudget(share=0.05, burst=2.0)
    >>> budget.take(), budget.take(), budget.take()
    (True, True, False)
    >>> for _ in range(20):
    ...     budget.earn()
    >>> budget.take()
    True
    """

    __slots__ = ("_balance", "_burst", "_share")

    def __init__(self, *, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._balance = burst if share > 0 else 0.0

    def set_share(self, share: float) -> None:
        """Set the fraction of a token that each first call adds."""
        self._share = share
        if share <= 0:
            self._balance = 0.0

    def earn(self, calls: int = 1) -> None:
        """Add the tokens earned by first calls."""
        self._balance = min(self._burst, self._balance + self._share * calls)

    def take(self, calls: int = 1) -> bool:
        """Take tokens for extra calls; return False if there are too few."""
        if self._balance < calls:
            return False
        self._balance -= calls
        return True

    def refund(self, calls: int = 1) -> None:
        """Return tokens for extra calls that were not made."""
        self._balance = min(self._burst, self._balance + calls)
