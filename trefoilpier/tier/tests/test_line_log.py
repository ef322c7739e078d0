"""Lines on a descriptor that nobody reads."""

import os

import orjson
import pytest

from trefoilpier import base
from trefoilpier.tier import line_log


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_bytes(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            part = os.read(reader, 65_536)
        except BlockingIOError:
            break
        if not part:
            break
        data += part
    return data


def parse(data):
    return [orjson.loads(line) for line in data.splitlines()]


def test_lines_are_json_with_event_and_fields(pipe):
    clock = base.VirtualClock()
    log = line_log.LineLog(clock=clock, descriptor=pipe[1])
    log.emit(base.Event.LEAF_UP, leaf="a", zone="z")
    clock.advance(1.0)
    row = parse(read_bytes(pipe[0]))[0]
    assert (row["event"], row["leaf"]) == ("TPE-3001", "a")


def test_a_full_pipe_never_blocks_and_drops_are_told(pipe):
    clock = base.VirtualClock()
    log = line_log.LineLog(clock=clock, descriptor=pipe[1])
    for k in range(20_000):
        log.emit(base.Event.LEAF_UP, leaf=str(k), text="x" * 100)
        if k % 100 == 0:
            clock.advance(0.01)
    assert log.dropped > 5_000
    data = b""
    for _ in range(50):
        data += read_bytes(pipe[0])
        clock.advance(0.1)
    log.emit(base.Event.LEAF_UP, leaf="last")
    clock.advance(0.2)
    rows = parse(data + read_bytes(pipe[0]))
    dropped = [row["dropped"] for row in rows if row["event"] == "TPE-9002"]
    assert dropped[-1] == log.dropped
    assert rows[-1]["leaf"] == "last"
    assert len(rows) + log.dropped >= 20_001
