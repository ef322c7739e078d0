"""HTTP/1.1 requests and responses, and their encoding."""

import http
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"http2-settings",
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
_BODILESS_STATUSES = frozenset((204, 304))


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A complete request; header names are in lower case.

    Attributes:
        method: The request method.
        target: The request target.
        headers: Pairs of name and value. They may hold a caller's key and are
            not part of the representation, which may appear in a log.
        body: The decoded body.
        keep_alive: Whether the connection stays open after the response.
        network_s: Estimated network time of the whole exchange as the caller
            sees it, in seconds, including the time to open a connection.
        link_s_per_byte: Seconds for which each byte of the response occupies
            the VM's network link; 0 if not known.
        link_s: Estimated seconds for which the response occupies it.
        sender_ends_in_s: Seconds after its arrival at which the VM that
            relays it ends what is in flight; infinite unless that VM stops.
    """

    method: bytes
    target: bytes
    headers: Headers = field(repr=False)
    body: bytes = b""
    keep_alive: bool = True
    network_s: float = 0.0
    link_s_per_byte: float = 0.0
    link_s: float = 0.0
    sender_ends_in_s: float = float("inf")


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` must be in lower case.

    >>> find_header([(b"host", b"a.example")], b"host")
    b'a.example'
    """
    for header, value in headers:
        if header == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers, which a proxy forwards.

    >>> end_to_end([(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")])
    [(b'x-b', b'2')]
    """
    dropped = _HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | listed
    return [pair for pair in headers if pair[0] not in dropped]


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    r"""Encode a request, with a Content-Length header for its body.

    >>> encode_request(b"GET", b"/a", [(b"host", b"b")], b"")
    b'GET /a HTTP/1.1\r\nhost: b\r\n\r\n'
    """
    return _encode_head(method, target, headers, len(body)) + b"\r\n" + body


def _encode_head(
    method: bytes, target: bytes, headers: Headers, body_length: int
) -> bytes:
    """Return the request line and the headers, without the empty line."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [
        b"%b: %b" % pair for pair in headers if pair[0] != b"content-length"
    ]
    if body_length or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % body_length)
    return b"\r\n".join(lines) + b"\r\n"


def _encode_headers(headers: Headers) -> bytes:
    return b"".join([b"%b: %b\r\n" % pair for pair in headers])


class RequestTemplate:
    r"""Encoded request that is completed with the headers of each attempt.

    >>> request = HttpRequest(method=b"GET", target=b"/a", headers=[])
    >>> template = RequestTemplate.of(request, headers=[(b"host", b"b")])
    >>> template.encode([(b"x-n", b"1")])
    b'GET /a HTTP/1.1\r\nhost: b\r\nx-n: 1\r\n\r\n'
    """

    __slots__ = ("_body", "_head")

    def __init__(self, *, head: bytes, body: bytes) -> None:
        """Initialize the template.

        Args:
            head: Request line and headers, without the empty line.
            body: The body.
        """
        self._head = head
        self._body = body

    @classmethod
    def of(cls, request: HttpRequest, *, headers: Headers) -> "RequestTemplate":
        """Return the template of a request.

        Args:
            request: The request.
            headers: Its headers, without those of single attempts.
        """
        head = _encode_head(
            request.method, request.target, headers, len(request.body)
        )
        return cls(head=head, body=request.body)

    def extended(self, headers: Headers) -> "RequestTemplate":
        """Return a template with further headers.

        Args:
            headers: Headers to add.
        """
        return RequestTemplate(
            head=self._head + _encode_headers(headers), body=self._body
        )

    def encode(self, headers: Headers) -> bytes:
        """Return the request of one attempt.

        Args:
            headers: Headers of this attempt.
        """
        return b"%b%b\r\n%b" % (
            self._head,
            _encode_headers(headers),
            self._body,
        )


def encode_response(
    response: HttpResponse, *, close: bool, to_head: bool = False
) -> bytes:
    r"""Encode a response, with a Content-Length header for its body.

    A response without content by its status or the request's method has no
    body, whatever is given as such; it would be read as the next response.

    Args:
        response: The response.
        close: Whether the connection closes behind it.
        to_head: Whether it answers a HEAD request. It then has the length that
            it names itself, or that of its body.

    >>> encode_response(HttpResponse(status=204, body=b"x"), close=True)
    b'HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n'
    >>> named = HttpResponse(status=200, headers=[(b"content-length", b"9")])
    >>> encode_response(named, close=False, to_head=True)
    b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'
    """
    status = response.status
    reason = _REASON_BY_STATUS.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [
        b"%b: %b" % pair
        for pair in response.headers
        if pair[0] != b"content-length"
    ]
    body = response.body
    if status in _BODILESS_STATUSES:
        body = b""
    else:
        lines.append(b"content-length: %b" % _length_of(response, to_head))
    if to_head:
        body = b""
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _length_of(response: HttpResponse, to_head: bool) -> bytes:
    """Return the length that a response states of its body."""
    named = None
    if to_head:
        named = find_header(response.headers, b"content-length")
    return named or b"%d" % len(response.body)
