"""Requests and responses as they stand on the wire."""

import http
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: headers that concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_REASON_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_STATUS_NO_CONTENT = 204
_STATUS_NOT_MODIFIED = 304


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A whole request; header names are in lower case.

    Attributes:
        network_s: Seconds that the network takes between the caller's start
            and the last byte of the answer, opening a connection included.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    network_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A whole response; header names are in lower case."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, given in lower case.

    >>> find_header([(b"host", b"a.example")], b"host")
    b'a.example'
    """
    for header, value in headers:
        if header == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that a proxy forwards.

    >>> end_to_end([(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")])
    [(b'x-b', b'2')]
    """
    dropped = _HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | named
    return [pair for pair in headers if pair[0] not in dropped]


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    r"""Builds a request whose body has a length.

    >>> encode_request(b"GET", b"/a", [(b"host", b"b")], b"")
    b'GET /a HTTP/1.1\r\nhost: b\r\n\r\n'
    """
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [
        b"%b: %b" % pair for pair in headers if pair[0] != b"content-length"
    ]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(response: HttpResponse, *, close: bool) -> bytes:
    r"""Builds a response whose body has a length.

    >>> encode_response(HttpResponse(status=204), close=True)
    b'HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n'
    """
    status = response.status
    reason = _REASON_BY_STATUS.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [
        b"%b: %b" % pair
        for pair in response.headers
        if pair[0] != b"content-length"
    ]
    if status not in (_STATUS_NO_CONTENT, _STATUS_NOT_MODIFIED):
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body
