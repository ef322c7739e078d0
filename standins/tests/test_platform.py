"""Tests of the simulated platform's store."""

import base64

import orjson

from standins import platform, platform_model
from trefoilpier import base


class RecordedRequest:
    """Request to the store that records its response."""

    def __init__(self, path, body):
        self.path = path
        self.body = orjson.dumps(body)
        self.query = {}
        self.response = None

    def respond(self, content, status=200):
        self.response = (status, content)


def write(server, value, revision):
    request = RecordedRequest(
        "/kv-txn",
        {
            "precondition": [{"key": "k", "revision": revision}],
            "writes": [
                {
                    "key": "k",
                    "value": base64.b64encode(value).decode(),
                    "lease": 0,
                }
            ],
        },
    )
    server.handle(request)
    return request.response[0]


def test_precondition_holds_for_the_current_value_while_reads_are_stale():
    clock = base.VirtualClock()
    model = platform_model.PlatformModel(clock=clock)
    server = platform.PlatformServer(model=model, clock=clock)
    assert write(server, b"first", 0) == 200
    model.faults.stale_reads = True
    assert write(server, b"second", 0) == 412
    assert write(server, b"third", 1) == 200
