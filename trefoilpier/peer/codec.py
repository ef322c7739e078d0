"""Encoding and decoding of messages as Cap'n Proto bytes."""

import pathlib
from collections.abc import Callable, Iterable
from typing import Any

import capnp

from trefoilpier import base, board, routing
from trefoilpier.peer import messages

MAJOR = 1
MINOR = 0
_MAX_TRAVERSAL_WORDS = 1_000_000
_MAX_NESTING_DEPTH = 16

capnp.remove_import_hook()
_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name("messages.capnp")),
    display_name="messages.capnp",
)
_ENVELOPE = _SCHEMA.Envelope


def encode(envelope: messages.Envelope) -> bytes:
    """Encode an envelope.

    >>> data = encode(messages.Envelope(sender="vm-1", config_version=4,
    ...     message=messages.Cancel(id="q1")))
    >>> decode(data).message
    Cancel(id='q1')
    """
    message = envelope.message
    name, write = _WRITER_BY_TYPE[type(message)]
    builder = _ENVELOPE.new_message(
        major=MAJOR,
        minor=MINOR,
        sender=envelope.sender,
        configVersion=envelope.config_version,
    )
    write(builder.init(name), message)
    return builder.to_bytes()


def decode(data: bytes) -> messages.Envelope:
    """Decode an envelope.

    Its message is None if its type is unknown to this version.

    Raises:
        ValueError: If the bytes are not an envelope of this major version.
    """
    try:
        with _ENVELOPE.from_bytes(
            data,
            traversal_limit_in_words=_MAX_TRAVERSAL_WORDS,
            nesting_limit=_MAX_NESTING_DEPTH,
        ) as reader:
            if reader.major != MAJOR:
                raise ValueError(f"unsupported protocol version {reader.major}")
            return messages.Envelope(
                sender=reader.sender,
                config_version=reader.configVersion,
                message=_read_message(reader),
            )
    except (capnp.KjException, UnicodeDecodeError, KeyError) as error:
        raise ValueError("malformed message") from error


def _read_message(reader: Any) -> messages.Message | None:
    """Read the message in the union, or return None if its type is unknown."""
    try:
        name = str(reader.which())
    except capnp.KjException:
        return None
    read_fields = _READER_BY_NAME.get(name)
    if read_fields is None:
        return None
    return read_fields(getattr(reader, name))


def _make_field_writer(*names: str) -> Callable[[Any, Any], None]:
    """Return a writer that copies message fields to fields of a builder.

    The builder's fields have the same names in camel case.
    """
    name_field_pairs = [(name, _to_camel_case(name)) for name in names]

    def write(builder: Any, message: Any) -> None:
        for name, field in name_field_pairs:
            value = getattr(message, name)
            setattr(
                builder, field, list(value) if type(value) is tuple else value
            )

    return write


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _write_snapshot(builder: Any, snapshot: routing.Snapshot) -> None:
    builder.configVersion = snapshot.config_version
    builder.group = snapshot.group
    builder.epoch = snapshot.epoch
    builder.indexVersion = snapshot.index_version


def _read_snapshot(reader: Any) -> routing.Snapshot:
    return routing.Snapshot(
        config_version=reader.configVersion,
        group=reader.group,
        epoch=reader.epoch,
        index_version=reader.indexVersion,
    )


_write_sub_query_fields = _make_field_writer(
    "id",
    "service",
    "shards",
    "deadline_ms",
    "soft_deadline_ms",
    "query",
    "key",
    "limit",
)


def _write_sub_query(builder: Any, message: messages.SubQuery) -> None:
    _write_sub_query_fields(builder, message)
    _write_snapshot(builder.init("snapshot"), message.snapshot)


def _read_sub_query(reader: Any) -> messages.SubQuery:
    return messages.SubQuery(
        id=reader.id,
        service=reader.service,
        snapshot=_read_snapshot(reader.snapshot),
        shards=tuple(reader.shards),
        deadline_ms=reader.deadlineMs,
        soft_deadline_ms=reader.softDeadlineMs,
        query=reader.query,
        key=reader.key,
        limit=reader.limit,
    )


_write_partial_fields = _make_field_writer(
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


def _write_partial(builder: Any, message: messages.Partial) -> None:
    _write_partial_fields(builder, message)
    _write_snapshot(builder.init("snapshot"), message.snapshot)
    missing = builder.init("missing", len(message.reason_by_missing))
    for index, (shard, reason) in enumerate(message.reason_by_missing.items()):
        missing[index].shard = shard
        missing[index].reason = reason


def _read_partial(reader: Any) -> messages.Partial:
    return messages.Partial(
        id=reader.id,
        code=base.ResultCode(reader.code),
        snapshot=_read_snapshot(reader.snapshot),
        answered=tuple(reader.answered),
        reason_by_missing={
            miss.shard: routing.MissReason(miss.reason)
            for miss in reader.missing
        },
        result=reader.result,
        ran=base.Ran(reader.ran),
        retry_after_ms=reader.retryAfterMs,
        calls=reader.calls,
        extra=reader.extra,
        offered=tuple(reader.offered),
        wait_ms=reader.waitMs,
    )


def _write_versions_reply(
    builder: Any, message: messages.VersionsReply
) -> None:
    builder.id = message.id
    shard_builders = builder.init("shards", len(message.versions_by_shard))
    for index, (shard, versions) in enumerate(
        message.versions_by_shard.items()
    ):
        shard_builders[index].shard = shard
        shard_builders[index].versions = list(versions)


def _read_versions_reply(reader: Any) -> messages.VersionsReply:
    return messages.VersionsReply(
        id=reader.id,
        versions_by_shard={
            entry.shard: tuple(entry.versions) for entry in reader.shards
        },
    )


def _write_nodes(builders: Any, nodes: Iterable[board.NodeRecord]) -> None:
    for builder, node in zip(builders, nodes, strict=True):
        builder.id = node.id
        builder.host = node.host
        builder.peerPort = node.peer_port
        builder.callerPort = node.caller_port
        builder.region = node.region
        builder.zone = node.zone
        builder.incarnation = node.incarnation
        builder.state = int(node.state)


def _read_nodes(readers: Any) -> tuple[board.NodeRecord, ...]:
    return tuple(
        board.NodeRecord(
            id=reader.id,
            host=reader.host,
            peer_port=reader.peerPort,
            caller_port=reader.callerPort,
            region=reader.region,
            zone=reader.zone,
            incarnation=reader.incarnation,
            state=board.NodeState(reader.state),
        )
        for reader in readers
    )


def _write_ping(builder: Any, message: messages.Ping | messages.Ack) -> None:
    builder.sequence = message.sequence
    _write_nodes(builder.init("news", len(message.news)), message.news)
    builder.leavingLeaves = list(message.leaving_leaves)


def _read_ping(reader: Any) -> messages.Ping:
    return messages.Ping(
        sequence=reader.sequence,
        news=_read_nodes(reader.news),
        leaving_leaves=tuple(reader.leavingLeaves),
    )


def _read_ack(reader: Any) -> messages.Ack:
    return messages.Ack(
        sequence=reader.sequence,
        news=_read_nodes(reader.news),
        leaving_leaves=tuple(reader.leavingLeaves),
    )


def _write_ping_request(builder: Any, message: messages.PingRequest) -> None:
    builder.sequence = message.sequence
    builder.target = message.target
    _write_nodes(builder.init("news", len(message.news)), message.news)


def _read_ping_request(reader: Any) -> messages.PingRequest:
    return messages.PingRequest(
        sequence=reader.sequence,
        target=reader.target,
        news=_read_nodes(reader.news),
    )


def _write_nodes_reply(builder: Any, message: messages.NodesReply) -> None:
    builder.id = message.id
    _write_nodes(builder.init("nodes", len(message.nodes)), message.nodes)


_WRITER_BY_TYPE: dict[type, tuple[str, Callable[[Any, Any], None]]] = {
    messages.Hello: ("hello", _make_field_writer("nonce")),
    messages.SubQuery: ("subQuery", _write_sub_query),
    messages.Partial: ("partial", _write_partial),
    messages.Cancel: ("cancel", _make_field_writer("id")),
    messages.VersionsQuery: (
        "versionsQuery",
        _make_field_writer("id", "group", "blocks"),
    ),
    messages.VersionsReply: ("versionsReply", _write_versions_reply),
    messages.ManifestPull: ("manifestPull", _make_field_writer("id")),
    messages.ManifestReply: (
        "manifestReply",
        _make_field_writer("id", "manifest"),
    ),
    messages.ObjectsPull: ("objectsPull", _make_field_writer("id", "hashes")),
    messages.ObjectsReply: (
        "objectsReply",
        _make_field_writer("id", "objects"),
    ),
    messages.Ping: ("ping", _write_ping),
    messages.Ack: ("ack", _write_ping),
    messages.PingRequest: ("pingRequest", _write_ping_request),
    messages.Notice: ("notice", _make_field_writer("hops")),
    messages.NodesPull: ("nodesPull", _make_field_writer("id", "digests")),
    messages.NodesReply: ("nodesReply", _write_nodes_reply),
}
_READER_BY_NAME: dict[str, Callable[[Any], messages.Message]] = {
    "hello": lambda reader: messages.Hello(nonce=reader.nonce),
    "subQuery": _read_sub_query,
    "partial": _read_partial,
    "cancel": lambda reader: messages.Cancel(id=reader.id),
    "versionsQuery": lambda reader: messages.VersionsQuery(
        id=reader.id, group=reader.group, blocks=tuple(reader.blocks)
    ),
    "versionsReply": _read_versions_reply,
    "manifestPull": lambda reader: messages.ManifestPull(id=reader.id),
    "manifestReply": lambda reader: messages.ManifestReply(
        id=reader.id, manifest=reader.manifest
    ),
    "objectsPull": lambda reader: messages.ObjectsPull(
        id=reader.id, hashes=tuple(reader.hashes)
    ),
    "objectsReply": lambda reader: messages.ObjectsReply(
        id=reader.id, objects=tuple(reader.objects)
    ),
    "ping": _read_ping,
    "ack": _read_ack,
    "pingRequest": _read_ping_request,
    "notice": lambda reader: messages.Notice(hops=reader.hops),
    "nodesPull": lambda reader: messages.NodesPull(
        id=reader.id, digests=tuple(reader.digests)
    ),
    "nodesReply": lambda reader: messages.NodesReply(
        id=reader.id, nodes=_read_nodes(reader.nodes)
    ),
}
