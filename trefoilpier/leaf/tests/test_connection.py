"""One connection to a leaf, over Twisted's in-memory transport."""

from twisted.internet import testing

from trefoilpier.leaf import connection


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        self.no_delay = enabled


def _connect():
    closed = []
    made = connection.LeafConnection(
        host_header=b"127.0.0.1:1",
        now=lambda: 0.0,
        on_open=lambda opened: None,
        on_close=closed.append,
    )
    made.makeConnection(_Transport())
    return made, closed


def _response(body: bytes, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (
        headers,
        len(body),
        body,
    )


def test_connection_stays_open_after_an_answer():
    # The parser says "do not keep alive" once the body has ended, so the
    # question must be asked at the end of the headers.
    made, _ = _connect()
    answers = []
    made.send(b"GET", b"/v1/state", b"", answers.append)
    made.dataReceived(_response(b"{}"))
    assert answers == [b"{}"]
    assert made.ready
    made.send(b"GET", b"/v1/state", b"", answers.append)
    made.dataReceived(_response(b"[]"))
    assert answers == [b"{}", b"[]"]
    assert made.ready


def test_connection_closes_when_the_leaf_says_so():
    made, _ = _connect()
    answers = []
    made.send(b"GET", b"/v1/state", b"", answers.append)
    made.dataReceived(_response(b"{}", b"Connection: close\r\n"))
    assert answers == [b"{}"]
    assert not made.ready


def test_truncated_answer_is_lost():
    made, closed = _connect()
    answers = []
    made.send(b"GET", b"/v1/state", b"", answers.append)
    made.dataReceived(_response(b"{}")[:-1])
    made.connectionLost()
    assert answers == [None]
    assert closed == [made]


def test_answer_that_nothing_asked_for_closes_the_connection():
    made, _ = _connect()
    made.dataReceived(_response(b"{}"))
    assert not made.open
    assert made.transport.disconnecting


def test_malformed_answer_closes_the_connection():
    made, _ = _connect()
    answers = []
    made.send(b"GET", b"/v1/state", b"", answers.append)
    made.dataReceived(b"not http\r\n\r\n")
    assert made.transport.disconnecting
