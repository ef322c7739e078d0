"""Memory and loop time of a process that gets bytes without end.

Eight leaves, callers or peers send one element of the grammar for ever, in
large and in small pieces, while another caller sends plain requests.
"""

import base64
import json
import pathlib
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

from twisted.internet import protocol

from bench import figures
from trefoilpier import base, http1

_FLOODS = 8  # Connections that flood at the same time.
_RUN_S = 2.0
_TICK_S = 0.002
_PAUSE_S = 0.01  # Before a failed request is sent again.
_LARGE_PIECE_BYTES = 65_536
_SMALL_PIECE_BYTES = 7
# A quarter of a small VM.
_MEMORY_MAX_MB = 75.0
_HOLD_MAX_MS = 50.0
_OTHERS_P99_MAX_MS = 100.0
_BUFFERS_BYTES = 60 * 1024 * 1024
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
_LINE = b"x" * 1000
_FRAMED_PARTS = {
    "chunks of 1 byte": (b"", b"1\r\nx\r\n"),
    "chunks of 2 bytes": (b"", b"2\r\nxx\r\n"),
    "one chunk": (b"fffffff\r\n", _LINE),
    "digits of a chunk's size": (b"", b"0"),
    "one extension": (b"5;", _LINE),
    "extensions": (b"", b"1;" + 60 * _LINE + b"\r\nx\r\n"),
    "one trailer": (b"0\r\na: ", _LINE),
    "short trailers": (b"0\r\n", b"a:\r\n"),
}
_HEAD_PARTS = {
    "one header": (b"a: ", _LINE),
    "short headers": (b"", b"a:\r\n"),
    "headers": (b"", b"a: " + _LINE + b"\r\n"),
}
LEAF_PARTS = {
    "empty lines": (b"", b"\r\n"),
    "status line": (_OK[:-2], _LINE),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim headers": (b"", b"HTTP/1.1 103 E\r\na: b\r\n\r\n"),
    "body": (_OK + b"\r\n", _LINE),
    **{n: (_OK + start, part) for n, (start, part) in _HEAD_PARTS.items()},
    **{
        name: (_OK + _CHUNKED + start, part)
        for name, (start, part) in _FRAMED_PARTS.items()
    },
}
CALLER_PARTS = {
    "empty lines": (b"", b"\r\n"),
    "request line": (b"GET /", _LINE),
    "body": (_POST + b"Content-Length: 99999\r\n\r\n", _LINE),
    "requests, answers unread": (b"", b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"),
    **{n: (_POST + start, part) for n, (start, part) in _HEAD_PARTS.items()},
    **{
        name: (_POST + _CHUNKED + start, part)
        for name, (start, part) in _FRAMED_PARTS.items()
    },
}


def jobs() -> list[tuple]:
    """Return the experiments."""
    return [
        (_measure, sender, name, piece_bytes)
        for sender, parts in (("leaf", LEAF_PARTS), ("caller", CALLER_PARTS))
        for name in parts
        for piece_bytes in (_LARGE_PIECE_BYTES, _SMALL_PIECE_BYTES)
    ]


class _Handler(http1.RequestHandler):
    """Answers each request at once."""

    def handle(self, exchange: http1.Exchange) -> None:
        exchange.respond(http1.HttpResponse(status=200, body=b"x" * 1000))

    def rejected(self, status: int, reason: str) -> None:
        pass


class _Events(http1.ConnectionEvents):
    """Sends the request of each new connection, and connects again."""

    def __init__(self, *, reactor: Any, clock: base.Clock, port: int) -> None:
        self._reactor = reactor
        self._clock = clock
        self._port = port
        self._buffers = http1.BufferBudget(limit_bytes=_BUFFERS_BYTES)

    def connect(self) -> None:
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: http1.ClientConnection(
            clock=self._clock, events=self, buffers=self._buffers
        )
        self._reactor.connectTCP("127.0.0.1", self._port, factory)

    def opened(self, connection: http1.ClientConnection) -> None:
        connection.send(
            b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            method=b"GET",
            request_id=b"",
            on_complete=lambda outcome: None,
        )

    def freed(self, connection: http1.ClientConnection) -> None:
        connection.abort()

    def closed(self, connection: http1.ClientConnection) -> None:
        self._clock.call_later(_PAUSE_S, self.connect)


class _Watch:
    """Measures memory, loop time and the answers to a plain caller."""

    def __init__(
        self, *, reactor: Any, clock: base.Clock, client: http1.HttpClient
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._start_mb = self._memory_mb()
        self._last_tick = time.monotonic()
        self.memory_mb = 0.0
        self.hold_ms = 0.0
        self.waits_ms: list[float] = []

    def start(self) -> None:
        self._tick()
        self._send()

    @staticmethod
    def _memory_mb() -> float:
        pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 1e6

    def _tick(self) -> None:
        now = time.monotonic()
        late_ms = 1000 * (now - self._last_tick - _TICK_S)
        self.hold_ms = max(self.hold_ms, late_ms)
        grown_mb = self._memory_mb() - self._start_mb
        self.memory_mb = max(self.memory_mb, grown_mb)
        self._last_tick = time.monotonic()
        self._reactor.callLater(_TICK_S, self._tick)

    def _send(self) -> None:
        sent_at = time.monotonic()

        def answered(outcome: object) -> None:
            assert isinstance(outcome, http1.ResponseReceived)
            self.waits_ms.append(1000 * (time.monotonic() - sent_at))
            self._reactor.callLater(_TICK_S, self._send)

        self._client.send_request(
            b"GET", b"/plain", timeout_s=_RUN_S
        ).addCallback(answered)

    def percentile(self, share: float) -> float:
        """Return a percentile of the plain caller's waits; 0 without any."""
        waits = sorted(self.waits_ms) or [1000 * _RUN_S]
        return waits[min(len(waits) - 1, int(share * len(waits)))]


def _measure(
    sender: str, name: str, piece_bytes: int
) -> Iterator[figures.Figure]:
    # The reactor of the worker process.
    from twisted.internet import reactor  # noqa: PLC0415

    clock = base.ReactorClock(reactor=reactor)
    server = http1.ServerFactory(
        clock=clock, handler=_Handler(), limits=http1.CallerLimits()
    )
    port = reactor.listenTCP(0, server, interface="127.0.0.1").getHost().port
    parts = LEAF_PARTS if sender == "leaf" else CALLER_PARTS
    start, part = parts[name]
    flooder = subprocess.Popen(
        [sys.executable, "-m", "bench.flooder"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert flooder.stdin is not None and flooder.stdout is not None
    spec = {
        "port": port if sender == "caller" else 0,
        "connections": _FLOODS,
        "piece_bytes": piece_bytes,
        "start": base64.b64encode(start).decode(),
        "part": base64.b64encode(part).decode(),
    }
    flooder.stdin.write(json.dumps(spec).encode() + b"\n")
    flooder.stdin.flush()
    if sender == "leaf":
        flood_port = int(flooder.stdout.readline())
        events = _Events(reactor=reactor, clock=clock, port=flood_port)
        for _ in range(_FLOODS):
            events.connect()
    client = http1.HttpClient(
        reactor=reactor, clock=clock, host="127.0.0.1", port=port
    )
    watch = _Watch(reactor=reactor, clock=clock, client=client)
    watch.start()
    reactor.callLater(_RUN_S, reactor.crash)
    reactor.run(installSignalHandlers=False)
    flooder.kill()
    flooder.wait()
    size = "small" if piece_bytes == _SMALL_PIECE_BYTES else "large"
    title = f"endless {sender} {name}, {size} pieces"
    for quantity, value, unit, bound in (
        ("memory", watch.memory_mb, "MB", _MEMORY_MAX_MB),
        ("loop held", watch.hold_ms, "ms", _HOLD_MAX_MS),
        ("others p99", watch.percentile(0.99), "ms", _OTHERS_P99_MAX_MS),
    ):
        yield figures.Figure(
            name=f"{title}/{quantity}",
            value=value,
            unit=unit,
            upper_bound=bound,
            kind="process",
        )
