"""The JSON of the leaf protocol.

A call's body is the query's shared head, built once, followed by the fields
of the single call, so that nothing is encoded twice.
"""

import orjson

from trefoilpier.leaf import api


def encode_head(
    *,
    service: str,
    epoch: int,
    version: int,
    repeatable: bool,
    key: str,
    query: bytes,
) -> bytes:
    """Builds the start of the body that all calls of a query share.

    Args:
        service: Name of the service.
        epoch: The pinned partitioning.
        version: The pinned index version.
        repeatable: Whether a call may be sent twice.
        key: The caller's idempotency key, or empty.
        query: The caller's query as JSON text.
    """
    row = {
        "service": service,
        "epoch": epoch,
        "version": version,
        "repeatable": repeatable,
        "key": key,
        "query": orjson.Fragment(query),
    }
    return orjson.dumps(row)[:-1]


def encode_call(
    head: bytes, call_id: str, shard: int, deadline_ms: int
) -> bytes:
    """Builds the body of one call.

    >>> encode_call(b'{"service":"s"', "c1", 3, 250)
    b'{"service":"s","id":"c1","shard":3,"deadline_ms":250}'
    """
    return b'%b,"id":"%b","shard":%d,"deadline_ms":%d}' % (
        head,
        call_id.encode(),
        shard,
        deadline_ms,
    )


def decode_reply(data: bytes) -> tuple[str, api.LeafReply, api.LeafReport]:
    """Reads an answer: the call's id, the reply and the report beside it.

    Raises:
        ValueError: If it is no answer.
    """
    try:
        row = orjson.loads(data)
        reply = api.LeafReply(
            status=api.CallStatus(row["status"]),
            shard=int(row["shard"]),
            epoch=int(row["epoch"]),
            version=int(row["version"]),
            result=row.get("result"),
            retry_after=float(row.get("retry_after_ms", 0)) / 1000,
        )
        return str(row["id"]), reply, _report(row["leaf"])
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as bad:
        raise ValueError("no leaf answer") from bad


def decode_report(data: bytes) -> api.LeafReport:
    """Reads the answer to a probe; raises ``ValueError`` if it is none."""
    try:
        return _report(orjson.loads(data))
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as bad:
        raise ValueError("no leaf report") from bad


def _report(row: dict) -> api.LeafReport:
    return api.LeafReport(
        versions=tuple(int(version) for version in row["versions"]),
        epoch=int(row["epoch"]),
        shards=frozenset(int(shard) for shard in row["shards"]),
        load=float(row["load"]),
        draining=bool(row["draining"]),
    )
