"""Responses that the tier makes itself."""

from trefoilpier import http1


def refused(retry_after_s: float) -> http1.HttpResponse:
    """Returns the response to a request that has not run and never will.

    Args:
        retry_after_s: Seconds after which the caller may come back.

    >>> refused(0.25).headers
    [(b'retry-after', b'0.250')]
    """
    after = b"%.3f" % retry_after_s
    return http1.HttpResponse(status=503, headers=[(b"retry-after", after)])
