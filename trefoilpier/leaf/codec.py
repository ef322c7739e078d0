"""JSON encoding of the leaf protocol.

The fields that all calls of a query share are encoded once and form the start
of each call's body; the fields of the single call follow.
"""

import orjson

from trefoilpier.leaf import api


def encode_body_prefix(
    *,
    service: str,
    epoch: int,
    version: int,
    repeatable: bool,
    key: str,
    query: bytes,
) -> bytes:
    """Encode the start of the body, shared by all calls of a query.

    Args:
        service: Name of the service.
        epoch: Epoch of the pinned partitioning.
        version: The pinned index version.
        repeatable: Whether a call may be sent more than once.
        key: The caller's idempotency key, or empty.
        query: The caller's query as JSON text.

    Returns:
        A JSON object without its closing brace.
    """
    body = {
        "service": service,
        "epoch": epoch,
        "version": version,
        "repeatable": repeatable,
        "key": key,
        "query": orjson.Fragment(query),
    }
    return orjson.dumps(body)[:-1]


def encode_call(
    body_prefix: bytes, call_id: str, shard: int, deadline_ms: int
) -> bytes:
    """Encode the body of one call.

    >>> encode_call(b'{"service":"s"', "c1", 3, 250)
    b'{"service":"s","id":"c1","shard":3,"deadline_ms":250}'
    """
    return b'%b,"id":"%b","shard":%d,"deadline_ms":%d}' % (
        body_prefix,
        call_id.encode(),
        shard,
        deadline_ms,
    )


def decode_reply(data: bytes) -> tuple[str, api.LeafReply, api.LeafReport]:
    """Decode a call's response body.

    Returns:
        The call id, the reply and the leaf's report.

    Raises:
        ValueError: If the body is not a valid call response.
    """
    try:
        fields = orjson.loads(data)
        reply = api.LeafReply(
            status=api.CallStatus(fields["status"]),
            shard=int(fields["shard"]),
            epoch=int(fields["epoch"]),
            version=int(fields["version"]),
            result=fields.get("result"),
            retry_after=float(fields.get("retry_after_ms", 0)) / 1000,
        )
        return str(fields["id"]), reply, _parse_report(fields["leaf"])
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as exc:
        raise ValueError("malformed leaf call response") from exc


def decode_report(data: bytes) -> api.LeafReport:
    """Decode the response body of a probe.

    Raises:
        ValueError: If the body is not a valid report.
    """
    try:
        return _parse_report(orjson.loads(data))
    except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError) as exc:
        raise ValueError("malformed leaf report") from exc


def _parse_report(fields: dict) -> api.LeafReport:
    return api.LeafReport(
        versions=tuple(int(version) for version in fields["versions"]),
        epoch=int(fields["epoch"]),
        shards=frozenset(int(shard) for shard in fields["shards"]),
        load=float(fields["load"]),
        draining=bool(fields["draining"]),
    )
