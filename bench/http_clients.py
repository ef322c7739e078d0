"""Processor time of a leaf call with three HTTP clients.

Each client keeps 30 calls in flight over 30 connections to a small server in
another process. Only the client process is measured.
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

_CONCURRENCY = 30
_CALLS = 6000
_BATCH_SIZE = 8
_CALL_HEAD = codec.encode_body_prefix(
    service="search",
    epoch=1,
    version=1,
    repeatable=True,
    key="",
    query=b'{"text":"silk"}',
)


def _encode_body(count: int) -> bytes:
    return codec.encode_call(_CALL_HEAD, f"c{count}", 0, 1000)


class _CallCounter:
    """Counter of calls that reports when the last one has ended."""

    def __init__(self, *, on_end: Callable[[], None]) -> None:
        self._on_end = on_end
        self.sent = 0
        self.done = 0

    def next_body(self) -> bytes | None:
        """Return the body of the next call, or None after the last."""
        if self.sent >= _CALLS:
            return None
        self.sent += 1
        return _encode_body(self.sent)

    def on_reply(self, data: bytes) -> None:
        """Decode and count one reply."""
        codec.decode_reply(data)
        self._count()

    def on_reply_row(self, row: dict) -> None:
        """Decode and count one reply of a batch."""
        leaf.CallStatus(row["status"])
        self._count()

    def _count(self) -> None:
        self.done += 1
        if self.done == _CALLS:
            self._on_end()


class _H11Protocol(protocol.Protocol):
    """One connection that uses the h11 parser."""

    def __init__(self, *, counter: _CallCounter) -> None:
        self._counter = counter
        self._parser = h11.Connection(our_role=h11.CLIENT)
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
            self._parser.send(request)
            + self._parser.send(h11.Data(data=body))
            + self._parser.send(h11.EndOfMessage())
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.receive_data(data)
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.Data):
                self._data.append(bytes(event.data))
            if isinstance(event, h11.EndOfMessage):
                self._parser.start_next_cycle()
                reply_body, self._data = b"".join(self._data), []
                self._counter.on_reply(reply_body)
                self._send()
                return


def _start_h11(reactor: Any, port: int, counter: _CallCounter) -> None:
    for _ in range(_CONCURRENCY):
        endpoint = endpoints.TCP4ClientEndpoint(reactor, rig.HOST, port)
        factory = protocol.Factory.forProtocol(_H11Protocol)
        factory.protocol = lambda: _H11Protocol(counter=counter)
        endpoint.connect(factory)


def _open_connections(
    reactor: Any,
    port: int,
    on_open: Callable[[connection.LeafConnection], None],
) -> None:
    """Open the connections of a client that uses httptools."""
    for _ in range(_CONCURRENCY):
        factory = protocol.Factory()
        factory.protocol = lambda: connection.LeafConnection(
            host_header=b"leaf",
            now=time.monotonic,
            on_open=on_open,
            on_close=lambda closed: None,
        )
        endpoint = endpoints.TCP4ClientEndpoint(reactor, rig.HOST, port)
        endpoint.connect(factory)


def _start_httptools(reactor: Any, port: int, counter: _CallCounter) -> None:
    def send(leaf_connection: connection.LeafConnection) -> None:
        body = counter.next_body()
        if body is not None:
            leaf_connection.send(
                b"POST",
                b"/v1/call",
                body,
                lambda data: on_reply_body(leaf_connection, data),
            )

    def on_reply_body(
        leaf_connection: connection.LeafConnection, data: Any
    ) -> None:
        counter.on_reply(data)
        send(leaf_connection)

    _open_connections(reactor, port, send)


def _start_batched(reactor: Any, port: int, counter: _CallCounter) -> None:
    """Start the client that sends eight calls in each request."""

    def send(leaf_connection: connection.LeafConnection) -> None:
        bodies = [counter.next_body() for _ in range(_BATCH_SIZE)]
        calls = [body for body in bodies if body is not None]
        if not calls:
            return
        leaf_connection.send(
            b"POST",
            b"/v1/calls",
            b"[%b]" % b",".join(calls),
            lambda data: on_reply_body(leaf_connection, data),
        )

    def on_reply_body(
        leaf_connection: connection.LeafConnection, data: Any
    ) -> None:
        for row in orjson.loads(data):
            counter.on_reply_row(row)
        send(leaf_connection)

    _open_connections(reactor, port, send)


def _start_agent(reactor: Any, port: int, counter: _CallCounter) -> None:
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = _CONCURRENCY
    agent = client.Agent(reactor, pool=pool)
    url = f"http://{rig.HOST}:{port}/v1/call".encode()
    headers = http_headers.Headers({"Content-Type": ["application/json"]})

    def send() -> None:
        body = counter.next_body()
        if body is None:
            return
        producer = client.FileBodyProducer(_BodyFile(body=body))
        reply = agent.request(b"POST", url, headers, producer)
        reply.addCallback(client.readBody)
        reply.addCallback(on_reply_body)

    def on_reply_body(data: bytes) -> None:
        counter.on_reply(data)
        send()

    for _ in range(_CONCURRENCY):
        send()


class _BodyFile:
    """Minimal file object for a body producer."""

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self._position = 0

    def seek(self, offset: int, whence: int = 0) -> None:
        self._position = offset if whence == 0 else len(self._body)

    def tell(self) -> int:
        return self._position

    def read(self, size: int) -> bytes:
        part = self._body[self._position : self._position + size]
        self._position += len(part)
        return part

    def close(self) -> None:
        self._position = len(self._body)


_START_BY_NAME = {
    "twisted Agent": _start_agent,
    "h11": _start_h11,
    "httptools": _start_httptools,
    "httptools, 8 calls a request": _start_batched,
}


def _measure(name: str, port: int) -> None:
    """Measure one client in this process and print its figure."""

    def main(reactor: Any) -> Any:
        from twisted.internet import defer

        finished: defer.Deferred = defer.Deferred()
        counter = _CallCounter(on_end=lambda: finished.callback(None))
        cpu_before = time.process_time()
        _START_BY_NAME[name](reactor, port, counter)

        def report(_: Any) -> None:
            cpu_used = time.process_time() - cpu_before
            print(orjson.dumps(cpu_used / _CALLS * 1e6).decode(), flush=True)

        return finished.addCallback(report)

    task.react(main)


def run() -> Iterator[figures.Figure]:
    """Measure each client in a separate process."""
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
            lambda: (
                rig.send_request(control, "GET", "/v1/leaves").status == 200
            ),
            20,
            "leaf",
        )
        for name in _START_BY_NAME:
            completed = subprocess.run(
                [sys.executable, "-m", "bench.http_clients", name, str(port)],
                cwd=rig.ROOT,
                capture_output=True,
                text=True,
                timeout=120,
                check=True,
            )
            yield figures.Figure(
                name=f"http client {name}/processor a leaf call",
                value=float(completed.stdout),
                unit="us",
                kind="process",
            )
    finally:
        server.terminate()
        server.wait()


def jobs() -> list[tuple]:
    """Return the experiments that measure processes."""
    return [(run,)]


if __name__ == "__main__":
    _measure(sys.argv[1], int(sys.argv[2]))
