"""Experiments on whole fleets, with bounds from the stated targets."""

import pytest

from lab import fleet as experiments
from standins import memory_fleet, memory_tier
from trefoilpier import base

SIZES = memory_fleet.FleetSizes(large=3, small=9, zones=3, shards=6)


def make_fleet(tmp_path, sizes=SIZES, seed=1):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=memory_tier.RecordingLog(),
        sizes=sizes,
        seed=seed,
    )
    made.start_all()
    made.clock.advance(3.0)
    return made


def whole_share(answers):
    return sum(each.whole for each in answers) / len(answers)


@pytest.mark.parametrize("small", [9, 177])
def test_calm_fleet_answers_99_in_100_whole(tmp_path, small):
    sizes = memory_fleet.FleetSizes(large=3, small=small, zones=3, shards=6)
    fleet = make_fleet(tmp_path, sizes)
    assert whole_share(fleet.run_load(seconds=4.0, rate=50)) >= 0.99


def test_credit_is_back_five_seconds_after_a_loss_of_all_vms(tmp_path):
    fleet = make_fleet(tmp_path)
    fleet.run_load(seconds=2.0, rate=40)
    fleet.kill_all()
    fleet.start_all()
    fleet.run_load(seconds=5.0, rate=40)
    assert whole_share(fleet.run_load(seconds=4.0, rate=40)) >= 0.99


def test_watches_grow_with_gatherers_and_not_with_relaying_vms(tmp_path):
    watches = {}
    for small in (3, 60):
        directory = tmp_path / str(small)
        directory.mkdir()
        sizes = memory_fleet.FleetSizes(large=3, small=small, zones=3, shards=6)
        fleet = make_fleet(directory, sizes)
        before = fleet.model.counts.watches
        fleet.clock.advance(20.0)
        watches[small] = fleet.model.counts.watches - before
    assert watches[3] == watches[60]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fleet_keeps_its_routes_when_the_store_comes_back_older(tmp_path, seed):
    fleet = make_fleet(tmp_path, seed=seed)
    saved = fleet.model.copy()
    newest = fleet.write_routes()
    fleet.clock.advance(2.0)
    fleet.restore_store(saved, 0.6)
    answers = fleet.run_load(seconds=6.0, rate=40)
    assert whole_share(answers) >= 0.99
    in_force = [
        fields["version"]
        for event, fields in fleet.log.rows
        if event is base.Event.CONFIG_IN_FORCE
    ]
    assert in_force == sorted(in_force)
    assert all(vm.process.version == newest for vm in fleet.vms)
    restores = [
        fields["era"]
        for event, fields in fleet.log.rows
        if event is base.Event.STORE_RESTORED
    ]
    assert restores == [2] * SIZES.large
    assert len(fleet.model.keys("tier/vms/")) == SIZES.large


def test_experiment_tells_each_phase():
    figures = experiments.run_experiment(SIZES, rate=40, seconds=6.0, seed=1)
    assert [each.name for each in figures] == [
        "calm",
        "all VMs lost",
        "store restored",
    ]
    assert figures[1].first_whole_s < 1.0 < figures[0].requests
    assert len(experiments.table(figures).splitlines()) == 4
