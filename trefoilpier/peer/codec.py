"""Messages to and from Cap'n Proto bytes."""

import pathlib
from collections.abc import Callable, Iterable
from typing import Any

import capnp

from trefoilpier import base, board, routing
from trefoilpier.peer import messages

MAJOR = 1
MINOR = 0
_TRAVERSAL_WORDS_MAX = 1_000_000
_NESTING_MAX = 16

capnp.remove_import_hook()
_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name("messages.capnp")),
    display_name="messages.capnp",
)
_ENVELOPE = _SCHEMA.Envelope


def encode(envelope: messages.Envelope) -> bytes:
    """Returns the bytes of an envelope.

    >>> data = encode(messages.Envelope(sender="vm-1", config_version=4,
    ...     message=messages.Cancel(id="q1")))
    >>> decode(data).message
    Cancel(id='q1')
    """
    message = envelope.message
    name, write = _WRITER_BY_TYPE[type(message)]
    row = _ENVELOPE.new_message(
        major=MAJOR,
        minor=MINOR,
        sender=envelope.sender,
        configVersion=envelope.config_version,
    )
    write(row.init(name), message)
    return row.to_bytes()


def decode(data: bytes) -> messages.Envelope:
    """Reads an envelope.

    Its message is None when it is of a kind that this version does not know.

    Raises:
        ValueError: If the bytes are no envelope of this major version.
    """
    try:
        with _ENVELOPE.from_bytes(
            data,
            traversal_limit_in_words=_TRAVERSAL_WORDS_MAX,
            nesting_limit=_NESTING_MAX,
        ) as row:
            if row.major != MAJOR:
                raise ValueError(f"protocol version {row.major}")
            return messages.Envelope(
                sender=row.sender,
                config_version=row.configVersion,
                message=_read(row),
            )
    except (capnp.KjException, UnicodeDecodeError, KeyError) as bad:
        raise ValueError("malformed message") from bad


def _read(row: Any) -> messages.Message | None:
    """Reads the union member, or returns None for an unknown one."""
    try:
        name = str(row.which())
    except capnp.KjException:
        return None
    reader = _READER_BY_NAME.get(name)
    if reader is None:
        return None
    return reader(getattr(row, name))


def _write_fields(*names: str) -> Callable[[Any, Any], None]:
    """Makes a writer that copies fields of the same name."""
    pairs = [(name, _camel(name)) for name in names]

    def write(row: Any, message: Any) -> None:
        for name, field in pairs:
            value = getattr(message, name)
            setattr(row, field, list(value) if type(value) is tuple else value)

    return write


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _write_snapshot(row: Any, snapshot: routing.Snapshot) -> None:
    row.configVersion = snapshot.config_version
    row.group = snapshot.group
    row.epoch = snapshot.epoch
    row.indexVersion = snapshot.index_version


def _read_snapshot(row: Any) -> routing.Snapshot:
    return routing.Snapshot(
        config_version=row.configVersion,
        group=row.group,
        epoch=row.epoch,
        index_version=row.indexVersion,
    )


_write_sub_query_fields = _write_fields(
    "id",
    "service",
    "shards",
    "deadline_ms",
    "soft_deadline_ms",
    "query",
    "key",
    "limit",
)


def _write_sub_query(row: Any, message: messages.SubQuery) -> None:
    _write_sub_query_fields(row, message)
    _write_snapshot(row.init("snapshot"), message.snapshot)


def _read_sub_query(row: Any) -> messages.SubQuery:
    return messages.SubQuery(
        id=row.id,
        service=row.service,
        snapshot=_read_snapshot(row.snapshot),
        shards=tuple(row.shards),
        deadline_ms=row.deadlineMs,
        soft_deadline_ms=row.softDeadlineMs,
        query=row.query,
        key=row.key,
        limit=row.limit,
    )


_write_partial_fields = _write_fields(
    "id",
    "code",
    "answered",
    "result",
    "ran",
    "retry_after_ms",
    "calls",
    "extra",
    "offered",
    "wait_ms",
)


def _write_partial(row: Any, message: messages.Partial) -> None:
    _write_partial_fields(row, message)
    _write_snapshot(row.init("snapshot"), message.snapshot)
    missing = row.init("missing", len(message.reason_by_missing))
    for index, (shard, reason) in enumerate(message.reason_by_missing.items()):
        missing[index].shard = shard
        missing[index].reason = reason


def _read_partial(row: Any) -> messages.Partial:
    return messages.Partial(
        id=row.id,
        code=base.ResultCode(row.code),
        snapshot=_read_snapshot(row.snapshot),
        answered=tuple(row.answered),
        reason_by_missing={
            miss.shard: routing.MissReason(miss.reason) for miss in row.missing
        },
        result=row.result,
        ran=base.Ran(row.ran),
        retry_after_ms=row.retryAfterMs,
        calls=row.calls,
        extra=row.extra,
        offered=tuple(row.offered),
        wait_ms=row.waitMs,
    )


def _write_versions(row: Any, message: messages.VersionsReply) -> None:
    row.id = message.id
    rows = row.init("shards", len(message.versions_by_shard))
    for index, (shard, versions) in enumerate(
        message.versions_by_shard.items()
    ):
        rows[index].shard = shard
        rows[index].versions = list(versions)


def _read_versions(row: Any) -> messages.VersionsReply:
    return messages.VersionsReply(
        id=row.id,
        versions_by_shard={
            each.shard: tuple(each.versions) for each in row.shards
        },
    )


def _write_nodes(rows: Any, nodes: Iterable[board.NodeRecord]) -> None:
    for row, node in zip(rows, nodes, strict=True):
        row.id = node.id
        row.host = node.host
        row.peerPort = node.peer_port
        row.callerPort = node.caller_port
        row.region = node.region
        row.zone = node.zone
        row.incarnation = node.incarnation
        row.state = int(node.state)


def _read_nodes(rows: Any) -> tuple[board.NodeRecord, ...]:
    return tuple(
        board.NodeRecord(
            id=row.id,
            host=row.host,
            peer_port=row.peerPort,
            caller_port=row.callerPort,
            region=row.region,
            zone=row.zone,
            incarnation=row.incarnation,
            state=board.NodeState(row.state),
        )
        for row in rows
    )


def _write_ping(row: Any, message: messages.Ping | messages.Ack) -> None:
    row.sequence = message.sequence
    _write_nodes(row.init("news", len(message.news)), message.news)
    row.leavingLeaves = list(message.leaving_leaves)


def _read_ping(row: Any) -> messages.Ping:
    return messages.Ping(
        sequence=row.sequence,
        news=_read_nodes(row.news),
        leaving_leaves=tuple(row.leavingLeaves),
    )


def _read_ack(row: Any) -> messages.Ack:
    return messages.Ack(
        sequence=row.sequence,
        news=_read_nodes(row.news),
        leaving_leaves=tuple(row.leavingLeaves),
    )


def _write_ping_request(row: Any, message: messages.PingRequest) -> None:
    row.sequence = message.sequence
    row.target = message.target
    _write_nodes(row.init("news", len(message.news)), message.news)


def _read_ping_request(row: Any) -> messages.PingRequest:
    return messages.PingRequest(
        sequence=row.sequence,
        target=row.target,
        news=_read_nodes(row.news),
    )


def _write_node_list(row: Any, message: messages.NodesReply) -> None:
    row.id = message.id
    _write_nodes(row.init("nodes", len(message.nodes)), message.nodes)


_WRITER_BY_TYPE: dict[type, tuple[str, Callable[[Any, Any], None]]] = {
    messages.Hello: ("hello", _write_fields("nonce")),
    messages.SubQuery: ("subQuery", _write_sub_query),
    messages.Partial: ("partial", _write_partial),
    messages.Cancel: ("cancel", _write_fields("id")),
    messages.VersionsQuery: (
        "versionsQuery",
        _write_fields("id", "group", "blocks"),
    ),
    messages.VersionsReply: ("versionsReply", _write_versions),
    messages.ManifestPull: ("manifestPull", _write_fields("id")),
    messages.ManifestReply: (
        "manifestReply",
        _write_fields("id", "manifest"),
    ),
    messages.ObjectsPull: ("objectsPull", _write_fields("id", "hashes")),
    messages.ObjectsReply: ("objectsReply", _write_fields("id", "objects")),
    messages.Ping: ("ping", _write_ping),
    messages.Ack: ("ack", _write_ping),
    messages.PingRequest: ("pingRequest", _write_ping_request),
    messages.Notice: ("notice", _write_fields("hops")),
    messages.NodesPull: ("nodesPull", _write_fields("id", "digests")),
    messages.NodesReply: ("nodesReply", _write_node_list),
}
_READER_BY_NAME: dict[str, Callable[[Any], messages.Message]] = {
    "hello": lambda row: messages.Hello(nonce=row.nonce),
    "subQuery": _read_sub_query,
    "partial": _read_partial,
    "cancel": lambda row: messages.Cancel(id=row.id),
    "versionsQuery": lambda row: messages.VersionsQuery(
        id=row.id, group=row.group, blocks=tuple(row.blocks)
    ),
    "versionsReply": _read_versions,
    "manifestPull": lambda row: messages.ManifestPull(id=row.id),
    "manifestReply": lambda row: messages.ManifestReply(
        id=row.id, manifest=row.manifest
    ),
    "objectsPull": lambda row: messages.ObjectsPull(
        id=row.id, hashes=tuple(row.hashes)
    ),
    "objectsReply": lambda row: messages.ObjectsReply(
        id=row.id, objects=tuple(row.objects)
    ),
    "ping": _read_ping,
    "ack": _read_ack,
    "pingRequest": _read_ping_request,
    "notice": lambda row: messages.Notice(hops=row.hops),
    "nodesPull": lambda row: messages.NodesPull(
        id=row.id, digests=tuple(row.digests)
    ),
    "nodesReply": lambda row: messages.NodesReply(
        id=row.id, nodes=_read_nodes(row.nodes)
    ),
}
