"""Tests of leaf connections over Twisted's in-memory transport."""

from twisted.internet import testing

from trefoilpier.leaf import connection


class _Transport(testing.StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        self.no_delay = enabled


def _open_connection():
    closed = []
    leaf_connection = connection.LeafConnection(
        host_header=b"127.0.0.1:1",
        now=lambda: 0.0,
        on_open=lambda opened: None,
        on_close=closed.append,
    )
    leaf_connection.makeConnection(_Transport())
    return leaf_connection, closed


def _response(body: bytes, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (
        headers,
        len(body),
        body,
    )


def test_connection_stays_open_after_response():
    # After the end of the body, the parser always reports that the connection
    # cannot be kept alive, so it must be asked at the end of the headers.
    leaf_connection, _ = _open_connection()
    responses = []
    leaf_connection.send(b"GET", b"/v1/state", b"", responses.append)
    leaf_connection.dataReceived(_response(b"{}"))
    assert responses == [b"{}"]
    assert leaf_connection.ready
    leaf_connection.send(b"GET", b"/v1/state", b"", responses.append)
    leaf_connection.dataReceived(_response(b"[]"))
    assert responses == [b"{}", b"[]"]
    assert leaf_connection.ready


def test_connection_close_header_closes_connection():
    leaf_connection, _ = _open_connection()
    responses = []
    leaf_connection.send(b"GET", b"/v1/state", b"", responses.append)
    leaf_connection.dataReceived(_response(b"{}", b"Connection: close\r\n"))
    assert responses == [b"{}"]
    assert not leaf_connection.ready


def test_truncated_response_is_lost():
    leaf_connection, closed = _open_connection()
    responses = []
    leaf_connection.send(b"GET", b"/v1/state", b"", responses.append)
    leaf_connection.dataReceived(_response(b"{}")[:-1])
    leaf_connection.connectionLost()
    assert responses == [None]
    assert closed == [leaf_connection]


def test_unsolicited_response_closes_connection():
    leaf_connection, _ = _open_connection()
    leaf_connection.dataReceived(_response(b"{}"))
    assert not leaf_connection.open
    assert leaf_connection.transport.disconnecting


def test_malformed_response_closes_connection():
    leaf_connection, _ = _open_connection()
    responses = []
    leaf_connection.send(b"GET", b"/v1/state", b"", responses.append)
    leaf_connection.dataReceived(b"not http\r\n\r\n")
    assert leaf_connection.transport.disconnecting
