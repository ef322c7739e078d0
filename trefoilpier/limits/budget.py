"""The budget of extra leaf calls: hedges and retries together."""


class LoadBudget:
    """Earns a share of a token with each first call; an extra call takes one.

    The balance is bounded, so that a quiet time does not save up for a burst
    of extra calls later.

    >>> budget = LoadBudget(share=0.05, burst=2.0)
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
        """Changes the share that first calls earn."""
        self._share = share
        if share <= 0:
            self._balance = 0.0

    def earn(self, calls: int = 1) -> None:
        """Counts first calls."""
        self._balance = min(self._burst, self._balance + self._share * calls)

    def take(self, calls: int = 1) -> bool:
        """Takes tokens for extra calls; returns False if there are too few."""
        if self._balance < calls:
            return False
        self._balance -= calls
        return True

    def refund(self, calls: int = 1) -> None:
        """Gives tokens back for extra calls that were not made."""
        self._balance = min(self._burst, self._balance + calls)
