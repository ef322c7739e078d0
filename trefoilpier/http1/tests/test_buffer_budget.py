"""Tests of the memory that incomplete responses share."""

from standins import memory_net
from trefoilpier import base, http1

ADDRESS = ("10.0.0.1", 80)
_LIMIT_BYTES = 1_000_000
_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"


class SilentServer:
    """Server protocol that writes only what a test tells it to."""

    def connectionMade(self):  # noqa: N802
        pass

    def dataReceived(self, data):  # noqa: N802
        pass

    def connectionLost(self, reason):  # noqa: N802
        pass


class Harness(http1.ConnectionEvents):
    def __init__(self, count):
        self.clock = base.VirtualClock()
        self.net = memory_net.MemoryReactor(clock=self.clock)
        self.buffers = http1.BufferBudget(limit_bytes=_LIMIT_BYTES)
        self.servers = []
        self.outcome_by_index = {}
        self.connections = []
        self.net.listen(*ADDRESS, self)
        for index in range(count):
            connection = http1.ClientConnection(
                clock=self.clock, events=self, buffers=self.buffers
            )
            self.connections.append(connection)
            self.net.connectTCP(*ADDRESS, _Factory(connection))
            self.clock.advance(0.01)
            connection.send(
                b"x",
                method=b"GET",
                request_id=b"",
                on_complete=lambda outcome, index=index: (
                    self.outcome_by_index.setdefault(index, outcome)
                ),
            )

    def buildProtocol(self, addr):  # noqa: N802
        self.servers.append(SilentServer())
        return self.servers[-1]

    def opened(self, connection):
        pass

    freed = closed = opened

    def write(self, index, data):
        self.servers[index].transport.write(data)
        self.clock.advance(0.01)


class _Factory:
    def __init__(self, connection):
        self._connection = connection

    def buildProtocol(self, addr):  # noqa: N802
        return self._connection


def test_largest_response_is_dropped_and_the_others_are_received():
    harness = Harness(3)
    for index, size in ((0, 300_000), (1, 500_000), (2, 300_000)):
        harness.write(index, _HEAD % 600_000 + b"a" * size)
    assert list(harness.outcome_by_index) == [1]
    assert isinstance(harness.outcome_by_index[1], http1.RequestFailed)
    for index in (0, 2):
        harness.write(index, b"b" * 300_000)
        body = harness.outcome_by_index[index].response.body
        assert body == b"a" * 300_000 + b"b" * 300_000


def test_memory_of_ended_responses_is_free_again():
    harness = Harness(1)
    for _ in range(10):
        harness.write(0, _HEAD % 900_000 + b"a" * 900_000)
        outcome = harness.outcome_by_index.pop(0)
        assert len(outcome.response.body) == 900_000
        harness.connections[0].send(
            b"x",
            method=b"GET",
            request_id=b"",
            on_complete=lambda outcome: harness.outcome_by_index.setdefault(
                0, outcome
            ),
        )


def test_dropped_response_is_never_complete():
    harness = Harness(1)
    # All of it is in one read.
    harness.write(0, _HEAD % 2_000_000 + b"a" * 2_000_000)
    assert isinstance(harness.outcome_by_index[0], http1.RequestFailed)
    assert not harness.connections[0].open
