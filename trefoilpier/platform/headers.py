"""The HTTP headers that the platform's callers and leaves use."""

import functools
import math

from trefoilpier import accounts, forward, http1, replicas

_REQUEST_ID_HEADER = b"x-request-id"
_DEADLINE_HEADER = b"x-deadline-ms"
_EXPECTED_LEAF_HEADER = b"x-expect-instance"
_CREDENTIALS_HEADER = b"authorization"
_KEY_SCHEME = b"bearer"
_ACCOUNT_HEADER = b"x-tenant"
_SEAL_HEADER = b"x-server-seal"
_LOAD_HEADER = b"x-server-load"
_LOAD_MAX = 1e9  # Larger figures can only be a mistake.
_RATE_LIMIT_HEADER = b"server-limit"
_LEAVING_HEADER = b"server-leaving"
_REST_HEADER = b"retry-after"
_WARM_UP_HEADER = b"x-warmup-ms"
_NOT_EXECUTED_HEADER = b"x-not-executed"
_PART_SEALS_HEADER = b"x-part-stamps"
_MISSING_PARTS_HEADER = b"x-missing-parts"
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
_MIN_SERVER_ERROR_STATUS = 500
_NOT_EXECUTED_STATUSES = frozenset((400, 421, 429, 503))
# By these, callers know that a request has not run.
_PROMISING_STATUSES = frozenset((408, 421, 429, 503))
# Request headers that the tier replaces or omits toward a leaf.
_TIER_SET_HEADERS = frozenset(
    (_DEADLINE_HEADER, _EXPECTED_LEAF_HEADER, b"expect")
)
# The same while accounts are in use: the key stays in the tier, and only the
# tier names the account.
_TIER_SET_HEADERS_WITH_ACCOUNTS = _TIER_SET_HEADERS | {
    _CREDENTIALS_HEADER,
    _ACCOUNT_HEADER,
}
# Response headers from a leaf for the tier, not relayed to callers.
_TIER_ONLY_HEADERS = frozenset(
    (
        _LOAD_HEADER,
        _NOT_EXECUTED_HEADER,
        _RATE_LIMIT_HEADER,
        _LEAVING_HEADER,
    )
)
# Load reports are a few small numbers, so that most have been seen before.
_LOAD_REPORTS_CACHED = 512
_SEAL_FORBIDDEN_BYTES = frozenset(b' ,;\t"')


class PlatformWire(forward.LeafWire):
    """Reader and writer of the platform's headers."""

    __slots__ = ()

    @property
    def id_header(self) -> bytes:
        """Name of the header in which a leaf echoes the request's id."""
        return _REQUEST_ID_HEADER

    def read_metadata(
        self, request: http1.HttpRequest
    ) -> forward.RequestMetadata:
        """Return the request id and deadline from a caller's headers."""
        wait_s = None
        value = http1.find_header(request.headers, _DEADLINE_HEADER)
        if value is not None:
            try:
                wait_s = max(0.0, float(value) / 1000)
            except ValueError:
                wait_s = None
        return forward.RequestMetadata(
            id=http1.find_header(request.headers, _REQUEST_ID_HEADER) or b"",
            wait_s=wait_s,
            account=http1.find_header(request.headers, _CREDENTIALS_HEADER)
            or b"",
        )

    def read_key(self, request: http1.HttpRequest) -> bytes:
        """Return the key of a client account; empty if there is none."""
        credentials = http1.find_header(request.headers, _CREDENTIALS_HEADER)
        if credentials is None:
            return b""
        scheme, _, key = credentials.partition(b" ")
        return key.lstrip(b" ") if scheme.lower() == _KEY_SCHEME else b""

    def forwarded_headers(
        self, request: http1.HttpRequest, access: accounts.Access | None
    ) -> http1.Headers:
        """Return the headers to forward, without those that the tier sets."""
        dropped = _TIER_SET_HEADERS
        if access is not None:
            dropped = _TIER_SET_HEADERS_WITH_ACCOUNTS
        headers = [
            header
            for header in http1.end_to_end(request.headers)
            if header[0] not in dropped
        ]
        if access is not None and access.account is not None:
            headers.append((_ACCOUNT_HEADER, access.account.name.encode()))
        return headers

    def encode(
        self, template: http1.RequestTemplate, *, leaf_id: str, wait_s: float
    ) -> bytes:
        """Encode the request to one leaf, with its remaining wait."""
        return template.encode(
            [
                (_DEADLINE_HEADER, b"%d" % max(1, int(wait_s * 1000))),
                (_EXPECTED_LEAF_HEADER, leaf_id.encode()),
            ]
        )

    def read_answer(self, response: http1.HttpResponse) -> forward.LeafAnswer:
        """Interpret a leaf's response."""
        # The first of several headers with one name counts.
        value_by_name = dict(reversed(response.headers))
        seal = value_by_name.get(_SEAL_HEADER)
        if (
            not seal
            or not _SEAL_FORBIDDEN_BYTES.isdisjoint(seal)
            or value_by_name.get(b"content-encoding")
        ):
            seal = None
        wrong_leaf = response.status == _STATUS_MISDIRECTED
        rest_s = None
        if response.status == _STATUS_UNAVAILABLE:
            rest_s = _parse_number(value_by_name.get(_REST_HEADER))
        marked_not_executed = _NOT_EXECUTED_HEADER in value_by_name
        return forward.LeafAnswer(
            response=response,
            seal=seal,
            not_run=marked_not_executed
            and response.status in _NOT_EXECUTED_STATUSES,
            wrong_leaf=wrong_leaf,
            failed=seal is None or response.status >= _MIN_SERVER_ERROR_STATUS,
            load=_parse_load(value_by_name.get(_LOAD_HEADER)),
            rate_limit=_parse_number(value_by_name.get(_RATE_LIMIT_HEADER)),
            leaving=value_by_name.get(_LEAVING_HEADER) == b"1",
            rest_s=rest_s,
            promises_not_run=response.status in _PROMISING_STATUSES
            and not marked_not_executed,
        )

    def read_warm_up_s(self, response: http1.HttpResponse) -> float | None:
        """Return for how long a leaf that answers a health check is cold."""
        left_ms = _parse_number(
            http1.find_header(response.headers, _WARM_UP_HEADER)
        )
        return None if left_ms is None else left_ms / 1000

    def relay(self, answer: forward.LeafAnswer) -> http1.HttpResponse:
        """Return a leaf's response in the form that the caller receives."""
        response = answer.response
        headers = [
            header
            for header in http1.end_to_end(response.headers)
            if header[0] not in _TIER_ONLY_HEADERS
        ]
        return http1.HttpResponse(
            status=response.status, headers=headers, body=response.body
        )

    def merged_response(
        self, *, seals: list[bytes], missing: int, body: bytes
    ) -> http1.HttpResponse:
        """Return the response that merges the parts of a gathered request."""
        headers = [
            (_PART_SEALS_HEADER, b", ".join(seals)),
            (_MISSING_PARTS_HEADER, b"%d" % missing),
            (b"content-type", b"application/octet-stream"),
        ]
        return http1.HttpResponse(status=200, headers=headers, body=body)


def _parse_number(value: bytes | None) -> float | None:
    """Return a number that is not negative, or None if it is malformed.

    >>> _parse_number(b"12.5"), _parse_number(b"nan"), _parse_number(b"-1")
    (12.5, None, None)
    """
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


@functools.lru_cache(maxsize=_LOAD_REPORTS_CACHED)
def _parse_load(value: bytes | None) -> replicas.LeafLoad | None:
    """Parse a load report, or return None if it is malformed.

    Its numbers are running requests, waiting requests, slots and, optionally,
    the slowness in percent.

    >>> _parse_load(b"1,0,2").slots
    2
    >>> _parse_load(b"inf,0,2"), _parse_load(b"1,nan,2")
    (None, None)
    """
    if value is None:
        return None
    try:
        numbers = [float(text) for text in value.split(b",")]
    except ValueError:
        return None
    # Infinity and NaN are not in the range either.
    if len(numbers) < 3 or not all(0 <= each <= _LOAD_MAX for each in numbers):
        return None
    slowness = numbers[3] / 100 if len(numbers) > 3 else 1.0
    return replicas.LeafLoad(
        running=int(numbers[0]),
        waiting=int(numbers[1]),
        slots=int(numbers[2]),
        slowness=slowness,
    )
