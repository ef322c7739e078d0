"""Pages on which operators list barred requests and lift bars."""

import urllib.parse

import orjson

from trefoilpier import http1, quarantine

LIST_PATH = b"/quarantine"
LIFT_PATH = b"/quarantine/lift"
FINGERPRINT_PARAMETER = "fingerprint"
_STATUS_BAD_METHOD = 405
_STATUS_NOT_FOUND = 404


class QuarantinePages:
    """The pages of one VM; a lift on one VM reaches all."""

    __slots__ = ("_ledger",)

    def __init__(self, *, ledger: quarantine.QuarantineLedger) -> None:
        """Create the pages.

        Args:
            ledger: Ledger of the VM.
        """
        self._ledger = ledger

    def list_requests(self, request: http1.HttpRequest) -> http1.HttpResponse:
        """Return the requests against which there is evidence."""
        return _respond(200, {"requests": list(self._ledger.list_requests())})

    def lift(self, request: http1.HttpRequest) -> http1.HttpResponse:
        """Lift the bar of the request that the query names."""
        if request.method != b"POST":
            return _respond(_STATUS_BAD_METHOD, {"error": "use POST"})
        query = request.target.partition(b"?")[2].decode("latin-1")
        parameters = urllib.parse.parse_qs(query)
        fingerprint = parameters.get(FINGERPRINT_PARAMETER, [""])[0]
        if not self._ledger.lift(fingerprint):
            return _respond(
                _STATUS_NOT_FOUND,
                {"error": "no evidence counts against this fingerprint"},
            )
        return _respond(200, {"lifted": fingerprint})


def _respond(status: int, document: dict) -> http1.HttpResponse:
    return http1.HttpResponse(
        status=status,
        headers=[(b"content-type", b"application/json")],
        body=orjson.dumps(document),
    )
