"""Responses that the tier generates itself."""

from trefoilpier import http1

_STATUS_UNAUTHORIZED = 401
_STATUS_TOO_MANY_REQUESTS = 429
_STATUS_UNAVAILABLE = 503


def make_refusal(
    retry_after_s: float, *, status: int = _STATUS_UNAVAILABLE
) -> http1.HttpResponse:
    """Return the response to a refused request, which no leaf has run.

    Args:
        retry_after_s: Seconds after which the caller may retry.
        status: Status of the response.

    >>> make_refusal(0.25).headers
    [(b'retry-after', b'0.250')]
    """
    retry_after = b"%.3f" % retry_after_s
    return http1.HttpResponse(
        status=status, headers=[(b"retry-after", retry_after)]
    )


def make_quota_refusal(retry_after_s: float) -> http1.HttpResponse:
    """Return the response to a request beyond the quota of its account."""
    return make_refusal(retry_after_s, status=_STATUS_TOO_MANY_REQUESTS)


def make_unknown_key_refusal() -> http1.HttpResponse:
    """Return the response to a request without a known key."""
    return http1.HttpResponse(
        status=_STATUS_UNAUTHORIZED, headers=[(b"www-authenticate", b"Bearer")]
    )
