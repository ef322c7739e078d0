"""The messages between entry VMs as typed values."""

from dataclasses import dataclass, field

from trefoilpier import base, board, routing


@dataclass(slots=True, kw_only=True, frozen=True)
class Hello:
    """The first message of a link, with a nonce for the link's keys."""

    nonce: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class SubQuery:
    """A request to a gatherer for the merged answer of some shards.

    Attributes:
        id: Unique id of this request, never used by another process.
        service: Name of the service.
        snapshot: The versions that the answer must be made from.
        shards: The requested shards.
        deadline_ms: Milliseconds until an answer is useless.
        soft_deadline_ms: Milliseconds until a ``tail`` query answers.
        query: The caller's query as JSON text.
        key: The caller's idempotency key; empty if there is none.
        limit: Number of hits that a ``top`` merge keeps.
    """

    id: str
    service: str
    snapshot: routing.Snapshot
    shards: tuple[int, ...]
    deadline_ms: int
    soft_deadline_ms: int
    query: bytes
    key: str
    limit: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Partial:
    """The answer to a sub-query.

    Attributes:
        id: The sub-query's id.
        code: ``COMPLETE``, ``PARTIAL`` or the reason for a rejection.
        snapshot: The versions that the answer was made from.
        answered: Shards whose answers are in the result.
        reason_by_missing: For each other shard, why its answer is missing.
        result: The merged result as JSON text; empty if there is none.
        ran: Whether any leaf executed the sub-query.
        retry_after_ms: Milliseconds to wait before a retry; 0 if unknown.
        calls: Number of leaf calls made.
        extra: Number of hedges and retries among these calls.
        offered: Index versions that all requested shards can serve now.
        wait_ms: Longest expected queue wait of a new call for these shards,
            in milliseconds.
    """

    id: str
    code: base.ResultCode
    snapshot: routing.Snapshot
    answered: tuple[int, ...] = ()
    reason_by_missing: dict[int, routing.MissReason] = field(
        default_factory=dict
    )
    result: bytes = b""
    ran: base.Ran = base.Ran.NO
    retry_after_ms: int = 0
    calls: int = 0
    extra: int = 0
    offered: tuple[int, ...] = ()
    wait_ms: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Cancel:
    """The cancellation of a sub-query."""

    id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class VersionsQuery:
    """A request for the index versions that the shards of blocks can serve."""

    id: str
    group: str
    blocks: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class VersionsReply:
    """The reply to a `VersionsQuery`."""

    id: str
    versions_by_shard: dict[int, tuple[int, ...]]


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestPull:
    """A request for the manifest of the configuration version in force."""

    id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestReply:
    """The reply to a `ManifestPull`; the manifest is empty if there is none."""

    id: str
    manifest: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectsPull:
    """A request for configuration objects by their content hashes."""

    id: str
    hashes: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectsReply:
    """The reply to an `ObjectsPull`, with the objects that the sender has."""

    id: str
    objects: tuple[bytes, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class Ping:
    """A probe of a node, with piggybacked membership updates."""

    sequence: int
    news: tuple[board.NodeRecord, ...] = ()
    leaving_leaves: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Ack:
    """The reply to a `Ping`, with its sequence number."""

    sequence: int
    news: tuple[board.NodeRecord, ...] = ()
    leaving_leaves: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class PingRequest:
    """A request to probe a target on the sender's behalf."""

    sequence: int
    target: str
    news: tuple[board.NodeRecord, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Notice:
    """An announcement that the envelope's configuration version is in force."""

    hops: int


@dataclass(slots=True, kw_only=True, frozen=True)
class NodesPull:
    """A request for the node records in the buckets whose digests differ.

    Without digests, all records are requested, as by a node that has joined.
    """

    id: str
    digests: tuple[int, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class NodesReply:
    """The reply to a `NodesPull`, or records newer than those in a reply."""

    id: str
    nodes: tuple[board.NodeRecord, ...]


Message = (
    Hello
    | SubQuery
    | Partial
    | Cancel
    | VersionsQuery
    | VersionsReply
    | ManifestPull
    | ManifestReply
    | ObjectsPull
    | ObjectsReply
    | Ping
    | Ack
    | PingRequest
    | Notice
    | NodesPull
    | NodesReply
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Envelope:
    """A message with its sender and the sender's configuration version.

    Attributes:
        sender: Node id of the sender.
        config_version: Configuration version of the sender.
        message: The message; None if its type is unknown.
    """

    sender: str
    config_version: int
    message: Message | None
