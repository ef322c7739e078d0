"""Processor time of a leaf call with three HTTP clients.

Each client keeps 30 calls out over as many connections to a small server in
another process; only this process is measured.
"""

import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import h11
import orjson
from twisted.internet import endpoints, protocol, task
from twisted.web import client, http_headers

from bench import figures
from standins import rig
from trefoilpier import leaf
from trefoilpier.leaf import codec, connection

_AT_A_TIME = 30
_CALLS = 6000
_TOGETHER = 8
_HEAD = codec.encode_head(
    service="search",
    epoch=1,
    version=1,
    repeatable=True,
    key="",
    query=b'{"text":"silk"}',
)


def _body(count: int) -> bytes:
    return codec.encode_call(_HEAD, f"c{count}", 0, 1000)


class _Counter:
    """Counts calls and ends the reactor's run after the last."""

    def __init__(self, *, on_end: Callable[[], None]) -> None:
        self._on_end = on_end
        self.sent = 0
        self.done = 0

    def next_body(self) -> bytes | None:
        """Returns the body of one more call, or None at the end."""
        if self.sent >= _CALLS:
            return None
        self.sent += 1
        return _body(self.sent)

    def answered(self, data: bytes) -> None:
        """Takes in one answer."""
        codec.decode_reply(data)
        self._count()

    def answered_row(self, row: dict) -> None:
        """Takes in one answer of several that came together."""
        leaf.CallStatus(row["status"])
        self._count()

    def _count(self) -> None:
        self.done += 1
        if self.done == _CALLS:
            self._on_end()


class _H11Protocol(protocol.Protocol):
    """One connection that parses by h11."""

    def __init__(self, *, counter: _Counter) -> None:
        self._counter = counter
        self._machine = h11.Connection(our_role=h11.CLIENT)
        self._data: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self._send()

    def _send(self) -> None:
        body = self._counter.next_body()
        if body is None:
            return
        request = h11.Request(
            method="POST",
            target="/v1/call",
            headers=[
                ("Host", "leaf"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        self.transport.write(
            self._machine.send(request)
            + self._machine.send(h11.Data(data=body))
            + self._machine.send(h11.EndOfMessage())
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._machine.receive_data(data)
        while True:
            event = self._machine.next_event()
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.Data):
                self._data.append(bytes(event.data))
            if isinstance(event, h11.EndOfMessage):
                self._machine.start_next_cycle()
                whole, self._data = b"".join(self._data), []
                self._counter.answered(whole)
                self._send()
                return


def _start_h11(reactor: Any, port: int, counter: _Counter) -> None:
    for _ in range(_AT_A_TIME):
        endpoint = endpoints.TCP4ClientEndpoint(reactor, rig.HOST, port)
        factory = protocol.Factory.forProtocol(_H11Protocol)
        factory.protocol = lambda: _H11Protocol(counter=counter)
        endpoint.connect(factory)


def _open_connections(
    reactor: Any,
    port: int,
    on_open: Callable[[connection.LeafConnection], None],
) -> None:
    """Opens the connections of a client that parses by httptools."""
    for _ in range(_AT_A_TIME):
        factory = protocol.Factory()
        factory.protocol = lambda: connection.LeafConnection(
            host_header=b"leaf",
            now=time.monotonic,
            on_open=on_open,
            on_close=lambda closed: None,
        )
        endpoint = endpoints.TCP4ClientEndpoint(reactor, rig.HOST, port)
        endpoint.connect(factory)


def _start_httptools(reactor: Any, port: int, counter: _Counter) -> None:
    def send(opened: connection.LeafConnection) -> None:
        body = counter.next_body()
        if body is not None:
            opened.send(
                b"POST", b"/v1/call", body, lambda data: answered(opened, data)
            )

    def answered(opened: connection.LeafConnection, data: Any) -> None:
        counter.answered(data)
        send(opened)

    _open_connections(reactor, port, send)


def _start_together(reactor: Any, port: int, counter: _Counter) -> None:
    """Carries eight calls in each request."""

    def send(opened: connection.LeafConnection) -> None:
        bodies = [counter.next_body() for _ in range(_TOGETHER)]
        rows = [body for body in bodies if body is not None]
        if not rows:
            return
        opened.send(
            b"POST",
            b"/v1/calls",
            b"[%b]" % b",".join(rows),
            lambda data: answered(opened, data),
        )

    def answered(opened: connection.LeafConnection, data: Any) -> None:
        for row in orjson.loads(data):
            counter.answered_row(row)
        send(opened)

    _open_connections(reactor, port, send)


def _start_agent(reactor: Any, port: int, counter: _Counter) -> None:
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = _AT_A_TIME
    agent = client.Agent(reactor, pool=pool)
    url = f"http://{rig.HOST}:{port}/v1/call".encode()
    headers = http_headers.Headers({"Content-Type": ["application/json"]})

    def send() -> None:
        body = counter.next_body()
        if body is None:
            return
        producer = client.FileBodyProducer(_Reader(body=body))
        asking = agent.request(b"POST", url, headers, producer)
        asking.addCallback(client.readBody)
        asking.addCallback(answered)

    def answered(data: bytes) -> None:
        counter.answered(data)
        send()

    for _ in range(_AT_A_TIME):
        send()


class _Reader:
    """The part of a file that a body producer reads."""

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self._at = 0

    def seek(self, offset: int, whence: int = 0) -> None:
        self._at = offset if whence == 0 else len(self._body)

    def tell(self) -> int:
        return self._at

    def read(self, size: int) -> bytes:
        part = self._body[self._at : self._at + size]
        self._at += len(part)
        return part

    def close(self) -> None:
        self._at = len(self._body)


_START_BY_NAME = {
    "twisted Agent": _start_agent,
    "h11": _start_h11,
    "httptools": _start_httptools,
    "httptools, 8 calls a request": _start_together,
}


def _measure(name: str, port: int) -> None:
    """Runs one client in this process and prints its figure."""

    def main(reactor: Any) -> Any:
        from twisted.internet import defer

        ended: defer.Deferred = defer.Deferred()
        counter = _Counter(on_end=lambda: ended.callback(None))
        began = time.process_time()
        _START_BY_NAME[name](reactor, port, counter)

        def report(_: Any) -> None:
            spent = time.process_time() - began
            print(orjson.dumps(spent / _CALLS * 1e6).decode(), flush=True)

        return ended.addCallback(report)

    task.react(main)


def run() -> Iterator[figures.Figure]:
    """Measures each client in a process of its own."""
    port, control = rig.free_ports(2)
    server = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "standins.leaf",
            f"--control={control}",
            f"--leaf=one:{port}:0",
            "--slots=64",
            "--queue=512",
            "--connections=64",
            "--median-ms=0.2",
        ],
        cwd=rig.ROOT,
    )
    try:
        rig.wait_until(
            lambda: rig.ask(control, "GET", "/v1/leaves").status == 200,
            20,
            "leaf",
        )
        for name in _START_BY_NAME:
            done = subprocess.run(
                [sys.executable, "-m", "bench.http_clients", name, str(port)],
                cwd=rig.ROOT,
                capture_output=True,
                text=True,
                timeout=120,
                check=True,
            )
            yield figures.Figure(
                name=f"http client {name}/processor a leaf call",
                value=float(done.stdout),
                unit="us",
                kind="process",
            )
    finally:
        server.terminate()
        server.wait()


def jobs() -> list[tuple]:
    """Returns the experiments that measure processes."""
    return [(run,)]


if __name__ == "__main__":
    _measure(sys.argv[1], int(sys.argv[2]))
