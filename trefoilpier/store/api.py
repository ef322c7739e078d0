"""Interface of the shared key-value store.

All methods return a Deferred of an ``expression.Result``; the Deferred itself
never fails. A write whose response was lost returns ``STORE_ANSWER_LOST``: it
may or may not have taken effect.

The store may be restored from a copy some seconds old. It then has lost the
latest writes, and gives out their revisions a second time. Its era counts the
restores, and revisions of different eras cannot be compared.
"""

import abc
from collections.abc import Callable
from dataclasses import dataclass

import expression
from twisted.internet import defer

from trefoilpier import base

# A watch whose response has not come so long after its wait is lost.
WATCH_ANSWER_S = 0.6


@dataclass(slots=True, kw_only=True, frozen=True)
class Item:
    """A key with its value.

    Attributes:
        key: The key.
        value: Value of the key; None if it cannot be decoded.
        revision: Store revision of the key's last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """All items with a key prefix.

    Attributes:
        items: The items.
        revision: Revision from which a watch misses no later change.
        era: Era of the store in which the items were read.
    """

    items: list[Item]
    revision: int
    era: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """A change of a key; ``item`` is None if the key was deleted."""

    key: str
    revision: int
    item: Item | None


@dataclass(slots=True, kw_only=True, frozen=True)
class Changes:
    """Result of a watch.

    Attributes:
        changes: Changes in order of revision; may be empty.
        revision: Revision from which to continue watching.
        history_gone: Whether the store no longer has all changes after the
            requested revision, or has been restored since, so that some may be
            missing.
    """

    changes: list[Change]
    revision: int
    history_gone: bool = False


class KeyValueStore(abc.ABC):
    """Reads, watches, conditional writes and leases."""

    __slots__ = ()

    @property
    def era(self) -> int | None:
        """Latest known era; None if it is unknown or there are none."""
        return None

    def on_restore(  # noqa: B027
        self, callback: Callable[[int, int], None]
    ) -> None:
        """Call back whenever a restore of the store is noticed.

        A store without eras never does.

        Args:
            callback: Called with the former and the new era.
        """

    @abc.abstractmethod
    def read_all(
        self, prefix: str, *, allow_stale: bool = False
    ) -> "defer.Deferred[expression.Result[Snapshot, base.Failure]]":
        """Read all items with a key prefix.

        Args:
            prefix: Prefix of the keys.
            allow_stale: Whether the result may be some seconds stale; such a
                read costs less.
        """

    @abc.abstractmethod
    def read(
        self, key: str
    ) -> "defer.Deferred[expression.Result[Item, base.Failure]]":
        """Read a key; an absent one has revision 0."""

    @abc.abstractmethod
    def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        era: int | None = None,
    ) -> "defer.Deferred[expression.Result[Changes, base.Failure]]":
        """Wait for changes of keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            era: Era of that revision; None if it is unknown.
            wait_s: Time to wait for a change, in seconds.
        """

    @abc.abstractmethod
    def grant_lease(
        self, *, ttl_s: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Create a lease of ``ttl_s`` seconds and return its id."""

    @abc.abstractmethod
    def keep_lease(
        self, lease: str
    ) -> "defer.Deferred[expression.Result[bool, base.Failure]]":
        """Renew a lease; the result is False if it has ended."""

    @abc.abstractmethod
    def end_lease(
        self, lease: str
    ) -> "defer.Deferred[expression.Result[bool, base.Failure]]":
        """End a lease and delete its keys."""

    @abc.abstractmethod
    def write(
        self, key: str, value: bytes, *, expect: int | None, lease: str = ""
    ) -> "defer.Deferred[expression.Result[int, base.Failure]]":
        """Write a key and return its new revision.

        Args:
            key: The key.
            value: The value.
            expect: Revision that the key must have; 0 if it must not exist,
                None for any.
            lease: Id of the lease whose end deletes the key, or empty.
        """

    @abc.abstractmethod
    def delete(
        self, key: str, *, expect: int
    ) -> "defer.Deferred[expression.Result[int, base.Failure]]":
        """Delete a key and return the store's new revision.

        Args:
            key: The key.
            expect: Revision that the key must have.
        """
