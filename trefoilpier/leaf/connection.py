"""One HTTP/1.1 connection to a leaf, one request at a time."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet import protocol

_BODY_BYTES_MAX = 4_000_000
_STATUS_OK = 200


class LeafConnection(protocol.Protocol):
    """Sends one request and waits for its whole answer.

    Attributes:
        ready: Whether the connection is open and has no request out.
        idle_since: Monotonic instant of the last answer.
        proven: Whether an answer has come over it.
    """

    def __init__(
        self,
        *,
        host_header: bytes,
        now: Callable[[], float],
        on_open: Callable[["LeafConnection"], None],
        on_close: Callable[["LeafConnection"], None],
    ) -> None:
        self._host_header = host_header
        self._now = now
        self._on_open = on_open
        self._on_close = on_close
        self._parser: Any = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._complete = False
        self._keep_alive = True
        self._on_answer: Callable[[bytes | None], None] | None = None
        self.open = False
        self.idle_since = 0.0
        self.proven = False

    @property
    def ready(self) -> bool:
        """Whether a request can be sent now."""
        return self.open and self._on_answer is None

    def connectionMade(self) -> None:  # noqa: N802
        """Reports the open connection to the pool."""
        self.transport.setTcpNoDelay(True)
        self._parser = httptools.HttpResponseParser(self)
        self.open = True
        self.idle_since = self._now()
        self._on_open(self)

    def send(
        self,
        method: bytes,
        path: bytes,
        body: bytes,
        on_answer: Callable[[bytes | None], None],
    ) -> None:
        """Sends a request; ``on_answer`` gets the body, or None if lost."""
        self._on_answer = on_answer
        self.transport.write(
            b"%b %b HTTP/1.1\r\nHost: %b\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (method, path, self._host_header, len(body), body)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feeds the parser; anything malformed closes the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
            return
        if self._complete:
            # Handed over outside the parser, which swallows exceptions.
            self._complete = False
            self._hand_over()

    def on_headers_complete(self) -> None:
        """Notes whether the connection stays open.

        The parser knows it only here; after the body it says no.
        """
        self._keep_alive = self._parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body, within its bound."""
        self._body_bytes += len(part)
        if self._body_bytes > _BODY_BYTES_MAX:
            raise ValueError("leaf answer too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Notes that an answer is whole."""
        self._complete = True

    def _hand_over(self) -> None:
        """Gives the whole body to whoever waits and becomes ready."""
        body = b"".join(self._body)
        self._body = []
        self._body_bytes = 0
        self.idle_since = self._now()
        answered, self._on_answer = self._on_answer, None
        if answered is None or self._parser.get_status_code() != _STATUS_OK:
            # An answer that nothing asked for: the two ends are out of step.
            self.abort()
            if answered is not None:
                answered(None)
            return
        self.proven = True
        if not self._keep_alive:
            self.open = False
            self.transport.loseConnection()
        answered(body)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Reports the loss to whoever waits and to the pool."""
        self.open = False
        answered, self._on_answer = self._on_answer, None
        if answered is not None:
            answered(None)
        self._on_close(self)

    def abort(self) -> None:
        """Closes at once; a waiting request ends as lost."""
        self.open = False
        self.transport.abortConnection()
