"""A caller that keeps one connection and sends what few others send.

Its requests carry headers that concern one connection only, bodies in chunks
with extensions and trailers, empty lines, and expectations. It reads what
arrives with a parser of its own and reports each byte that answers nothing.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol

from trefoilpier import base, http1

_CONNECT_TIMEOUT_S = 1.0
_BODY_PAUSE_S = 0.05  # Before a body that no interim answer asked for.
_HEAD_END = b"\r\n\r\n"
_CONTINUE_STATUS = 100
_FINAL_STATUS_MIN = 200
_BODILESS_STATUSES = frozenset((204, 304))
_EXPECT = b"Expect: 100-continue\r\n"
# Headers that concern one connection, and what callers send beside them.
_CONNECTION_HEADERS = (
    b"",
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABk\r\n",
    b"Connection: upgrade\r\nUpgrade: websocket\r\n",
    b"Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
    b"Connection: x-hop, TE\r\nX-Hop: 1\r\nTE: trailers\r\n",
    b"Proxy-Connection: keep-alive\r\n",
)


@dataclass(slots=True, kw_only=True)
class KeptRequest:
    """A request on a kept connection.

    Attributes:
        id: Its id.
        method: Its method.
        target: Its target.
        on_end: Called once with the response, or None if there is none.
        expects: Whether it asked for an interim response that is due.
        body: Bytes of its body that wait for that response.
    """

    id: bytes
    method: bytes
    target: bytes
    on_end: Callable[[http1.HttpResponse | None], None]
    expects: bool = False
    body: bytes = b""


@dataclass(slots=True)
class _Response:
    status: int
    headers: http1.Headers = field(default_factory=list)
    body: bytes = b""


class _Link(protocol.Protocol):
    """One connection, whose requests are answered in order."""

    def __init__(self, *, caller: "KeptCaller") -> None:
        self._caller = caller
        self._received = b""
        self.waiting: deque[KeptRequest] = deque()

    def connectionMade(self) -> None:  # noqa: N802
        self._caller.connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        while self._received:
            response = self._read_response()
            if response is None:
                return
            self._caller.answered(self, response)

    def _read_response(self) -> _Response | None:
        """Take a response from the bytes received, if one is complete."""
        head, end, rest = self._received.partition(_HEAD_END)
        if not end:
            return None
        first, *lines = head.split(b"\r\n")
        headers = []
        for line in lines:
            name, _, value = line.partition(b":")
            headers.append((name.lower(), value.strip()))
        response = _Response(int(first.split(b" ")[1]), headers)
        length = int(http1.find_header(headers, b"content-length") or 0)
        if (
            response.status < _FINAL_STATUS_MIN
            or response.status in _BODILESS_STATUSES
            or (self.waiting and self.waiting[0].method == b"HEAD")
        ):
            length = 0
        if len(rest) < length:
            return None
        response.body, self._received = rest[:length], rest[length:]
        return response

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._caller.lost(self)


class _LinkFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, *, caller: "KeptCaller") -> None:
        self._caller = caller

    def buildProtocol(self, addr: Any) -> _Link:  # noqa: N802
        return _Link(caller=self._caller)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._caller.lost(None)


class KeptCaller:
    """A caller of one VM over one connection at a time.

    Attributes:
        violations: What arrived that no request had asked for.
    """

    __slots__ = (
        "_clock",
        "_connecting",
        "_headers",
        "_host",
        "_link",
        "_port",
        "_reactor",
        "_rng",
        "_unsent",
        "violations",
    )

    def __init__(
        self,
        *,
        reactor: Any,
        clock: base.Clock,
        rng: random.Random,
        host: str,
        port: int,
        headers: Callable[[bytes], http1.Headers],
    ) -> None:
        """Create the caller, which connects for its first request.

        Args:
            reactor: Opens connections.
            clock: Clock of the pauses.
            rng: Draws the form of each request.
            host: Address of the VM.
            port: Its port for callers.
            headers: Returns the end-to-end headers of a request with an id.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._host = host
        self._port = port
        self._headers = headers
        self._link: _Link | None = None
        self._connecting = False
        self._unsent: list[KeptRequest] = []
        self.violations: list[str] = []

    def send(self, *requests: KeptRequest) -> None:
        """Send requests, all at once if there are several."""
        self._unsent += requests
        if self._link is not None:
            self._send_all(self._link)
        elif not self._connecting:
            self._connecting = True
            self._reactor.connectTCP(
                self._host,
                self._port,
                _LinkFactory(caller=self),
                timeout=_CONNECT_TIMEOUT_S,
            )

    def connected(self, link: _Link) -> None:
        """Send what has waited for the connection."""
        self._connecting = False
        self._link = link
        self._send_all(link)

    def _send_all(self, link: _Link) -> None:
        if any(request.body for request in link.waiting):
            return  # Sent behind the body that is still due.
        unsent, self._unsent = self._unsent, []
        data = b""
        for request in unsent:
            # The body of an earlier one would follow the next head.
            may_expect = request is unsent[-1]
            data += self._encode(request, may_expect=may_expect)
            link.waiting.append(request)
        link.transport.write(data)
        for request in unsent:
            if request.expects:
                self._clock.call_later(
                    _BODY_PAUSE_S, self._send_body, link, request
                )

    def _encode(self, request: KeptRequest, *, may_expect: bool) -> bytes:
        """Return a request in a form that is drawn."""
        rng = self._rng
        lines = b"\r\n" if rng.random() < 0.2 else b""
        lines += b"%b %b HTTP/1.1\r\n" % (request.method, request.target)
        for header in self._headers(request.id):
            lines += b"%b: %b\r\n" % header
        lines += rng.choice(_CONNECTION_HEADERS)
        if request.method != b"POST":
            return lines + b"\r\n"
        body = b"x"
        framing = b"Content-Length: 1\r\n"
        if rng.random() < 0.5:
            framing = b"Transfer-Encoding: chunked\r\n"
            body = b"1;a=b\r\nx\r\n0\r\nX-Late: 1\r\n\r\n"
        if may_expect and rng.random() < 0.5:
            request.expects = True
            request.body = body
            return lines + framing + _EXPECT + b"\r\n"
        return lines + framing + b"\r\n" + body

    def _send_body(self, link: _Link, request: KeptRequest) -> None:
        body, request.body = request.body, b""
        if body and link is self._link:
            link.transport.write(body)
            if self._unsent:
                self._send_all(link)

    def answered(self, link: _Link, response: _Response) -> None:
        """End the request that a response answers."""
        if not link.waiting:
            self.violations.append(f"{response.status} answers no request")
            return
        request = link.waiting[0]
        name = request.id.decode()
        if response.status < _FINAL_STATUS_MIN:
            asked = request.expects and response.status == _CONTINUE_STATUS
            if not asked:
                self.violations.append(f"{name} got {response.status}")
            request.expects = False
            self._send_body(link, request)
            return
        link.waiting.popleft()
        echoed = http1.find_header(response.headers, b"x-request-id")
        if echoed not in (None, request.id):
            self.violations.append(f"{name} got the answer to {echoed!r}")
        if response.status == 400:
            self.violations.append(f"{name} got 400 for a proper request")
        request.on_end(
            http1.HttpResponse(
                status=response.status,
                headers=response.headers,
                body=response.body,
            )
        )
        closes = http1.find_header(response.headers, b"connection") == b"close"
        if closes and link is self._link:
            self._link = None

    def lost(self, link: _Link | None) -> None:
        """End the requests whose connection was lost without an answer."""
        if link is self._link or link is None:
            self._link = None
            self._connecting = False
        ended = list(link.waiting) if link is not None else self._unsent
        if link is None:
            self._unsent = []
        for request in ended:
            request.on_end(None)
