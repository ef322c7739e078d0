"""Interface between the routing code and the leaf transport."""

import abc
import enum
from collections.abc import Callable
from typing import Any

from trefoilpier import config


class CallStatus(enum.StrEnum):
    """Final status of a leaf call.

    The statuses from ``OK`` to ``CANCELLED`` are reported by the leaf; the
    client sets the others itself.
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
        """Whether the status guarantees that the call did not run.

        >>> CallStatus.SHED.proves_not_run, CallStatus.LOST.proves_not_run
        (True, False)
        """
        return self in _NOT_RUN_STATUSES


_NOT_RUN_STATUSES = frozenset(
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
        id: Call id, unique across processes and restarts.
        shard: The shard to search.
        deadline: Monotonic time in seconds at which the call expires.
        repeatable: Whether the call may be sent more than once.
        body_prefix: Start of the JSON body, shared by all calls of a query.
        silence_timeout: Seconds without a response after which the connection
            is suspected to be silent.
        on_reply: Called exactly once with the reply.
    """

    __slots__ = (
        "deadline",
        "body_prefix",
        "id",
        "on_reply",
        "repeatable",
        "shard",
        "silence_timeout",
    )

    def __init__(
        self,
        *,
        id: str,  # noqa: A002
        shard: int,
        deadline: float,
        repeatable: bool,
        body_prefix: bytes,
        silence_timeout: float,
        on_reply: "Callable[[LeafReply], None]",
    ) -> None:
        self.id = id
        self.shard = shard
        self.deadline = deadline
        self.repeatable = repeatable
        self.body_prefix = body_prefix
        self.silence_timeout = silence_timeout
        self.on_reply = on_reply


class LeafReply:
    """Reply to one call, received from the leaf or synthesized by the client.

    Attributes:
        status: The final status of the call.
        shard: The shard that the leaf reports to have searched.
        epoch: Epoch of the partitioning that the leaf used.
        version: The index version that the leaf used.
        result: The decoded JSON result, for ``OK`` only.
        retry_after: Seconds to wait before a shed call is retried.
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
    """State that a leaf reports in probe responses and with each reply.

    Attributes:
        versions: Index versions that the leaf can serve.
        epoch: Epoch of the partitioning that the leaf holds.
        shards: Shards that the leaf holds.
        load: Load from 0 to 1; may be out of date or wrong.
        draining: Whether the leaf accepts no new work.
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
    """Transport for leaf calls, with a bounded number of connections."""

    __slots__ = ()

    @abc.abstractmethod
    def set_listener(
        self, on_report: Callable[[str, LeafReport | None], None]
    ) -> None:
        """Set the receiver of leaf reports; None reports a failed probe."""

    @abc.abstractmethod
    def open_pool(self, leaf: config.Leaf, *, max_connections: int) -> None:
        """Open up to ``max_connections`` connections, or change the limit."""

    @abc.abstractmethod
    def close_pool(self, leaf_id: str) -> None:
        """Close the connections to a leaf as soon as their calls have ended."""

    @abc.abstractmethod
    def probe(self, leaf_id: str) -> None:
        """Request a report from a leaf."""

    @abc.abstractmethod
    def call(self, leaf_id: str, call: LeafCall) -> None:
        """Send a call; its ``on_reply`` is called exactly once, later."""

    @abc.abstractmethod
    def cancel(self, leaf_id: str, call_id: str) -> None:
        """Cancel a call whose reply is no longer needed."""

    @abc.abstractmethod
    def connections(self, leaf_id: str) -> int:
        """Return the number of connections that are open or being opened."""
