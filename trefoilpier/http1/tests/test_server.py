"""Tests of the HTTP server with malformed, slow and hostile input."""

import re
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import memory_net
from trefoilpier import base, http1

ADDRESS = ("10.0.0.1", 80)


class RecordingHandler(http1.RequestHandler):
    def __init__(self, respond=True):
        self.requests = []
        self.exchanges = []
        self.rejections = []
        self.disconnect_count = 0
        self.respond = respond

    def handle(self, exchange):
        self.requests.append(exchange.request)
        self.exchanges.append(exchange)
        exchange.on_disconnect = self._record_disconnect
        if self.respond:
            exchange.respond(http1.HttpResponse(status=200, body=b"ok"))

    def _record_disconnect(self):
        self.disconnect_count += 1

    def rejected(self, status, reason):
        self.rejections.append((status, reason))


class RawClient:
    """Client protocol that records what the server writes."""

    def __init__(self):
        self.received = b""
        self.closed = False

    def connectionMade(self):  # noqa: N802
        pass

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason):  # noqa: N802
        self.closed = True

    def buildProtocol(self, addr):  # noqa: N802
        return self

    def statuses(self):
        found = re.findall(rb"HTTP/1\.1 (\d{3}) ", self.received)
        return [int(status) for status in found]


class ServerHarness:
    def __init__(self, respond=True, **limits):
        self.clock = base.VirtualClock()
        self.net = memory_net.MemoryReactor(clock=self.clock)
        self.handler = RecordingHandler(respond)
        self.server = http1.ServerFactory(
            clock=self.clock,
            handler=self.handler,
            limits=http1.CallerLimits(**limits),
        )
        self.server.startFactory()
        self.net.listen(*ADDRESS, self.server)

    def connect(self):
        client = RawClient()
        self.net.connectTCP(*ADDRESS, client)
        self.clock.advance(0.01)
        return client

    def send(self, client, data, seconds=0.05):
        client.transport.write(data)
        self.clock.advance(seconds)


GET_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def test_pipelined_requests_are_served_in_order():
    harness = ServerHarness()
    client = harness.connect()
    harness.send(client, GET_REQUEST + GET_REQUEST.replace(b"/a", b"/b"))
    assert [request.target for request in harness.handler.requests] == [
        b"/a",
        b"/b",
    ]
    assert client.statuses() == [200, 200]
    assert not client.closed


def test_chunked_body_is_decoded():
    harness = ServerHarness()
    client = harness.connect()
    harness.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    )
    assert harness.handler.requests[0].body == b"abcde"


def test_trailers_of_a_chunked_request_are_passed_on():
    # Guards against headers that were not there when the request was checked.
    harness = ServerHarness()
    client = harness.connect()
    harness.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\nHost: other\r\nX-Late: 1\r\n\r\n",
    )
    (request,) = harness.handler.requests
    assert request.body == b"abc"
    assert [name for name, _ in request.headers] == [
        b"host",
        b"transfer-encoding",
    ]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET /a HTTP/3.0\r\nHost: a\r\n\r\n", 400),
        (b"GET http://x/a HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
        (b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n", 413),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 600, 431),
        (b"GET /" + b"y" * 600 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
    ],
)
def test_invalid_request_is_rejected_before_handler(data, status):
    harness = ServerHarness(header_bytes=500, body_bytes=100)
    client = harness.connect()
    harness.send(client, data)
    assert client.statuses() == [status]
    assert client.closed
    assert harness.handler.requests == []


def test_chunked_body_over_limit_is_rejected():
    harness = ServerHarness(body_bytes=100)
    client = harness.connect()
    harness.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"80\r\n" + b"x" * 128 + b"\r\n",
    )
    assert client.statuses() == [413]
    assert harness.handler.requests == []


def test_pause_before_the_body_counts_from_the_first_byte():
    # Guards against a 408 for a caller who took some time for the headers and
    # some for the body, each below the limit.
    harness = ServerHarness(header_timeout_s=2.0)
    client = harness.connect()
    harness.send(client, b"POST /a HTTP/1.1\r\nHost: h\r\n", 1.5)
    harness.send(client, b"Content-Length: 5\r\n\r\n", 1.5)
    harness.send(client, b"abcde", 0.1)
    assert len(harness.handler.requests) == 1
    assert 408 not in client.statuses()


@pytest.mark.parametrize(
    "start",
    [
        b"GET /a HT",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na",
    ],
)
def test_slow_request_gets_408(start):
    harness = ServerHarness(header_timeout_s=2.0)
    client = harness.connect()
    harness.send(client, start, 3.0)
    assert client.statuses() == [408]
    assert harness.handler.requests == []


def test_idle_connection_closes_at_idle_timeout():
    harness = ServerHarness(idle_timeout_s=10.0)
    client = harness.connect()
    harness.send(client, GET_REQUEST, 9.0)
    assert not client.closed
    harness.clock.advance(2.0)
    assert client.closed


def test_shorter_idle_timeout_does_not_apply_to_already_idle_connection():
    harness = ServerHarness(idle_timeout_s=10.0)
    client = harness.connect()
    harness.send(client, GET_REQUEST, 1.0)
    harness.server.limits = http1.CallerLimits(idle_timeout_s=2.0)
    harness.clock.advance(7.0)
    assert not client.closed
    harness.clock.advance(4.0)
    assert client.closed


def test_caller_disconnect_is_reported():
    harness = ServerHarness(respond=False)
    client = harness.connect()
    harness.send(client, GET_REQUEST)
    client.transport.abortConnection()
    harness.clock.advance(0.05)
    assert harness.handler.disconnect_count == 1


def test_response_closes_connection_during_shutdown():
    harness = ServerHarness()
    client = harness.connect()
    harness.server.closing = True
    harness.send(client, GET_REQUEST)
    assert b"connection: close" in client.received
    assert client.closed


def test_new_connection_stays_open_while_idle_ones_are_closed():
    # Guards against the close of a connection whose first request is on its
    # way to a VM that stops.
    harness = ServerHarness()
    kept_open = harness.connect()
    harness.clock.advance(1.0)
    new = harness.connect()
    harness.clock.advance(0.1)
    harness.server.close_idle(0.3)
    harness.clock.advance(0.1)
    assert kept_open.closed
    assert not new.closed
    harness.send(new, GET_REQUEST)
    assert new.statuses() == [200]


UPGRADE_HEADERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
)
UPGRADING_REQUESTS = [
    b"GET /a HTTP/1.1\r\nHost: h\r\n%b\r\n",
    b"HEAD /a HTTP/1.1\r\nHost: h\r\n%b\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\n%bContent-Length: 3\r\n\r\nabc",
    b"POST /a HTTP/1.1\r\nHost: h\r\n%bTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\nT: v\r\n\r\n",
]


@pytest.mark.parametrize("request_text", UPGRADING_REQUESTS)
@pytest.mark.parametrize("piece_bytes", [1, 7, 1000])
def test_request_to_upgrade_gets_one_answer(request_text, piece_bytes):
    # Guards against a second answer, 400, behind that to a request with an
    # Upgrade header, which the next request on the connection gets.
    harness = ServerHarness()
    client = harness.connect()
    data = request_text % UPGRADE_HEADERS
    for start in range(0, len(data), piece_bytes):
        harness.send(client, data[start : start + piece_bytes], 0.01)
    assert client.statuses() == [200]
    assert not client.closed
    harness.send(client, GET_REQUEST.replace(b"/a", b"/b"))
    assert client.statuses() == [200, 200]
    assert [each.target for each in harness.handler.requests] == [b"/a", b"/b"]


@pytest.mark.parametrize("request_text", UPGRADING_REQUESTS)
def test_requests_behind_one_to_upgrade_are_served(request_text):
    # Guards against the loss of what follows such a request in one read.
    harness = ServerHarness()
    client = harness.connect()
    data = request_text % UPGRADE_HEADERS
    harness.send(client, data * 3 + GET_REQUEST)
    assert client.statuses() == [200] * 4
    assert not client.closed


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: %d\r\n\r\n%b",
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("piece_bytes", [1, 1000])
def test_body_of_a_request_to_upgrade_holds_no_request(framing, piece_bytes):
    # Guards against the parser's end of such a request behind its head, so
    # that its body would be read as a request that nobody sent.
    harness = ServerHarness()
    client = harness.connect()
    inner = GET_REQUEST.replace(b"/a", b"/smuggled")
    data = b"POST /a HTTP/1.1\r\nHost: h\r\n" + UPGRADE_HEADERS
    data += framing % (len(inner), inner)
    for start in range(0, len(data), piece_bytes):
        harness.send(client, data[start : start + piece_bytes], 0.01)
    (request,) = harness.handler.requests
    assert (request.target, request.body) == (b"/a", inner)
    assert client.statuses() == [200]


@pytest.mark.parametrize(
    "method",
    [b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"],
)
@pytest.mark.parametrize(
    "headers",
    [
        b"Upgrade: h2c\r\nConnection: Upgrade\r\n",
        b"upgrade: websocket\r\nconnection: keep-alive, upgrade\r\n",
        b"Connection: Upgrade\r\nUpgrade: h2c, websocket\r\n",
        b"Connection: UPGRADE\r\nUpgrade: h2c\r\nUpgrade: TLS/1.0\r\n",
        b"Connection: Upgrade\r\nConnection: HTTP2-Settings\r\nUpgrade: x\r\n",
        b"Upgrade: h2c\r\n",
        b"Connection: Upgrade\r\n",
    ],
)
def test_each_form_of_an_upgrade_is_served_and_keeps_its_connection(
    method, headers
):
    harness = ServerHarness()
    client = harness.connect()
    head = b"%b /a HTTP/1.1\r\nHost: h\r\n%b" % (method, headers)
    for framing in (
        b"\r\n",
        b"Content-Length: 3\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ):
        harness.send(client, head + framing)
    assert client.statuses() == [200] * 3
    assert [each.body for each in harness.handler.requests] == [
        b"",
        b"abc",
        b"abc",
    ]
    assert not client.closed


@pytest.mark.parametrize("connection", [b"close", b"Upgrade, close"])
def test_request_to_upgrade_may_close_the_connection(connection):
    harness = ServerHarness()
    client = harness.connect()
    head = b"GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\nConnection: "
    harness.send(client, head + connection + b"\r\n\r\n" + GET_REQUEST)
    assert client.statuses() == [200]
    assert client.closed


def test_request_to_upgrade_is_answered_before_malformed_bytes():
    harness = ServerHarness(respond=False)
    client = harness.connect()
    harness.send(client, UPGRADING_REQUESTS[0] % UPGRADE_HEADERS + b"\x16\x03")
    assert client.statuses() == []
    harness.handler.exchanges[0].respond(http1.HttpResponse(status=200))
    harness.clock.advance(0.05)
    assert client.statuses() == [200, 400]
    assert client.closed


@pytest.mark.parametrize(
    ("method", "status", "headers", "length"),
    [
        (b"GET", 204, [], None),
        (b"GET", 304, [], None),
        (b"HEAD", 200, [], b"5"),
        (b"HEAD", 200, [(b"content-length", b"7")], b"7"),
        (b"HEAD", 204, [], None),
    ],
)
def test_response_without_content_is_followed_by_no_byte(
    method, status, headers, length
):
    # Guards against a body that the caller reads as the next response, and
    # against a length of 0 for what a GET would have got.
    harness = ServerHarness(respond=False)
    client = harness.connect()
    harness.send(client, GET_REQUEST.replace(b"GET", method))
    (exchange,) = harness.handler.exchanges
    exchange.respond(
        http1.HttpResponse(status=status, headers=headers, body=b"hello")
    )
    harness.clock.advance(0.05)
    assert client.received.endswith(b"\r\n\r\n")
    found = re.search(rb"content-length: (\d+)", client.received)
    assert (found and found[1]) == length


@pytest.mark.parametrize("before", [b"", GET_REQUEST])
def test_empty_lines_begin_no_request(before):
    # Guards against a 408 on a connection on which nothing was asked.
    harness = ServerHarness(header_timeout_s=1.0, idle_timeout_s=5.0)
    client = harness.connect()
    harness.send(client, before + b"\r\n")
    answers = client.statuses()
    for _ in range(2):
        harness.send(client, b"\r\n\r\n", 1.5)
    assert client.statuses() == answers
    assert not client.closed
    # They do not keep the connection open either.
    harness.clock.advance(2.5)
    assert client.statuses() == answers
    assert client.closed


def test_empty_lines_precede_a_request():
    harness = ServerHarness(header_bytes=60)
    client = harness.connect()
    for _ in range(30):
        harness.send(client, b"\r\n")
    harness.send(client, GET_REQUEST)
    assert client.statuses() == [200]


CHUNKED_HEAD = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
ENDLESS_PARTS = {
    "request line": (b"GET /", b"x" * 500, 431),
    "header": (b"GET /a HTTP/1.1\r\na: ", b"x" * 500, 431),
    "headers": (b"GET /a HTTP/1.1\r\n", b"a:\r\n" * 100, 431),
    "extension": (CHUNKED_HEAD + b"5;", b"x" * 500, 431),
    "digits of a chunk's size": (CHUNKED_HEAD, b"0" * 500, 431),
    "trailer": (CHUNKED_HEAD + b"0\r\na: ", b"x" * 500, 431),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"a:\r\n" * 100, 431),
    "chunks": (CHUNKED_HEAD, b"2\r\nxx\r\n" * 100, 413),
}


@pytest.mark.parametrize("name", ENDLESS_PARTS)
@pytest.mark.parametrize("piece_bytes", [7, 100_000])
def test_request_that_never_ends_is_received_for_ever(name, piece_bytes):
    # Guards against a trailer that a caller sends for ever, all of which was
    # kept, and against short headers and chunks, which take 50 times as much.
    harness = ServerHarness(header_bytes=20_000, body_bytes=20_000)
    client = harness.connect()
    start, part, status = ENDLESS_PARTS[name]
    client.transport.write(start)
    harness.clock.advance(0.05)
    tracemalloc.start()
    data = part * 300
    for begin in range(0, len(data), piece_bytes):
        client.transport.write(data[begin : begin + piece_bytes])
        harness.clock.advance(0.001)
    _, most_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert client.statuses() == [status]
    assert client.closed
    assert harness.handler.requests == []
    assert most_bytes < 2_000_000


def test_incomplete_requests_share_memory():
    # Guards against callers whose bodies together fill the memory: the largest
    # gives way, and its caller knows that it has not run.
    harness = ServerHarness(body_bytes=400_000)
    harness.server.buffers = http1.BufferBudget(limit_bytes=1_000_000)
    clients = [harness.connect() for _ in range(5)]
    head = GET_REQUEST.replace(b"GET", b"POST").replace(
        b"\r\n\r\n", b"\r\nContent-Length: 300000\r\n\r\n"
    )
    for k, client in enumerate(clients):
        harness.send(client, head + b"x" * (250_000 - k))
    assert [client.statuses() for client in clients] == [[503], [], [], [], []]
    assert b"retry-after" in clients[0].received
    for k, client in enumerate(clients):
        harness.send(client, b"x" * (50_000 + k))
    assert [client.statuses() for client in clients[1:]] == [[200]] * 4


def test_many_requests_at_once_are_answered_one_by_one():
    # Guards against a recursion that is as deep as requests are in one read.
    harness = ServerHarness()
    client = harness.connect()
    harness.send(client, GET_REQUEST * 2000)
    assert client.statuses() == [200] * 2000


EXPECTING_HEAD = (
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    b"Expect: 100-continue\r\n\r\n"
)


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_interim_response_waits_for_earlier_requests(pause_s):
    # Guards against a 100 that the caller takes for one to the request before.
    harness = ServerHarness(respond=False)
    client = harness.connect()
    client.transport.write(GET_REQUEST)
    if pause_s:
        harness.clock.advance(pause_s)
    harness.send(client, EXPECTING_HEAD)
    assert client.statuses() == []
    harness.handler.exchanges[0].respond(http1.HttpResponse(status=200))
    harness.clock.advance(0.05)
    assert client.statuses() == [200, 100]
    harness.send(client, b"abc")
    harness.handler.exchanges[1].respond(http1.HttpResponse(status=200))
    harness.clock.advance(0.05)
    assert client.statuses() == [200, 100, 200]


@pytest.mark.parametrize(
    "data",
    [
        EXPECTING_HEAD + b"abc",
        EXPECTING_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"abc",
        EXPECTING_HEAD.replace(b"Content-Length: 3", b"Content-Length: 0"),
        EXPECTING_HEAD.replace(b"POST", b"GET").replace(
            b"Content-Length: 3\r\n", b""
        ),
    ],
)
def test_interim_response_only_for_a_body_that_is_due(data):
    harness = ServerHarness()
    client = harness.connect()
    harness.send(client, data)
    assert client.statuses() == [200]


def test_caller_of_http_1_0_gets_no_interim_response():
    harness = ServerHarness()
    client = harness.connect()
    harness.send(client, EXPECTING_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0"))
    assert client.statuses() == []


def test_expect_continue_gets_100_before_body():
    harness = ServerHarness()
    client = harness.connect()
    harness.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n",
    )
    assert client.statuses() == [100]
    harness.send(client, b"hi")
    assert client.statuses() == [100, 200]


HEADER_LINES = st.sampled_from(
    [
        b"Content-Length: 5",
        b"Content-Length: 0",
        b"content-length:5",
        b"Content-Length: 5, 5",
        b"Content-Length: +5",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding:\tchunked",
        b"Transfer-Encoding: xchunked",
        b"Transfer-Encoding : chunked",
        b"Transfer-Encoding: identity",
        b"Host: h",
        b"X-A: b",
        b"X-A: b\nContent-Length: 3",
        b" folded",
        b"Connection: close",
        b"Upgrade: h2c",
    ]
)
BODIES = st.sampled_from(
    [
        b"",
        b"hello",
        b"0\r\n\r\n",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"5;x=y\r\nhello\r\n0\r\n\r\n",
        b"hellGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
        b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
    ]
)


@settings(max_examples=300, deadline=None)
@given(
    headers=st.lists(HEADER_LINES, max_size=5),
    body=BODIES,
    chunk_size=st.integers(1, 40),
)
def test_accepted_request_has_unambiguous_framing(headers, body, chunk_size):
    harness = ServerHarness()
    client = harness.connect()
    data = b"POST /a HTTP/1.1\r\n" + b"".join(
        line + b"\r\n" for line in headers
    )
    data += b"\r\n" + body
    for offset in range(0, len(data), chunk_size):
        harness.send(client, data[offset : offset + chunk_size], 0.001)
    harness.clock.advance(0.05)
    for request in harness.handler.requests:
        names = [name for name, _ in request.headers]
        lengths = names.count(b"content-length")
        codings = names.count(b"transfer-encoding")
        assert lengths + codings <= 1
        assert names.count(b"host") == 1
        if lengths:
            content_length = http1.find_header(
                request.headers, b"content-length"
            )
            assert len(request.body) == int(content_length)
        for _, value in request.headers:
            assert b"\r" not in value
            assert b"\n" not in value


@settings(max_examples=300, deadline=None)
@given(data=st.binary(max_size=300))
def test_arbitrary_bytes_get_at_most_one_error_response(data):
    harness = ServerHarness(header_timeout_s=1.0)
    client = harness.connect()
    harness.send(client, data)
    harness.clock.advance(30.0)
    assert client.closed
    assert len(client.statuses()) <= 1 + len(harness.handler.requests)
