"""Non-blocking log of events as JSON lines, with a bounded queue."""

import errno
import os
from collections import deque
from typing import Any

import orjson

from trefoilpier import base

# About 1 s of lines at the highest load of a VM.
_QUEUED_LINES_MAX = 4000
_FLUSH_DELAY_S = 0.05  # Batches lines into one write.
_WRITE_BYTES_MAX = 60_000  # Below the default capacity of a pipe.


class LineLog(base.EventLog):
    """Queue of log lines that are written without blocking.

    Lines that do not fit into the queue are dropped and counted. The next block
    that is written starts with the total count.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_dropped_reported",
        "_lines",
        "_flush_scheduled",
        "_unwritten",
        "dropped",
    )

    def __init__(self, *, clock: base.Clock, descriptor: int) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._flush_scheduled = False
        self.dropped = 0
        self._dropped_reported = 0
        os.set_blocking(descriptor, False)

    def emit(self, event: base.Event, **fields: Any) -> None:
        """Queue one line, or drop it if the queue is full."""
        if len(self._lines) >= _QUEUED_LINES_MAX:
            self.dropped += 1
            return
        row = {
            "at": round(self._clock.monotonic(), 4),
            "event": event.number,
            "name": event.title,
        }
        row.update(fields)
        self._lines.append(orjson.dumps(row, default=str) + b"\n")
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.call_later(_FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._flush_scheduled = False
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError as error:
                if error.errno == errno.EAGAIN:
                    self._flush_scheduled = True
                    self._clock.call_later(_FLUSH_DELAY_S, self.flush)
                    return
                # The output is closed; the error cannot be reported elsewhere.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_block(self) -> bytes:
        block = []
        size = 0
        if self.dropped > self._dropped_reported:
            event = base.Event.LINES_DROPPED
            row = {"event": event.number, "dropped": self.dropped}
            self._dropped_reported = self.dropped
            block.append(orjson.dumps(row) + b"\n")
        while self._lines and size < _WRITE_BYTES_MAX:
            line = self._lines.popleft()
            size += len(line)
            block.append(line)
        return b"".join(block)
