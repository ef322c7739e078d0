"""Sender of bytes without end: ``python -m bench.flooder``.

It reads one JSON object from standard input, prints the port that it listens
on, if it does, and sends over each connection until that is closed. A closed
connection that it opened itself is opened again.
"""

import base64
import contextlib
import json
import socket
import sys
import threading
import time

_RETRY_PAUSE_S = 0.01


def _flood(connection: socket.socket, spec: dict) -> None:
    """Send the start and then the part for ever."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    start = base64.b64decode(spec["start"])
    part = base64.b64decode(spec["part"])
    piece_bytes = spec["piece_bytes"]
    part *= max(1, piece_bytes // len(part))
    with contextlib.suppress(OSError):
        connection.sendall(start)
        while True:
            if piece_bytes >= len(part):
                connection.sendall(part)
                continue
            for begin in range(0, len(part), piece_bytes):
                connection.sendall(part[begin : begin + piece_bytes])
    connection.close()


def _answer(connection: socket.socket, spec: dict) -> None:
    with contextlib.suppress(OSError):
        connection.recv(65536)
        _flood(connection, spec)


def _call(spec: dict) -> None:
    while True:
        with contextlib.suppress(OSError):
            connection = socket.create_connection(("127.0.0.1", spec["port"]))
            _flood(connection, spec)
        time.sleep(_RETRY_PAUSE_S)


def main() -> None:
    """Flood until the process is ended."""
    spec = json.loads(sys.stdin.readline())
    if spec["port"]:
        for _ in range(spec["connections"]):
            threading.Thread(target=_call, args=(spec,), daemon=True).start()
        threading.Event().wait()
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=_answer, args=(connection, spec), daemon=True
        ).start()


if __name__ == "__main__":
    main()
