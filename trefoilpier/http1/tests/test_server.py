"""The callers' side against improper, slow and hostile input."""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import memory_net
from trefoilpier import base, http1

ADDRESS = ("10.0.0.1", 80)


class Recorder(http1.RequestHandler):
    def __init__(self, respond=True):
        self.requests = []
        self.exchanges = []
        self.problems = []
        self.gone = 0
        self.respond = respond

    def handle(self, exchange):
        self.requests.append(exchange.request)
        self.exchanges.append(exchange)
        exchange.on_gone = self._gone
        if self.respond:
            exchange.respond(http1.HttpResponse(status=200, body=b"ok"))

    def _gone(self):
        self.gone += 1

    def rejected(self, status, reason):
        self.problems.append((status, reason))


class RawClient:
    """Collects what the server writes."""

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


class Scene:
    def __init__(self, respond=True, **limits):
        self.clock = base.VirtualClock()
        self.net = memory_net.MemoryNet(clock=self.clock)
        self.handler = Recorder(respond)
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


PLAIN = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def test_requests_on_one_connection_are_served_in_order():
    scene = Scene()
    client = scene.connect()
    scene.send(client, PLAIN + PLAIN.replace(b"/a", b"/b"))
    assert [request.target for request in scene.handler.requests] == [
        b"/a",
        b"/b",
    ]
    assert client.statuses() == [200, 200]
    assert not client.closed


def test_a_chunked_body_is_read_whole():
    scene = Scene()
    client = scene.connect()
    scene.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    )
    assert scene.handler.requests[0].body == b"abcde"


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
def test_improper_requests_get_their_status_and_go_no_further(data, status):
    scene = Scene(header_bytes=500, body_bytes=100)
    client = scene.connect()
    scene.send(client, data)
    assert client.statuses() == [status]
    assert client.closed
    assert scene.handler.requests == []


def test_a_body_that_grows_past_its_bound_is_refused():
    scene = Scene(body_bytes=100)
    client = scene.connect()
    scene.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"80\r\n" + b"x" * 128 + b"\r\n",
    )
    assert client.statuses() == [413]
    assert scene.handler.requests == []


@pytest.mark.parametrize(
    "start",
    [
        b"GET /a HT",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na",
    ],
)
def test_a_slow_request_gets_408(start):
    scene = Scene(header_timeout_s=2.0)
    client = scene.connect()
    scene.send(client, start, 3.0)
    assert client.statuses() == [408]
    assert scene.handler.requests == []


def test_an_idle_connection_closes_after_its_time_and_not_before():
    scene = Scene(idle_timeout_s=10.0)
    client = scene.connect()
    scene.send(client, PLAIN, 9.0)
    assert not client.closed
    scene.clock.advance(2.0)
    assert client.closed


def test_a_shorter_idle_time_spares_connections_that_were_idle_before():
    scene = Scene(idle_timeout_s=10.0)
    client = scene.connect()
    scene.send(client, PLAIN, 1.0)
    scene.server.limits = http1.CallerLimits(idle_timeout_s=2.0)
    scene.clock.advance(7.0)
    assert not client.closed
    scene.clock.advance(4.0)
    assert client.closed


def test_a_caller_that_closes_is_noticed():
    scene = Scene(respond=False)
    client = scene.connect()
    scene.send(client, PLAIN)
    client.transport.abortConnection()
    scene.clock.advance(0.05)
    assert scene.handler.gone == 1


def test_answers_close_the_connection_while_shutting_down():
    scene = Scene()
    client = scene.connect()
    scene.server.closing = True
    scene.send(client, PLAIN)
    assert b"connection: close" in client.received
    assert client.closed


def test_expect_continue_is_answered_before_the_body():
    scene = Scene()
    client = scene.connect()
    scene.send(
        client,
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n",
    )
    assert client.statuses() == [100]
    scene.send(client, b"hi")
    assert client.statuses() == [100, 200]


HEADER = st.sampled_from(
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
BODY = st.sampled_from(
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
@given(headers=st.lists(HEADER, max_size=5), body=BODY, cut=st.integers(1, 40))
def test_no_request_has_two_readings(headers, body, cut):
    scene = Scene()
    client = scene.connect()
    data = b"POST /a HTTP/1.1\r\n" + b"".join(h + b"\r\n" for h in headers)
    data += b"\r\n" + body
    for k in range(0, len(data), cut):
        scene.send(client, data[k : k + cut], 0.001)
    scene.clock.advance(0.05)
    for request in scene.handler.requests:
        names = [name for name, _ in request.headers]
        lengths = names.count(b"content-length")
        codings = names.count(b"transfer-encoding")
        assert lengths + codings <= 1
        assert names.count(b"host") == 1
        if lengths:
            stated = http1.find_header(request.headers, b"content-length")
            assert len(request.body) == int(stated)
        for _, value in request.headers:
            assert b"\r" not in value
            assert b"\n" not in value


@settings(max_examples=300, deadline=None)
@given(data=st.binary(max_size=300))
def test_any_bytes_end_in_a_status_or_wait_for_more(data):
    scene = Scene(header_timeout_s=1.0)
    client = scene.connect()
    scene.send(client, data)
    scene.clock.advance(30.0)
    assert client.closed
    assert len(client.statuses()) <= 1 + len(scene.handler.requests)
