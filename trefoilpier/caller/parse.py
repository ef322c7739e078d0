"""Parsing and validation of callers' requests."""

import re

import expression
import orjson

from trefoilpier import base, config, query

_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
_KEY_SCHEME = b"bearer"
_MAX_DEADLINE_MS = 300_000
_DEFAULT_RESULT_LIMIT = 10
_MAX_RESULT_LIMIT = 1000


def _reject(
    code: base.ResultCode, detail: str
) -> expression.Result[query.Request, base.Failure]:
    return expression.Error(base.Failure(code=code, detail=detail))


def _digest_key(credentials: bytes) -> str:
    """Return the digest of the key in ``Bearer KEY``, or ``""``.

    >>> _digest_key(b"Basic k1")
    ''
    >>> _digest_key(b"bearer k1") == config.digest_text(b"k1")
    True
    """
    scheme, _, key = credentials.partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _KEY_SCHEME or not key:
        return ""
    return config.digest_text(key)


def parse_request(
    *,
    service: str,
    body: bytes,
    deadline_header: str | None,
    key_header: str | None,
    caller: str,
    now: float,
    credentials: bytes | None = None,
) -> expression.Result[query.Request, base.Failure]:
    """Parse one request.

    Args:
        service: Name of the service, from the path.
        body: The request body, a JSON object.
        deadline_header: Value of ``Trefoilpier-Deadline-Ms``, or None.
        key_header: Value of ``Idempotency-Key``, or None.
        caller: Name or IP address of the caller.
        now: Monotonic time of arrival, in seconds.
        credentials: Value of ``Authorization``, or None.

    Returns:
        The request, or the failure with its result code.

    >>> parse_request(service="s", body=b"[]", deadline_header=None,
    ...     key_header=None, caller="c", now=0.0).error.code.value
    'TPR-2001'
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _reject(
            base.ResultCode.NOT_JSON, "the request body is not valid JSON"
        )
    if not isinstance(document, dict):
        return _reject(
            base.ResultCode.NOT_JSON, "the request body is not a JSON object"
        )
    limit = document.get("limit", _DEFAULT_RESULT_LIMIT)
    if type(limit) is not int or not 0 < limit <= _MAX_RESULT_LIMIT:
        detail = f"limit must be an integer from 1 to {_MAX_RESULT_LIMIT}"
        return _reject(base.ResultCode.NOT_JSON, detail)
    deadline = None
    if deadline_header is not None:
        if not (
            deadline_header.isascii()
            and deadline_header.isdecimal()
            and len(deadline_header) <= len(str(_MAX_DEADLINE_MS))
            and 0 < int(deadline_header) <= _MAX_DEADLINE_MS
        ):
            detail = (
                f"the deadline must be 1 to {_MAX_DEADLINE_MS} milliseconds"
            )
            return _reject(base.ResultCode.BAD_DEADLINE, detail)
        deadline = now + int(deadline_header) / 1000
    if key_header is not None and not _IDEMPOTENCY_KEY_PATTERN.fullmatch(
        key_header
    ):
        detail = (
            "the idempotency key must be 1 to 200 printable ASCII characters "
            "without spaces"
        )
        return _reject(base.ResultCode.BAD_IDEMPOTENCY_KEY, detail)
    route = document.get("route")
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
            account_key_digest=_digest_key(credentials or b""),
        )
    )
