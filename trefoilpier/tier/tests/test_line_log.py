"""Tests of the line log, also with a pipe that is not read."""

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
            chunk = os.read(reader, 65_536)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return data


def parse_lines(data):
    return [orjson.loads(line) for line in data.splitlines()]


def test_lines_are_json_with_event_and_fields(pipe):
    clock = base.VirtualClock()
    log = line_log.LineLog(clock=clock, descriptor=pipe[1])
    log.emit(base.Event.LEAF_UP, leaf="a", zone="z")
    clock.advance(1.0)
    row = parse_lines(read_bytes(pipe[0]))[0]
    assert (row["event"], row["leaf"]) == ("TPE-3001", "a")


def test_full_pipe_does_not_block_and_dropped_lines_are_reported(pipe):
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
    rows = parse_lines(data + read_bytes(pipe[0]))
    dropped = [row["dropped"] for row in rows if row["event"] == "TPE-9002"]
    assert dropped[-1] == log.dropped
    assert rows[-1]["leaf"] == "last"
    assert len(rows) + log.dropped >= 20_001
