"""Reads a caller's request; anything wrong gets a numbered code."""

import re

import expression
import orjson

from trefoilpier import base, query

_KEY = re.compile(r"[\x21-\x7e]{1,200}")
_DEADLINE_MS_MAX = 300_000
_LIMIT_DEFAULT = 10
_LIMIT_MAX = 1000


def _refuse(
    code: base.ResultCode, detail: str
) -> expression.Result[query.Request, base.Failure]:
    return expression.Error(base.Failure(code=code, detail=detail))


def parse_request(
    *,
    service: str,
    body: bytes,
    deadline_header: str | None,
    key_header: str | None,
    caller: str,
    now: float,
) -> expression.Result[query.Request, base.Failure]:
    """Reads one request.

    Args:
        service: The service's name from the path.
        body: The whole body, a JSON object.
        deadline_header: ``Trefoilpier-Deadline-Ms``, or None.
        key_header: ``Idempotency-Key``, or None.
        caller: Who asks.
        now: Monotonic instant of arrival.

    >>> parse_request(service="s", body=b"[]", deadline_header=None,
    ...     key_header=None, caller="c", now=0.0).error.code.value
    'TPR-2001'
    """
    try:
        row = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _refuse(base.ResultCode.NOT_JSON, "the body is not JSON")
    if not isinstance(row, dict):
        return _refuse(base.ResultCode.NOT_JSON, "the body is no JSON object")
    limit = row.get("limit", _LIMIT_DEFAULT)
    if type(limit) is not int or not 0 < limit <= _LIMIT_MAX:
        detail = f"limit is a whole number from 1 to {_LIMIT_MAX}"
        return _refuse(base.ResultCode.NOT_JSON, detail)
    deadline = None
    if deadline_header is not None:
        if not (
            deadline_header.isascii()
            and deadline_header.isdecimal()
            and len(deadline_header) <= len(str(_DEADLINE_MS_MAX))
            and 0 < int(deadline_header) <= _DEADLINE_MS_MAX
        ):
            detail = f"the deadline is 1 to {_DEADLINE_MS_MAX} milliseconds"
            return _refuse(base.ResultCode.BAD_DEADLINE, detail)
        deadline = now + int(deadline_header) / 1000
    if key_header is not None and not _KEY.fullmatch(key_header):
        detail = "the key is 1 to 200 printable characters without spaces"
        return _refuse(base.ResultCode.BAD_IDEMPOTENCY_KEY, detail)
    route = row.get("route")
    if not isinstance(route, str):
        route = key_header or base.content_hash(body)
    return expression.Ok(
        query.Request(
            service=service,
            query=body,
            route=route,
            limit=limit,
            caller=caller,
            deadline=deadline,
            key=key_header or "",
        )
    )
