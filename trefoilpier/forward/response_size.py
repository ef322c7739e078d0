"""Sizes of responses, which decide how long they occupy a narrow link."""

from trefoilpier import http1

_SMOOTHING = 0.1
_HEADER_OVERHEAD_BYTES = 4  # Separator and line break.
_START_BYTES = 60  # Status line, date and length of the body.
_KEYS_MAX = 256  # Kinds of requests remembered.


def count_bytes(response: http1.HttpResponse) -> int:
    """Return about how many bytes a response takes on the network.

    >>> count_bytes(http1.HttpResponse(status=200, headers=[(b"a", b"bc")]))
    67
    """
    headers = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in response.headers
    )
    return _START_BYTES + headers + len(response.body)


class ResponseSizes:
    """Mean sizes of successful responses, by the kind of request.

    Requests with the same host and first part of the path are of one kind. A VM
    that relays does not know the routes, and a route's prefix begins with that
    part.

    >>> sizes = ResponseSizes()
    >>> request = http1.HttpRequest(method=b"GET", target=b"/a/1", headers=[])
    >>> sizes.add(request, http1.HttpResponse(status=200, body=b"12345"))
    >>> sizes.estimate(request)
    65.0
    """

    __slots__ = ("_mean_by_key",)

    def __init__(self) -> None:
        """Start without responses."""
        self._mean_by_key: dict[tuple[bytes, bytes], float] = {}

    def estimate(self, request: http1.HttpRequest) -> float:
        """Return the expected size of a response in bytes; 0 if not known."""
        return self._mean_by_key.get(_key(request), 0.0)

    def add(
        self, request: http1.HttpRequest, response: http1.HttpResponse
    ) -> None:
        """Add the response to a request."""
        key = _key(request)
        size = count_bytes(response)
        mean = self._mean_by_key.pop(key, None)
        if mean is None:
            mean = float(size)
        self._mean_by_key[key] = mean + _SMOOTHING * (size - mean)
        if len(self._mean_by_key) > _KEYS_MAX:
            del self._mean_by_key[next(iter(self._mean_by_key))]


def _key(request: http1.HttpRequest) -> tuple[bytes, bytes]:
    host = http1.find_header(request.headers, b"host") or b""
    return host, request.target[1:].partition(b"/")[0]
