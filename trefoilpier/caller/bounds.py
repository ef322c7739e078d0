"""Bounds on what callers can make the daemon hold."""

from dataclasses import dataclass
from typing import Any

from twisted.internet import protocol
from twisted.web import http, resource, server

from trefoilpier import base, query


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerBounds:
    """Bounds of the callers' interface.

    Attributes:
        body_max: Largest request body, in bytes.
        connections_max: Open connections.
        idle_s: Seconds without a byte after which a connection is closed.
        request_s: Seconds for a whole request to arrive.
    """

    body_max: int
    connections_max: int
    idle_s: float
    request_s: float = 10.0


def raw_answer(code: base.ResultCode, detail: str) -> bytes:
    """Returns a whole HTTP response for input that is not even a request.

    >>> raw_answer(base.ResultCode.MALFORMED_HTTP, "bad")[:24]
    b'HTTP/1.1 400 Bad Request'
    """
    refused = query.Outcome(code=code, detail=detail)
    body = refused.to_json()
    status = refused.http_status
    reason = http.RESPONSES.get(status, b"")
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\nConnection: close\r\n\r\n%b"
        % (status, reason, len(body), body)
    )


class BoundedRequest(server.Request):
    """A request whose body is bounded while it arrives."""

    _received = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a body that is announced as too large."""
        super().gotLength(length)
        if length is not None and length > self.channel.site.bounds.body_max:
            self._refuse_size()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes in a part of the body, within the bound."""
        if self._refused:
            return
        self._received += len(data)
        if self._received > self.channel.site.bounds.body_max:
            self._refuse_size()
            return
        super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Processes a whole request, unless it was refused."""
        if not self._refused:
            super().requestReceived(command, path, version)

    def _refuse_size(self) -> None:
        self._refused = True
        self.channel.refuse(
            base.ResultCode.BODY_TOO_LARGE, "the body is too large"
        )


class _BoundedChannel(http.HTTPChannel):
    """A connection on which a whole request must arrive in time."""

    _request_timer: Any = None
    _closed_by_refusal = False

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._arm()

    def _arm(self) -> None:
        """Starts the time for the next request."""
        site = self.site
        self._request_timer = site.clock.call_later(
            site.bounds.request_s, self._too_slow
        )

    def _disarm(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _too_slow(self) -> None:
        self._request_timer = None
        if self._receiving():
            self.refuse(
                base.ResultCode.SLOW_SENDER, "the request came too slowly"
            )

    def _receiving(self) -> bool:
        """Tells whether a request has begun and is not whole."""
        begun = bool(self._command) or bool(getattr(self, "_buffer", b""))
        return begun and not self._handling

    _handling = False

    def allContentReceived(self) -> None:  # noqa: N802
        """Notes that the request is whole."""
        self._disarm()
        self._handling = True
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Waits for the next request of the connection."""
        self._handling = False
        super().requestDone(request)
        if not self._closed_by_refusal:
            self._arm()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser unless the connection was refused."""
        if self._closed_by_refusal:
            return
        super().dataReceived(data)

    def refuse(self, code: base.ResultCode, detail: str) -> None:
        """Answers with a numbered code and closes the connection."""
        if self._closed_by_refusal:
            return
        self._closed_by_refusal = True
        self._disarm()
        self.site.event_log.emit(
            base.Event.CALLER_REJECTED,
            caller=str(self.getPeer().host),
            code=str(code),
        )
        self.transport.write(raw_answer(code, detail))
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(base.ResultCode.MALFORMED_HTTP, "malformed HTTP")

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._disarm()
        self.site.connection_closed()
        super().connectionLost(reason)


class _FullProtocol(protocol.Protocol):
    """Tells a caller that there are too many connections."""

    def __init__(self, *, site: "BoundedSite") -> None:
        self._site = site

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(
            raw_answer(base.ResultCode.CONNECTION_LIMIT, "too many connections")
        )
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._site.connection_closed()


class BoundedSite(server.Site):
    """Serves callers within `CallerBounds`.

    Attributes:
        bounds: The bounds.
        clock: The clock.
        event_log: Where events go.
        open_connections: Connections that are open.
    """

    def __init__(
        self,
        root: resource.Resource,
        *,
        bounds: CallerBounds,
        clock: base.Clock,
        log: base.EventLog,
    ) -> None:
        super().__init__(root, requestFactory=BoundedRequest)
        self.timeOut = bounds.idle_s
        self.bounds = bounds
        self.clock = clock
        self.event_log = log
        self.open_connections = 0
        self.displayTracebacks = False

    def connection_closed(self) -> None:
        """Counts a closed connection."""
        self.open_connections -= 1

    def log(self, request: Any) -> None:
        """Writes no access log; each request has its event."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Serves a new connection, or refuses it at the bound."""
        self.open_connections += 1
        if self.open_connections > self.bounds.connections_max:
            return _FullProtocol(site=self)
        channel = _BoundedChannel()
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.factory = self
        channel.timeOut = self.timeOut
        return channel
