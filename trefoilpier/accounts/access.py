"""Decision whether a request is allowed, and for which account.

The function is pure: it decides from the state that is passed in. It answers
callers without a key, with a key that was never issued or has been withdrawn,
and VMs that may have missed a withdrawal.
"""

import enum
from dataclasses import dataclass

from trefoilpier.accounts import account as account_types


class AccessRefusal(enum.Enum):
    """Why a request is refused before anything else is decided.

    UNKNOWN_KEY: it needs the key of an account and has none.
    NOT_CONFIRMED: it needs a key, and the accounts may be out of date.
    """

    UNKNOWN_KEY = enum.auto()
    NOT_CONFIRMED = enum.auto()


@dataclass(slots=True, kw_only=True, frozen=True)
class Access:
    """Decision on one request while accounts are in use.

    Attributes:
        account: Account that holds the key; None if the request has no known
            key.
        refusal: Why it is refused; None if it is allowed.
    """

    account: account_types.Account | None = None
    refusal: AccessRefusal | None = None


_ANONYMOUS = Access()
_UNKNOWN_KEY = Access(refusal=AccessRefusal.UNKNOWN_KEY)


def decide_access(
    *,
    table: account_types.AccountTable,
    key: bytes,
    anonymous: bool,
    confirmed: bool,
) -> Access:
    """Decide whether a request is allowed.

    Accounts that are not confirmed identify nobody: their keys may have been
    withdrawn. A request that needs no key is then served without an account.

    Args:
        table: Accounts in force.
        key: Key that the request carries; empty for none.
        anonymous: Whether the route needs no key.
        confirmed: Whether the accounts are known to be current.

    >>> table = account_types.AccountTable(
    ...     entries=[(account_types.Account(name="crew"), [b"k1"])]
    ... )
    >>> access = decide_access(
    ...     table=table, key=b"k1", anonymous=False, confirmed=True
    ... )
    >>> access.account.name, access.refusal
    ('crew', None)
    >>> decide_access(
    ...     table=table, key=b"k2", anonymous=False, confirmed=True
    ... ).refusal
    <AccessRefusal.UNKNOWN_KEY: 1>
    """
    account = table.find(key) if key else None
    if not confirmed:
        if anonymous:
            return _ANONYMOUS
        return Access(account=account, refusal=AccessRefusal.NOT_CONFIRMED)
    if account is not None:
        return Access(account=account)
    return _ANONYMOUS if anonymous else _UNKNOWN_KEY
