"""The interface between the routing code and leaves."""

import abc
import enum
from collections.abc import Callable
from typing import Any

from trefoilpier import config


class CallStatus(enum.StrEnum):
    """How a leaf call ended.

    The first group are the leaf's own words; the second group is what the
    client saw.
    """

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    EXPIRED = "expired"
    DRAINING = "draining"
    VERSION_GONE = "version_gone"
    NOT_MINE = "not_mine"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    LOST = "lost"
    SILENT = "silent"
    MALFORMED = "malformed"

    @property
    def proves_not_run(self) -> bool:
        """Whether the call certainly did not run.

        >>> CallStatus.SHED.proves_not_run, CallStatus.LOST.proves_not_run
        (True, False)
        """
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        CallStatus.SHED,
        CallStatus.EXPIRED,
        CallStatus.DRAINING,
        CallStatus.VERSION_GONE,
        CallStatus.NOT_MINE,
        CallStatus.NOT_SENT,
    }
)


class LeafCall:
    """One call to one leaf for one shard.

    Attributes:
        id: Unique to the process incarnation and the call.
        shard: The shard asked for.
        deadline: Monotonic instant after which the answer is of no use.
        repeatable: Whether it may be sent twice.
        head: The part of the JSON body that all calls of a query share.
        silence: Seconds without a byte after which the connection is
            suspected to be silent.
        on_reply: Called exactly once.
    """

    __slots__ = (
        "deadline",
        "head",
        "id",
        "on_reply",
        "repeatable",
        "shard",
        "silence",
    )

    def __init__(
        self,
        *,
        id: str,  # noqa: A002
        shard: int,
        deadline: float,
        repeatable: bool,
        head: bytes,
        silence: float,
        on_reply: "Callable[[LeafReply], None]",
    ) -> None:
        self.id = id
        self.shard = shard
        self.deadline = deadline
        self.repeatable = repeatable
        self.head = head
        self.silence = silence
        self.on_reply = on_reply


class LeafReply:
    """The end of one call.

    Attributes:
        status: How it ended.
        shard: The shard that the leaf says it searched.
        epoch: The partitioning that it used.
        version: The index version that it used.
        result: Decoded JSON, for ``OK`` only.
        retry_after: Seconds after which a shed call may be tried again.
    """

    __slots__ = ("epoch", "result", "retry_after", "shard", "status", "version")

    def __init__(
        self,
        *,
        status: CallStatus,
        shard: int = -1,
        epoch: int = 0,
        version: int = 0,
        result: Any = None,
        retry_after: float = 0.0,
    ) -> None:
        self.status = status
        self.shard = shard
        self.epoch = epoch
        self.version = version
        self.result = result
        self.retry_after = retry_after


class LeafReport:
    """What a leaf says of itself, in a probe or beside an answer.

    Attributes:
        versions: Index versions that it can serve.
        epoch: The partitioning that it holds.
        shards: Shards that it holds.
        load: Load from 0 to 1; it may lag or mislead.
        draining: Whether it asks for no new work.
    """

    __slots__ = ("draining", "epoch", "load", "shards", "versions")

    def __init__(
        self,
        *,
        versions: tuple[int, ...],
        epoch: int,
        shards: frozenset[int],
        load: float,
        draining: bool,
    ) -> None:
        self.versions = versions
        self.epoch = epoch
        self.shards = shards
        self.load = load
        self.draining = draining


class LeafTransport(abc.ABC):
    """Carries calls to leaves within each leaf's share of connections."""

    __slots__ = ()

    @abc.abstractmethod
    def set_listener(
        self, on_report: Callable[[str, LeafReport | None], None]
    ) -> None:
        """Sets who hears reports; None stands for a failed probe."""

    @abc.abstractmethod
    def hold(self, leaf: config.Leaf, *, share: int) -> None:
        """Begins to hold up to ``share`` connections to a leaf."""

    @abc.abstractmethod
    def release(self, leaf_id: str) -> None:
        """Closes the connections to a leaf once their calls have ended."""

    @abc.abstractmethod
    def probe(self, leaf_id: str) -> None:
        """Asks a leaf for a report."""

    @abc.abstractmethod
    def call(self, leaf_id: str, call: LeafCall) -> None:
        """Sends a call; its ``on_reply`` is called exactly once, later."""

    @abc.abstractmethod
    def cancel(self, leaf_id: str, call_id: str) -> None:
        """Tells a leaf that an answer is not needed any more."""

    @abc.abstractmethod
    def connections(self, leaf_id: str) -> int:
        """Returns how many connections are open or being opened."""
