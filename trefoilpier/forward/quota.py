"""Interface to the quotas of client accounts."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from trefoilpier import accounts


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaDecision:
    """Decision on one request of an account with a quota.

    Attributes:
        admitted: Whether the request may be sent to leaves.
        retry_after_s: If refused, seconds after which a retry is worthwhile.
        below_limit: If refused, whether the account was below its quota as far
            as known, and the request was refused since this VM could not get
            a part of it.
    """

    admitted: bool
    retry_after_s: float = 0.0
    below_limit: bool = False


class QuotaGate(abc.ABC):
    """Admission of requests by the quotas of their accounts."""

    __slots__ = ()

    @abc.abstractmethod
    def acquire(
        self,
        account: accounts.Account,
        on_decided: Callable[[QuotaDecision], None],
    ) -> Callable[[], None]:
        """Ask for one request of an account that has a quota.

        Args:
            account: The account.
            on_decided: Called once, possibly before this returns.

        Returns:
            A function that withdraws a request that is not decided yet.
        """

    @abc.abstractmethod
    def release(self, account: accounts.Account) -> None:
        """Give back one admitted request that was not sent to any leaf."""
