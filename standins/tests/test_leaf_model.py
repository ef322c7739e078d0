"""The leaf model: slots, queue, deadlines, faults."""

import random

import pytest

from standins import leaf_model
from trefoilpier import base


class _Bench:
    def __init__(self, **setup):
        self.clock = base.VirtualClock()
        self.model = leaf_model.LeafModel(
            setup=leaf_model.LeafSetup(
                id="one", shards={0}, sigma=0.0, **setup
            ),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.answers = {}

    def call(self, name, **fields):
        row = {
            "id": name,
            "service": "s",
            "shard": 0,
            "epoch": 1,
            "version": 1,
            "repeatable": True,
            "key": "",
            "query": {},
            "deadline_ms": 1000,
            **fields,
        }
        self.model.call(row, lambda a: self.answers.update({name: a["status"]}))


def test_slots_then_queue_then_shed():
    bench = _Bench(slots=1, queue=1)
    for name in "abc":
        bench.call(name)
    assert bench.answers == {"c": "shed"}
    bench.clock.advance(1.0)
    assert bench.answers == {"a": "ok", "b": "ok", "c": "shed"}


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"shard": 7}, "not_mine"),
        ({"epoch": 7}, "not_mine"),
        ({"version": 7}, "version_gone"),
    ],
)
def test_call_that_it_cannot_serve_is_not_run(fields, status):
    bench = _Bench()
    bench.call("a", **fields)
    assert bench.answers == {"a": status}
    assert len(bench.model.ledger) == 0


def test_queued_call_past_its_deadline_is_not_run():
    bench = _Bench(slots=1, median_s=0.1)
    bench.call("a")
    bench.call("b", deadline_ms=10)
    bench.clock.advance(1.0)
    assert bench.answers == {"a": "ok", "b": "expired"}
    assert [run.call_id for run in bench.model.ledger] == ["a"]


def test_cancelled_call_frees_its_slot():
    bench = _Bench(slots=1, median_s=1.0)
    bench.call("a", deadline_ms=9000)
    bench.call("b", deadline_ms=9000)
    bench.model.cancel("a")
    bench.clock.advance(1.5)
    assert bench.answers == {"a": "cancelled", "b": "ok"}


def test_reported_load_lags():
    bench = _Bench(slots=1, median_s=1.0)
    bench.model.faults.load_lag_s = 2.0
    assert bench.model.report()["load"] == 0.0
    bench.call("a", deadline_ms=9000)
    bench.clock.advance(0.5)
    assert bench.model.report()["load"] == 0.0
    bench.clock.advance(2.2)
    bench.call("b", deadline_ms=9000)
    assert bench.model.report()["load"] > 0.0
