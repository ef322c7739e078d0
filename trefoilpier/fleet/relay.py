"""Relays whole requests to VMs that gather.

To a relaying VM a gatherer is a leaf: the same engine sends a request once,
to another gatherer only if it has not run.
"""

from trefoilpier import forward, http1, routes
from trefoilpier.fleet import directory

_LEAST_VERSION = b"trefoilpier-least-version"
_VERSION = b"trefoilpier-version"
_BEHIND = b"trefoilpier-behind"
_NETWORK = b"trefoilpier-network-us"
_STATUS_BEHIND = 421
# The gatherer's own answer at the deadline must come back in time.
_RETURN_S = 0.004
_WAIT_MAX_S = 60.0  # For callers that state no time.
_OWN_HEADERS = frozenset((_LEAST_VERSION, _NETWORK))

_ROUTE = routes.Route(
    name="relay",
    host=b"",
    prefix=b"/",
    # A second gatherer would send to leafs again, beyond the route's terms.
    repeatable=False,
    timeout_s=_WAIT_MAX_S,
    objective_s=0.1,
    attempts_max=1,
    rank=0,
    targets=(routes.WeightedService(name=directory.GATHERERS, weight=1.0),),
)


class _RelayTable(routes.RouteTable):
    """Sends every request to the gatherers."""

    def match(self, host: bytes, path: bytes) -> routes.Route | None:
        """Returns the one route."""
        return _ROUTE


def relay_table(version: int) -> routes.RouteTable:
    """Returns the routes of a relaying VM.

    Args:
        version: Highest version that any gatherer is known to have in force.
    """
    return _RelayTable(version=version, routes=(_ROUTE,))


class RelayWire(forward.LeafWire):
    """Hands requests and answers on, with the version that is asked for."""

    __slots__ = ("_wire", "least_version")

    def __init__(self, *, wire: forward.LeafWire) -> None:
        """Wraps the protocol of callers.

        Args:
            wire: Reads callers' headers and encodes the time that is left.
        """
        self._wire = wire
        self.least_version = 0

    @property
    def id_header(self) -> bytes:
        """Header that bears the request's id."""
        return self._wire.id_header

    def read_ask(self, request: http1.HttpRequest) -> forward.CallerAsk:
        """Reads a caller's headers."""
        return self._wire.read_ask(request)

    def forwarded(self, request: http1.HttpRequest) -> http1.Headers:
        """Returns the headers to forward."""
        return self._wire.forwarded(request)

    def encode(
        self,
        request: http1.HttpRequest,
        headers: http1.Headers,
        *,
        leaf_id: str,
        wait_s: float,
    ) -> bytes:
        """Encodes the request to one gatherer."""
        own = [
            (_LEAST_VERSION, b"%d" % self.least_version),
            (_NETWORK, b"%d" % int(request.network_s * 1e6)),
        ]
        return self._wire.encode(
            request,
            headers + own,
            leaf_id=leaf_id,
            wait_s=max(0.001, wait_s - _RETURN_S),
        )

    def read_answer(self, response: http1.HttpResponse) -> forward.LeafAnswer:
        """Takes a gatherer's answer as it is."""
        version = http1.find_header(response.headers, _VERSION)
        if version is not None and version.isdigit():
            self.least_version = max(self.least_version, int(version))
        behind = http1.find_header(response.headers, _BEHIND) is not None
        return forward.LeafAnswer(
            response=response,
            seal=b"relayed",
            not_run=behind,
            wrong_leaf=False,
            failed=False,
            load=None,
        )

    def relay(self, answer: forward.LeafAnswer) -> http1.HttpResponse:
        """Returns the gatherer's answer as the caller gets it."""
        headers = [
            pair
            for pair in http1.end_to_end(answer.response.headers)
            if pair[0] != _VERSION
        ]
        return http1.HttpResponse(
            status=answer.response.status,
            headers=headers,
            body=answer.response.body,
        )

    def gathered(
        self, *, seals: list[bytes], missing: int, body: bytes
    ) -> http1.HttpResponse:
        """Is not used: a relaying VM puts nothing together."""
        raise NotImplementedError


class _Stamped(http1.Exchange):
    """A relayed request, whose answer tells the version in force."""

    __slots__ = ("_engine", "_outer")

    def __init__(
        self, *, outer: http1.Exchange, engine: forward.ForwardEngine
    ) -> None:
        self._outer = outer
        self._engine = engine
        self.request = outer.request
        self.received_at = outer.received_at
        self.on_gone = None
        outer.on_gone = self._gone

    def _gone(self) -> None:
        if self.on_gone is not None:
            self.on_gone()

    def respond(self, response: http1.HttpResponse) -> None:
        table = self._engine.table
        version = table.version if table is not None else 0
        response.headers.append((_VERSION, b"%d" % version))
        self._outer.respond(response)


class RelayDoor(http1.RequestHandler):
    """Takes the requests that other VMs relay to this one."""

    __slots__ = ("_engine",)

    def __init__(self, *, engine: forward.ForwardEngine) -> None:
        self._engine = engine

    def handle(self, exchange: http1.Exchange) -> None:
        """Serves the request, unless older routes than asked for apply."""
        headers = exchange.request.headers
        asked = http1.find_header(headers, _LEAST_VERSION) or b"0"
        table = self._engine.table
        version = table.version if table is not None else 0
        least = int(asked) if asked.isdigit() else 0
        if table is None or version < least or self._engine.draining:
            exchange.respond(
                http1.HttpResponse(
                    status=_STATUS_BEHIND, headers=[(_BEHIND, b"1")]
                )
            )
            return
        network = http1.find_header(headers, _NETWORK) or b""
        if network.isdigit():
            exchange.request.network_s += int(network) / 1e6
        exchange.request.headers = [
            pair for pair in headers if pair[0] not in _OWN_HEADERS
        ]
        self._engine.handle(_Stamped(outer=exchange, engine=self._engine))

    def rejected(self, status: int, reason: str) -> None:
        """Logs input that is no proper request."""
        self._engine.rejected(status, reason)
