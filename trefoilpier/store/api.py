"""The interface of the shared store.

All calls return a Deferred of an ``expression.Result`` and never fail
otherwise. A write whose answer was lost gives ``STORE_ANSWER_LOST``: it may or
may not have taken effect.
"""

import abc
from dataclasses import dataclass

import expression
from twisted.internet import defer

from trefoilpier import base


@dataclass(slots=True, kw_only=True, frozen=True)
class Item:
    """A stored value.

    Attributes:
        key: Its key.
        value: Its bytes; None if they cannot be read.
        revision: The store's revision at its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """All items below a prefix.

    Attributes:
        items: The items.
        revision: Watching from here misses nothing.
    """

    items: list[Item]
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """One change; ``item`` is None for a removal."""

    key: str
    revision: int
    item: Item | None


@dataclass(slots=True, kw_only=True, frozen=True)
class Changes:
    """What a watch has seen.

    Attributes:
        changes: The changes in order; may be empty.
        revision: Where to go on.
        history_gone: Whether changes may have been missed.
    """

    changes: list[Change]
    revision: int
    history_gone: bool = False


class KeyValueStore(abc.ABC):
    """Reads, watches, conditional writes and leases."""

    __slots__ = ()

    @abc.abstractmethod
    def read_all(
        self, prefix: str, *, may_be_old: bool = False
    ) -> "defer.Deferred[expression.Result[Snapshot, base.Failure]]":
        """Reads every item below a prefix.

        Args:
            prefix: Start of the keys.
            may_be_old: Whether an answer that is seconds old will do; such a
                read costs less.
        """

    @abc.abstractmethod
    def read(
        self, key: str
    ) -> "defer.Deferred[expression.Result[Item, base.Failure]]":
        """Reads a key; an absent one has revision 0."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> "defer.Deferred[expression.Result[Changes, base.Failure]]":
        """Waits for changes after a revision."""

    @abc.abstractmethod
    def grant_lease(
        self, *, ttl_s: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Makes a lease and returns its id."""

    @abc.abstractmethod
    def keep_lease(
        self, lease: str
    ) -> "defer.Deferred[expression.Result[bool, base.Failure]]":
        """Renews a lease; False if it has ended."""

    @abc.abstractmethod
    def end_lease(
        self, lease: str
    ) -> "defer.Deferred[expression.Result[bool, base.Failure]]":
        """Ends a lease and removes its keys."""

    @abc.abstractmethod
    def write(
        self, key: str, value: bytes, *, expect: int | None, lease: str = ""
    ) -> "defer.Deferred[expression.Result[int, base.Failure]]":
        """Writes a key and returns its revision.

        Args:
            key: The key.
            value: The value.
            expect: Revision that the key must have; 0 if it must not exist,
                None for any.
            lease: Lease that the key ends with, or empty.
        """
