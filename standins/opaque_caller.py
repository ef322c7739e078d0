"""Headers that callers of the published protocol send and read."""

from trefoilpier import http1


def attempt_headers(request_id: bytes, wait_s: float) -> http1.Headers:
    """Return the headers of one attempt.

    Args:
        request_id: Id of the attempt.
        wait_s: Seconds that the caller will wait.

    >>> attempt_headers(b"q1", 0.5)
    [(b'x-request-id', b'q1'), (b'x-deadline-ms', b'500')]
    """
    deadline_ms = max(1, int(wait_s * 1000))
    return [
        (b"x-request-id", request_id),
        (b"x-deadline-ms", b"%d" % deadline_ms),
    ]


def missing_shards(response: http1.HttpResponse) -> int:
    """Return how many shards a response states as missing."""
    value = http1.find_header(response.headers, b"x-missing-parts")
    return int(value or 0)


def retry_after_s(response: http1.HttpResponse) -> float:
    """Return the delay that a response states, in seconds; 0 for none."""
    return float(http1.find_header(response.headers, b"retry-after") or 0.0)
