"""The interface of the platform's service.

All calls return a Deferred of an ``expression.Result`` and never fail
otherwise. A write whose answer was lost gives ``STORE_ANSWER_LOST``: it may or
may not have taken effect.
"""

import abc
import enum
from dataclasses import dataclass

import expression
from twisted.internet import defer

from trefoilpier import base

VALUE_BYTES_MAX = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """A stored value; revision 0 means that the key is absent."""

    key: str
    value: bytes
    revision: int


class VmState(enum.StrEnum):
    """What the membership list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class VmRecord:
    """One line of the membership list."""

    id: str
    host: str
    port: int
    region: str
    zone: str
    state: VmState
    role: str = "entry"
    caller_port: int = 0


EntryResult = expression.Result[Entry, base.Failure]
VmListResult = expression.Result[list[VmRecord], base.Failure]


class Store(abc.ABC):
    """Compare-and-swap, leases, watches and the membership list."""

    __slots__ = ()

    @abc.abstractmethod
    def get(self, key: str) -> "defer.Deferred[EntryResult]":
        """Reads a key."""

    @abc.abstractmethod
    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> "defer.Deferred[EntryResult]":
        """Writes a key if its revision is ``expect`` (0: if absent).

        Gives ``STORE_CONFLICT`` when the revision is another.
        """

    @abc.abstractmethod
    def watch(
        self, key: str, *, after: int, wait: float
    ) -> "defer.Deferred[EntryResult]":
        """Waits up to ``wait`` seconds for a revision above ``after``."""

    @abc.abstractmethod
    def grant_lease(
        self, *, ttl: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Makes a lease of ``ttl`` seconds and returns its id."""

    @abc.abstractmethod
    def members(self) -> "defer.Deferred[VmListResult]":
        """Reads the membership list, which lags."""
