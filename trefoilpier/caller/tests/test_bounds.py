"""What callers send wrongly gets a numbered code and costs nobody else."""

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import address, testing

from standins import fleet
from trefoilpier import base, caller

_BODY_MAX = 200


class _Door:
    """The callers' site of one virtual node, without sockets."""

    def __init__(self, connections_max=10):
        self.fleet = fleet.Fleet(
            objects=fleet.simple_objects(shards=2), nodes=1
        )
        self.fleet.start()
        self.clock = self.fleet.clock
        made = self.fleet.node_by_id["vm-1"]
        root = caller.make_root(
            node_id="vm-1",
            blackboard=made.board,
            placement=made.placement,
            runner=made.runner,
            clock=self.clock,
            log=base.NullEventLog(),
            ready=made.ready,
        )
        self.site = caller.BoundedSite(
            root,
            bounds=caller.CallerBounds(
                body_max=_BODY_MAX,
                connections_max=connections_max,
                idle_s=60.0,
            ),
            clock=self.clock,
            log=base.NullEventLog(),
        )

    def connect(self):
        peer = address.IPv4Address("TCP", "127.0.0.1", 5000)
        made = self.site.buildProtocol(peer)
        transport = testing.StringTransport(peerAddress=peer)
        made.callLater = lambda delay, call, *args: _Never()
        made.makeConnection(transport)
        return made, transport

    def send(self, data):
        made, transport = self.connect()
        made.dataReceived(data)
        self.clock.advance(3.0)
        return transport.value()


class _Never:
    def cancel(self):
        pass

    def active(self):
        return False

    def reset(self, seconds):
        pass


def _post(body, path=b"/v1/services/search/requests", headers=b""):
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%b\r\n%b" % (
        path,
        len(body),
        headers,
        body,
    )


def _code(answer):
    return orjson.loads(answer.partition(b"\r\n\r\n")[2])["code"]


def test_good_request_is_answered():
    answer = _Door().send(_post(b'{"text":"silk"}'))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"TPR-1000" in answer


def test_each_kind_of_wrong_request_has_its_code():
    cases = {
        "TPR-2001": _post(b"not json"),
        "TPR-2002": _post(b"x" * (_BODY_MAX + 1)),
        "TPR-2003": _post(b"{}", path=b"/v1/services/none/requests"),
        "TPR-2004": _post(b"{}", headers=b"Trefoilpier-Deadline-Ms: -1\r\n"),
        "TPR-2005": _post(b"{}", headers=b"Idempotency-Key: a b\r\n"),
        "TPR-2006": _post(b"{}", path=b"/nowhere"),
        "TPR-2008": b"nonsense\r\n\r\n",
    }
    for code, data in cases.items():
        assert _code(_Door().send(data)) == code


def test_body_that_grows_too_large_in_chunks_is_refused():
    made, transport = _Door().connect()
    made.dataReceived(
        b"POST /v1/services/search/requests HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    for _ in range(5):
        made.dataReceived(b"64\r\n" + b"x" * 100 + b"\r\n")
    assert _code(transport.value()) == "TPR-2002"


def test_half_a_request_is_refused_in_time():
    door = _Door()
    made, transport = door.connect()
    made.dataReceived(_post(b'{"text":"silk"}')[:-3])
    door.clock.advance(9.0)
    assert transport.value() == b""
    door.clock.advance(2.0)
    assert _code(transport.value()) == "TPR-2007"


def test_connection_beyond_the_bound_is_told():
    door = _Door(connections_max=1)
    door.connect()
    _, transport = door.connect()
    assert _code(transport.value()) == "TPR-3006"


def test_refusal_says_when_to_come_back():
    door = _Door()
    door.fleet.node_by_id["vm-1"].board.drain.refusing = True
    answer = door.send(_post(b"{}"))
    assert b"Retry-After: 1" in answer
    row = orjson.loads(answer.partition(b"\r\n\r\n")[2])
    assert row["code"] == "TPR-3003"
    assert row["ran"] == "no"
    assert row["retry_after_ms"] == 50


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_random_bodies_get_an_outcome(body):
    read = caller.parse_request(
        service="search",
        body=body,
        deadline_header=None,
        key_header=None,
        caller="c",
        now=0.0,
    )
    assert read.is_ok() or read.error.ran == base.Ran.NO


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(max_size=300), st.text(max_size=300))
def test_random_headers_get_an_outcome(deadline, key):
    read = caller.parse_request(
        service="search",
        body=b"{}",
        deadline_header=deadline,
        key_header=key,
        caller="c",
        now=0.0,
    )
    if read.is_ok():
        assert 0 < read.ok.deadline <= 300


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.binary(max_size=300))
def test_random_bytes_leave_the_door_open(data):
    door = _Door()
    made, _ = door.connect()
    made.dataReceived(data)
    assert b"TPR-1000" in door.send(_post(b'{"text":"silk"}'))
