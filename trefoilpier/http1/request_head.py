"""Checks of a request's head before its body arrives."""

from typing import Any

from trefoilpier.http1 import message

_UNSUPPORTED_METHODS = frozenset((b"CONNECT", b"TRACE"))


def find_error(headers: message.Headers, parser: Any) -> str:
    """Return why the headers are ambiguous or unsupported, or ``""``."""
    names = [name for name, _ in headers]
    if any(b"\r" in value or b"\n" in value for _, value in headers):
        return "header value contains a line break"
    version = parser.get_http_version()
    if version not in ("1.0", "1.1"):
        return "unsupported HTTP version"
    if names.count(b"host") != 1:
        return "exactly one Host header is required"
    lengths = names.count(b"content-length")
    codings = [
        coding.lower()
        for header, coding in headers
        if header == b"transfer-encoding"
    ]
    if lengths > 1 or (lengths and codings):
        return "conflicting headers for the body length"
    if codings and codings != [b"chunked"]:
        return "unsupported transfer coding"
    if codings and version == "1.0":
        return "transfer coding in an HTTP/1.0 request"
    if parser.get_method() in _UNSUPPORTED_METHODS:
        return "method is not supported"
    return ""


def expects_continue(headers: message.Headers, parser: Any) -> bool:
    """Return whether the caller waits for an interim response with its body.

    One of HTTP/1.0 does not know them (RFC 9110, section 10.1.1).
    """
    expect = message.find_header(headers, b"expect") or b""
    if expect.lower() != b"100-continue":
        return False
    length = message.find_header(headers, b"content-length") or b"0"
    chunked = message.find_header(headers, b"transfer-encoding") is not None
    has_body = chunked or int(length) > 0
    return has_body and parser.get_http_version() != "1.0"
