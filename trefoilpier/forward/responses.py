"""Responses that the tier generates itself."""

from trefoilpier import http1


def make_refusal(retry_after_s: float) -> http1.HttpResponse:
    """Return the response to a refused request, which no leaf has run.

    Args:
        retry_after_s: Seconds after which the caller may retry.

    >>> make_refusal(0.25).headers
    [(b'retry-after', b'0.250')]
    """
    retry_after = b"%.3f" % retry_after_s
    return http1.HttpResponse(
        status=503, headers=[(b"retry-after", retry_after)]
    )
