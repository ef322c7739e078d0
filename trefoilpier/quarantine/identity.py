"""Identity of a request across its repeats."""

import hashlib

from trefoilpier import http1, replicas

_DIGEST_BYTES = 16
_DESCRIPTION_MAX_CHARACTERS = 120  # Limits the length of records and logs.


def identify(
    request: http1.HttpRequest, *, account: bytes
) -> replicas.RequestIdentity:
    """Return what a request has in common with its repeats.

    Ids and deadlines of single attempts do not count.

    Args:
        request: The request.
        account: Client account of the caller; empty if it is not known.

    >>> one = http1.HttpRequest(method=b"GET", target=b"/a", headers=[])
    >>> other = http1.HttpRequest(method=b"GET", target=b"/b", headers=[])
    >>> first = identify(one, account=b"")
    >>> first.description
    'GET /a'
    >>> first == identify(one, account=b"")
    True
    >>> first == identify(other, account=b"")
    False
    """
    host = http1.find_header(request.headers, b"host") or b""
    parts = (request.method, host.lower(), request.target, account)
    # The lengths keep the parts apart.
    lengths = b",".join(b"%d" % len(part) for part in parts)
    data = b"".join((lengths, b";", *parts, request.body))
    text = b"%b %b%b" % (request.method, host, request.target)
    return replicas.RequestIdentity(
        fingerprint=hashlib.blake2b(
            data, digest_size=_DIGEST_BYTES
        ).hexdigest(),
        description=text.decode("latin-1")[:_DESCRIPTION_MAX_CHARACTERS],
    )
