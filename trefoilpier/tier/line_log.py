"""Events as JSON lines on standard output, bounded and never blocking."""

import errno
import os
from collections import deque
from typing import Any

import orjson

from trefoilpier import base

_QUEUED_LINES_MAX = (
    4000  # About one second of lines at the highest load of a VM.
)
_FLUSH_DELAY_S = 0.05  # Lines of one loop turn or more go out in one write.
_WRITE_BYTES_MAX = 60_000  # Below the usual capacity of a pipe.


class LineLog(base.EventLog):
    """Queues lines and writes them when standard output takes them.

    Lines beyond the queue's size are dropped and counted; the count is in the
    next line that is written.

    Attributes:
        dropped: Lines dropped so far.
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
        """Queues one line."""
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
        """Writes as much as standard output takes now."""
        self._flush_scheduled = False
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError as failed:
                if failed.errno == errno.EAGAIN:
                    self._flush_scheduled = True
                    self._clock.call_later(_FLUSH_DELAY_S, self.flush)
                    return
                # Nobody reads; there is no other place to say so.
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
