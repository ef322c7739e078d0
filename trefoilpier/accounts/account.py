"""Client accounts of one version of the configuration."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

_DIGEST_BYTES = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class Quota:
    """Limit on the requests of an account, over all VMs together.

    Attributes:
        rate: Requests a second.
        burst: Requests beyond the rate that may come at once.
    """

    rate: float
    burst: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Account:
    """A client account.

    Attributes:
        name: Name that is passed to leaves.
        priority: Priority of its requests, 0 is the most urgent; None if the
            route's counts.
        quota: Limit on its requests; None for no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a key is kept.

    Keys are kept as digests, so that none appears in a log or a traceback.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class AccountTable:
    """The accounts of one version, found by key.

    >>> table = AccountTable(
    ...     entries=[(Account(name="crew"), [b"k1", b"k2"])]
    ... )
    >>> table.find(b"k2").name
    'crew'
    >>> table.find(b"k3") is None
    True
    """

    __slots__ = ("_account_by_digest", "account_by_name")

    def __init__(
        self, *, entries: Iterable[tuple[Account, Iterable[bytes]]]
    ) -> None:
        """Index the accounts.

        Args:
            entries: Each account with its keys.
        """
        self.account_by_name: dict[str, Account] = {}
        self._account_by_digest: dict[bytes, Account] = {}
        for account, keys in entries:
            self.account_by_name[account.name] = account
            for key in keys:
                self._account_by_digest[digest_key(key)] = account

    def find(self, key: bytes) -> Account | None:
        """Return the account that holds a key, if any."""
        return self._account_by_digest.get(digest_key(key))
