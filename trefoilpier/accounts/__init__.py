"""Client accounts, their keys and quotas."""

from trefoilpier.accounts.access import Access, AccessRefusal, decide_access
from trefoilpier.accounts.account import (
    Account,
    AccountTable,
    Quota,
    digest_key,
)
from trefoilpier.accounts.usage import AccountCounts, AccountUsage

__all__ = [
    "Access",
    "AccessRefusal",
    "Account",
    "AccountCounts",
    "AccountTable",
    "AccountUsage",
    "Quota",
    "decide_access",
    "digest_key",
]
