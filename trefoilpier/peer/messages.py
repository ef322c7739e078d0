"""The messages between entry VMs, as plain typed values."""

from dataclasses import dataclass, field

from trefoilpier import base, board, routing


@dataclass(slots=True, kw_only=True, frozen=True)
class Hello:
    """Opens a link; both ends derive the link's key from both nonces."""

    nonce: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class SubQuery:
    """Asks a gatherer for the merged answer of some shards.

    Attributes:
        id: Unique to the sender's process and the request.
        service: Name of the service.
        snapshot: What the answer must be made from.
        shards: The shards asked for.
        deadline_ms: Milliseconds until no answer is of use.
        soft_deadline_ms: Milliseconds until a ``tail`` query answers.
        query: The caller's query as JSON text.
        key: The caller's idempotency key, or empty.
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
    """Answers a sub-query.

    Attributes:
        id: The sub-query's id.
        code: ``COMPLETE``, ``PARTIAL`` or the reason of a refusal.
        snapshot: What the answer was made from.
        answered: Shards in the result.
        reason_by_missing: Why each other shard is not.
        result: The merged result as JSON text; empty when there is none.
        ran: Whether anything ran at a leaf.
        retry_after_ms: When to ask again; 0 if unknown.
        calls: Leaf calls made.
        extra: Hedges and retries among them.
        offered: Index versions that all the shards asked for can serve now.
        wait_ms: How long a new call for these shards would wait at worst.
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
    """Withdraws a sub-query."""

    id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class VersionsQuery:
    """Asks which index versions the shards of some blocks can serve."""

    id: str
    group: str
    blocks: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class VersionsReply:
    """Answers a `VersionsQuery`."""

    id: str
    versions_by_shard: dict[int, tuple[int, ...]]


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestPull:
    """Asks for the manifest in force."""

    id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ManifestReply:
    """Answers a `ManifestPull`; empty when there is none."""

    id: str
    manifest: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectsPull:
    """Asks for objects by their addresses."""

    id: str
    hashes: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectsReply:
    """Answers an `ObjectsPull` with those that the sender has."""

    id: str
    objects: tuple[bytes, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class Ping:
    """Probes a node and carries news."""

    sequence: int
    news: tuple[board.NodeRecord, ...] = ()
    leaving_leaves: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Ack:
    """Answers a `Ping` with its sequence number."""

    sequence: int
    news: tuple[board.NodeRecord, ...] = ()
    leaving_leaves: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class PingRequest:
    """Asks another node to probe a target on the sender's behalf."""

    sequence: int
    target: str
    news: tuple[board.NodeRecord, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Notice:
    """Says that the envelope's configuration version is in force."""

    hops: int


@dataclass(slots=True, kw_only=True, frozen=True)
class NodesPull:
    """Asks for the records of the buckets whose digests differ.

    Without digests all records are asked for, as by a node that has joined.
    """

    id: str
    digests: tuple[int, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class NodesReply:
    """Answers a `NodesPull`, or gives back what is newer than an answer."""

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
    """A message with its sender and the sender's configuration version."""

    sender: str
    config_version: int
    message: Message | None
