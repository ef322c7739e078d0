"""Tests of the leaf model: slots, queue, deadlines and faults."""

import random

import pytest

from standins import leaf_model
from trefoilpier import base


class _LeafHarness:
    def __init__(self, **setup):
        self.clock = base.VirtualClock()
        self.model = leaf_model.LeafModel(
            setup=leaf_model.LeafSetup(
                id="one", shards={0}, sigma=0.0, **setup
            ),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.status_by_call = {}

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
        self.model.call(
            row,
            lambda reply: self.status_by_call.update({name: reply["status"]}),
        )


def test_calls_fill_slots_then_queue_then_are_shed():
    harness = _LeafHarness(slots=1, queue=1)
    for name in "abc":
        harness.call(name)
    assert harness.status_by_call == {"c": "shed"}
    harness.clock.advance(1.0)
    assert harness.status_by_call == {"a": "ok", "b": "ok", "c": "shed"}


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"shard": 7}, "not_mine"),
        ({"epoch": 7}, "not_mine"),
        ({"version": 7}, "version_gone"),
    ],
)
def test_call_for_other_shard_epoch_or_version_is_rejected(fields, status):
    harness = _LeafHarness()
    harness.call("a", **fields)
    assert harness.status_by_call == {"a": status}
    assert len(harness.model.ledger) == 0


def test_queued_call_past_deadline_expires_without_running():
    harness = _LeafHarness(slots=1, median_s=0.1)
    harness.call("a")
    harness.call("b", deadline_ms=10)
    harness.clock.advance(1.0)
    assert harness.status_by_call == {"a": "ok", "b": "expired"}
    assert [run.call_id for run in harness.model.ledger] == ["a"]


def test_cancelled_call_frees_its_slot():
    harness = _LeafHarness(slots=1, median_s=1.0)
    harness.call("a", deadline_ms=9000)
    harness.call("b", deadline_ms=9000)
    harness.model.cancel("a")
    harness.clock.advance(1.5)
    assert harness.status_by_call == {"a": "cancelled", "b": "ok"}


def test_reported_load_lags():
    harness = _LeafHarness(slots=1, median_s=1.0)
    harness.model.faults.load_lag_s = 2.0
    assert harness.model.report()["load"] == 0.0
    harness.call("a", deadline_ms=9000)
    harness.clock.advance(0.5)
    assert harness.model.report()["load"] == 0.0
    harness.clock.advance(2.2)
    harness.call("b", deadline_ms=9000)
    assert harness.model.report()["load"] > 0.0
