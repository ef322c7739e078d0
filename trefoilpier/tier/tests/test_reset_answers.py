"""Tests of leaves that reset answers and run on, on a virtual clock.

Replays the worst seconds of trouble-1 of the shifted deployment: half of the
leaves reset 40 % of their answers, and no leaf ends. Requests were taken for
ones that crash leaves: they got no second send at any of their shards.
"""

import pytest

from standins import memory_fleet, memory_tier
from trefoilpier import base
from trefoilpier.forward import hedging, service_call


def make_fleet(tmp_path, *, seed=1):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=memory_tier.RecordingLog(),
        sizes=memory_fleet.FleetSizes(large=3, small=2, zones=3, shards=8),
        seed=seed,
    )
    made.start_all()
    made.clock.advance(3.0)
    run_load(made, 2.0)
    return made


def run_load(made, seconds, *, rate=60.0):
    targets = [b"/g/%d" % k for k in range(int(rate * seconds))]
    answers = made.run_load(seconds=seconds, rate=rate, targets=targets)
    return [each for each in answers if each.target.startswith(b"/g/")]


def rows_of(made, event):
    return [fields for each, fields in made.log.rows if each is event]


@pytest.mark.parametrize("share", [0.05, 0.4, 0.6])
@pytest.mark.parametrize("seed", [1, 2])
def test_requests_are_suspected_for_answers_that_leaves_reset(
    tmp_path, monkeypatch, share, seed
):
    outcomes = []
    hedge = service_call.ServiceCall._hedge

    def record_hedge(call):
        hedge(call)
        outcomes.append(call.hedge_outcome)

    monkeypatch.setattr(service_call.ServiceCall, "_hedge", record_hedge)
    made = make_fleet(tmp_path, seed=seed)
    for leaf_id, each in made.leaf_by_id.items():
        if leaf_id.endswith(("-0", "-1")) and each.shard % 4 != 3:
            each.leaf.faults.lose_share = share
        elif each.shard % 4 == 3:
            # Its calls are late, so that hedges are due.
            each.leaf.faults.slow_factor = 6.0
    run_load(made, 3.0)
    assert rows_of(made, base.Event.LEAF_CALL_LOST)
    assert rows_of(made, base.Event.REQUEST_SUSPECTED) == []
    assert rows_of(made, base.Event.LEAF_ENDED) == []
    ended = rows_of(made, base.Event.REQUEST_ENDED)
    assert [each for each in ended if each["code"] == "TPR-3007"] == []
    assert outcomes
    assert hedging.HedgeOutcome.SUSPECT not in outcomes
    canaries = sum(
        vm.process.gauges["requests_canary_total"]() for vm in made.vms
    )
    assert canaries == 0


@pytest.mark.parametrize("lose_busy", [True, False])
def test_reset_connections_raise_suspicions(tmp_path, lose_busy):
    # All connections of a VM to the leaves are reset at once, and new ones are
    # accepted: with or without calls in flight, no leaf has ended.
    made = make_fleet(tmp_path)
    vm = made.vms[0]

    def reset():
        vm.cut_from_leaves(memory_fleet.LeafCut.RESET)
        vm.cut_from_leaves(None)

    for k in range(8):
        made.clock.call_later(0.1 + 0.2 * k, reset)
        if lose_busy:
            made.clock.call_later(
                0.098 + 0.2 * k, made.send_request, b"/g/r%d" % k, b"GET", vm
            )
    made.clock.advance(3.0)
    assert rows_of(made, base.Event.REQUEST_SUSPECTED) == []
    assert rows_of(made, base.Event.LEAF_ENDED) == []
