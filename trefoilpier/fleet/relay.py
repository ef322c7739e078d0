"""Relaying of whole requests to gatherers.

A relaying VM treats the gatherers as the leaves of one service, and uses the
same forwarding engine. It sends a request to a second gatherer only if the
first one reports that it has not run the request.
"""

from collections.abc import Callable

from trefoilpier import accounts, forward, http1, routes
from trefoilpier.fleet import directory

_MIN_VERSION_HEADER = b"trefoilpier-least-version"
_VERSION_HEADER = b"trefoilpier-version"
_BEHIND_HEADER = b"trefoilpier-behind"
_NETWORK_TIME_HEADER = b"trefoilpier-network-us"
# Milliseconds until the relaying VM, which stops, ends what is in flight.
_ENDS_HEADER = b"trefoilpier-ends-ms"
_STATUS_MISDIRECTED = 421
# Time reserved for the return of a response that the gatherer sends at its
# deadline.
_RESPONSE_MARGIN_S = 0.004
_DEFAULT_TIMEOUT_S = 60.0  # For requests without a deadline.
_RELAY_HEADERS = frozenset(
    (_MIN_VERSION_HEADER, _NETWORK_TIME_HEADER, _ENDS_HEADER)
)
_GATHERER_HEADERS = frozenset((_VERSION_HEADER, _BEHIND_HEADER))

_ROUTE = routes.Route(
    name="relay",
    host=b"",
    prefix=b"/",
    # A second gatherer would send the request to leaves again, which exceeds
    # the route's limit on attempts.
    repeatable=False,
    timeout_s=_DEFAULT_TIMEOUT_S,
    objective_s=0.1,
    attempts_max=1,
    priority=0,
    targets=(
        routes.WeightedService(name=directory.GATHERER_SERVICE, weight=1.0),
    ),
)


class _RelayTable(routes.RouteTable):
    """Route table with a single route, to the gatherers."""

    def match(self, host: bytes, path: bytes) -> routes.Route | None:
        """Return the single route."""
        return _ROUTE


def relay_table(version: int) -> routes.RouteTable:
    """Return the route table of a relaying VM.

    Args:
        version: Highest version of the routes known to be in force at any
            gatherer.
    """
    return _RelayTable(version=version, routes=(_ROUTE,))


class RelayWire(forward.LeafWire):
    """Protocol between a relaying VM and a gatherer.

    Adds headers with the minimum version of the routes and with the network
    time of the caller's request, which includes that of the response on the
    VM's own link.

    Attributes:
        min_version: Minimum version of the routes at a gatherer; one with
            older routes refuses the request.
        get_ends_in_s: Returns the seconds until this VM, which stops, ends
            what is in flight; None unless it stops.
    """

    __slots__ = ("_wire", "get_ends_in_s", "min_version")

    def __init__(self, *, wire: forward.LeafWire) -> None:
        """Wrap the protocol that callers and leaves use.

        Args:
            wire: Reads callers' headers and encodes the remaining time.
        """
        self._wire = wire
        self.min_version = 0
        self.get_ends_in_s: Callable[[], float] | None = None

    @property
    def id_header(self) -> bytes:
        """Name of the header with the request id."""
        return self._wire.id_header

    def read_metadata(
        self, request: http1.HttpRequest
    ) -> forward.RequestMetadata:
        """Read the id and the deadline from a caller's headers."""
        return self._wire.read_metadata(request)

    def read_key(self, request: http1.HttpRequest) -> bytes:
        """Return no key: the gatherer decides about accounts."""
        return b""

    def forwarded_headers(
        self, request: http1.HttpRequest, access: accounts.Access | None
    ) -> http1.Headers:
        """Return the headers to forward, and the caller's network time.

        The key is among them, since the gatherer decides about accounts.
        """
        network_us = int((request.network_s + request.link_s) * 1e6)
        forwarded = self._wire.forwarded_headers(request, None)
        return [
            # A caller's own headers of these names say nothing.
            *(each for each in forwarded if each[0] not in _RELAY_HEADERS),
            (_NETWORK_TIME_HEADER, b"%d" % network_us),
        ]

    def encode(
        self, template: http1.RequestTemplate, *, leaf_id: str, wait_s: float
    ) -> bytes:
        """Encode the request to a gatherer."""
        # The version at the time of sending, which may follow a wait.
        headers = [(_MIN_VERSION_HEADER, b"%d" % self.min_version)]
        if self.get_ends_in_s is not None:
            ends_ms = max(0, int(1000 * self.get_ends_in_s()))
            headers.append((_ENDS_HEADER, b"%d" % ends_ms))
        return self._wire.encode(
            template.extended(headers),
            leaf_id=leaf_id,
            wait_s=max(0.001, wait_s - _RESPONSE_MARGIN_S),
        )

    def read_answer(self, response: http1.HttpResponse) -> forward.LeafAnswer:
        """Wrap a gatherer's response and note the version that it reports."""
        version = http1.find_header(response.headers, _VERSION_HEADER)
        if version is not None and version.isdigit():
            self.min_version = max(self.min_version, int(version))
        is_behind = (
            http1.find_header(response.headers, _BEHIND_HEADER) is not None
        )
        return forward.LeafAnswer(
            response=response,
            seal=b"relayed",
            not_run=is_behind,
            wrong_leaf=False,
            failed=False,
            load=None,
        )

    def relay(self, answer: forward.LeafAnswer) -> http1.HttpResponse:
        """Return the gatherer's response without headers between VMs."""
        headers = [
            header
            for header in http1.end_to_end(answer.response.headers)
            if header[0] not in _GATHERER_HEADERS
        ]
        return http1.HttpResponse(
            status=answer.response.status,
            headers=headers,
            body=answer.response.body,
        )

    def merged_response(
        self, *, seals: list[bytes], missing: int, body: bytes
    ) -> http1.HttpResponse:
        """Raise NotImplementedError: a relaying VM merges no responses."""
        raise NotImplementedError


class _VersionedExchange(http1.Exchange):
    """Relayed request whose response reports the version in force."""

    __slots__ = ("_engine", "_wrapped")

    def __init__(
        self, *, wrapped: http1.Exchange, engine: forward.ForwardEngine
    ) -> None:
        self._wrapped = wrapped
        self._engine = engine
        self.request = wrapped.request
        self.received_at = wrapped.received_at
        self.on_disconnect = self.on_expire = None
        wrapped.on_disconnect = self._on_caller_disconnect
        wrapped.on_expire = self._on_expire

    def _on_caller_disconnect(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect()

    def _on_expire(self) -> None:
        if self.on_expire is not None:
            self.on_expire()

    def respond(self, response: http1.HttpResponse) -> None:
        table = self._engine.table
        version = table.version if table is not None else 0
        # Headers of these names are a leaf's, which knows nothing of either.
        response.headers = [
            each
            for each in response.headers
            if each[0] not in _GATHERER_HEADERS
        ]
        response.headers.append((_VERSION_HEADER, b"%d" % version))
        self._wrapped.respond(response)


class RelayHandler(http1.RequestHandler):
    """Handler of the requests that other VMs relay to this gatherer."""

    __slots__ = ("_engine",)

    def __init__(self, *, engine: forward.ForwardEngine) -> None:
        self._engine = engine

    def handle(self, exchange: http1.Exchange) -> None:
        """Serve the request, or refuse it with status 421.

        It is refused if the routes in force are older than the version that
        the relaying VM requires, or if this VM shuts down and may end before
        the request does: another gatherer may serve it.
        """
        headers = exchange.request.headers
        version_text = http1.find_header(headers, _MIN_VERSION_HEADER) or b"0"
        table = self._engine.table
        version = table.version if table is not None else 0
        required_version = int(version_text) if version_text.isdigit() else 0
        if (
            table is None
            or version < required_version
            or not self._engine.outlasts(exchange.request)
        ):
            exchange.respond(
                http1.HttpResponse(
                    status=_STATUS_MISDIRECTED, headers=[(_BEHIND_HEADER, b"1")]
                )
            )
            return
        network_us = http1.find_header(headers, _NETWORK_TIME_HEADER) or b""
        if network_us.isdigit():
            exchange.request.network_s += int(network_us) / 1e6
        ends_ms = http1.find_header(headers, _ENDS_HEADER) or b""
        if ends_ms.isdigit():
            exchange.request.sender_ends_in_s = int(ends_ms) / 1000
        exchange.request.headers = [
            header for header in headers if header[0] not in _RELAY_HEADERS
        ]
        self._engine.handle(
            _VersionedExchange(wrapped=exchange, engine=self._engine)
        )

    def rejected(self, status: int, reason: str) -> None:
        """Log a malformed request."""
        self._engine.rejected(status, reason)
