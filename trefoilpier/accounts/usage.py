"""Counters of what became of the requests of each account."""

import heapq
from dataclasses import dataclass

# The number of accounts to design for. Accounts come and go with versions, so
# that their counters need a bound of their own.
_ACCOUNTS_MAX = 10_000


@dataclass(slots=True, kw_only=True)
class AccountCounts:
    """Requests of one account since the start of the process.

    Attributes:
        admitted: Requests that were run, or could have been.
        refused_quota: Requests refused because the quota was used up.
        refused_below_quota: Requests refused since this VM could not get a part
            of the quota, although it was not used up as far as known.
        refused_otherwise: Requests refused for another reason.
    """

    admitted: int = 0
    refused_quota: int = 0
    refused_below_quota: int = 0
    refused_otherwise: int = 0

    @property
    def requests(self) -> int:
        """All requests of the account."""
        return (
            self.admitted
            + self.refused_quota
            + self.refused_below_quota
            + self.refused_otherwise
        )


class AccountUsage:
    """Counters by account, bounded in number.

    Attributes:
        counts_by_name: Counters by the name of the account.

    >>> usage = AccountUsage()
    >>> usage.counts_of("crew").admitted += 1
    >>> [name for name, _ in usage.busiest(20)]
    ['crew']

    Memory does not grow with each account that ever existed.

    >>> usage = AccountUsage(accounts_max=3)
    >>> for name in "abcde":
    ...     usage.counts_of(name).admitted += 1
    >>> list(usage.counts_by_name)
    ['c', 'd', 'e']
    """

    __slots__ = ("_accounts_max", "counts_by_name")

    def __init__(self, *, accounts_max: int = _ACCOUNTS_MAX) -> None:
        """Create the counters.

        Args:
            accounts_max: Accounts with counters. Beyond it, the one that was
                counted first loses them.
        """
        self._accounts_max = accounts_max
        self.counts_by_name: dict[str, AccountCounts] = {}

    def counts_of(self, name: str) -> AccountCounts:
        """Return the counters of an account, to be increased."""
        counts = self.counts_by_name.get(name)
        if counts is None:
            if len(self.counts_by_name) >= self._accounts_max:
                del self.counts_by_name[next(iter(self.counts_by_name))]
            counts = self.counts_by_name[name] = AccountCounts()
        return counts

    def total(self) -> AccountCounts:
        """Return the sums over all accounts."""
        total = AccountCounts()
        for counts in self.counts_by_name.values():
            total.admitted += counts.admitted
            total.refused_quota += counts.refused_quota
            total.refused_below_quota += counts.refused_below_quota
            total.refused_otherwise += counts.refused_otherwise
        return total

    def busiest(self, count: int) -> list[tuple[str, AccountCounts]]:
        """Return the accounts with the most requests, the busiest first."""
        return heapq.nlargest(
            count,
            self.counts_by_name.items(),
            key=lambda item: item[1].requests,
        )
