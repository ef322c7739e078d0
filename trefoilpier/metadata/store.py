"""Interface for single keys of the store and the membership list.

All methods return a Deferred of an ``expression.Result``; the Deferred itself
never fails. A write whose response was lost returns ``STORE_ANSWER_LOST``: it
may or may not have taken effect.
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
    """Value and revision of a key; revision 0 means that the key is absent.

    Attributes:
        key: The key.
        value: Its value.
        revision: Revision of its last change; 0 if the key is absent.
        era: Era of the store; revisions of different eras cannot be compared.
    """

    key: str
    value: bytes
    revision: int
    era: int | None = None


class VmState(enum.StrEnum):
    """State of a VM on the membership list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class VmRecord:
    """One VM on the membership list.

    Attributes:
        id: Id of the VM.
        host: Address of the VM.
        port: Port for peers.
        region: Region of the VM.
        zone: Availability zone of the VM.
        state: State of the VM.
        role: Role of the VM, ``entry`` or ``leaf``.
        caller_port: Port for callers; 0 if it is not listed.
    """

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
        """Read a key; an absent one has revision 0."""

    @abc.abstractmethod
    def put(
        self, key: str, value: bytes, *, expect: int, lease: str = ""
    ) -> "defer.Deferred[EntryResult]":
        """Write a key if its revision is ``expect`` (0: if absent).

        The result is ``STORE_CONFLICT`` if the key has another revision.
        """

    @abc.abstractmethod
    def watch(
        self, key: str, *, after: int, wait: float
    ) -> "defer.Deferred[EntryResult]":
        """Wait up to ``wait`` seconds for a revision above ``after``."""

    @abc.abstractmethod
    def grant_lease(
        self, *, ttl: float
    ) -> "defer.Deferred[expression.Result[str, base.Failure]]":
        """Create a lease of ``ttl`` seconds and return its id."""

    @abc.abstractmethod
    def members(self) -> "defer.Deferred[VmListResult]":
        """Read the membership list, which may lag."""
