"""The headers of the platform's callers and leafs."""

from trefoilpier import forward, http1, replicas

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_EXPECTED_LEAF = b"x-expect-instance"
_SEAL = b"x-server-seal"
_LOAD = b"x-server-load"
_NOT_RUN = b"x-not-executed"
_PARTS = b"x-part-stamps"
_MISSING = b"x-missing-parts"
_STATUS_WRONG_LEAF = 421
_STATUS_FAILED_LEAST = 500
_NOT_RUN_STATUS = frozenset((400, 421, 429, 503))
# Headers that the tier sets itself toward a leaf.
_SET_HERE = frozenset((_DEADLINE, _EXPECTED_LEAF, b"expect"))
# A leaf's word to the tier, of no use to a caller.
_KEPT_HERE = frozenset((_LOAD, _NOT_RUN))
_SEAL_FORBIDDEN = frozenset(b' ,;\t"')


class PlatformWire(forward.LeafWire):
    """Reads and writes those headers."""

    __slots__ = ()

    @property
    def id_header(self) -> bytes:
        """Header in which a leaf echoes the request's id."""
        return _REQUEST_ID

    def read_ask(self, request: http1.HttpRequest) -> forward.CallerAsk:
        """Reads a caller's headers."""
        wait_s = None
        value = http1.find_header(request.headers, _DEADLINE)
        if value is not None:
            try:
                wait_s = max(0.0, float(value) / 1000)
            except ValueError:
                wait_s = None
        return forward.CallerAsk(
            id=http1.find_header(request.headers, _REQUEST_ID) or b"",
            wait_s=wait_s,
        )

    def forwarded(self, request: http1.HttpRequest) -> http1.Headers:
        """Returns the headers to forward, without those set here."""
        return [
            pair
            for pair in http1.end_to_end(request.headers)
            if pair[0] not in _SET_HERE
        ]

    def encode(
        self,
        request: http1.HttpRequest,
        headers: http1.Headers,
        *,
        leaf_id: str,
        wait_s: float,
    ) -> bytes:
        """Encodes the request to one leaf."""
        own = [
            (_DEADLINE, b"%d" % max(1, int(wait_s * 1000))),
            (_EXPECTED_LEAF, leaf_id.encode()),
        ]
        return http1.encode_request(
            request.method, request.target, headers + own, request.body
        )

    def read_answer(self, response: http1.HttpResponse) -> forward.LeafAnswer:
        """Reads a leaf's response."""
        seal = http1.find_header(response.headers, _SEAL)
        encoded = http1.find_header(response.headers, b"content-encoding")
        if not seal or _SEAL_FORBIDDEN & frozenset(seal) or encoded:
            seal = None
        wrong_leaf = response.status == _STATUS_WRONG_LEAF
        stated = http1.find_header(response.headers, _NOT_RUN) is not None
        return forward.LeafAnswer(
            response=response,
            seal=seal,
            not_run=stated and response.status in _NOT_RUN_STATUS,
            wrong_leaf=wrong_leaf,
            failed=seal is None or response.status >= _STATUS_FAILED_LEAST,
            load=_read_load(http1.find_header(response.headers, _LOAD)),
        )

    def relay(self, answer: forward.LeafAnswer) -> http1.HttpResponse:
        """Returns a leaf's response as the caller gets it."""
        response = answer.response
        headers = [
            pair
            for pair in http1.end_to_end(response.headers)
            if pair[0] not in _KEPT_HERE
        ]
        return http1.HttpResponse(
            status=response.status, headers=headers, body=response.body
        )

    def gathered(
        self, *, seals: list[bytes], missing: int, body: bytes
    ) -> http1.HttpResponse:
        """Returns the answer made of several parts."""
        headers = [
            (_PARTS, b", ".join(seals)),
            (_MISSING, b"%d" % missing),
            (b"content-type", b"application/octet-stream"),
        ]
        return http1.HttpResponse(status=200, headers=headers, body=body)


def _read_load(value: bytes | None) -> replicas.LeafLoad | None:
    """Reads running, waiting and slots; a fourth figure is the slowness."""
    if value is None:
        return None
    try:
        figures = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(figures) < 3 or any(figure < 0 for figure in figures):
        return None
    slowness = figures[3] / 100 if len(figures) > 3 else 1.0
    return replicas.LeafLoad(
        running=int(figures[0]),
        waiting=int(figures[1]),
        slots=int(figures[2]),
        slowness=slowness,
    )
