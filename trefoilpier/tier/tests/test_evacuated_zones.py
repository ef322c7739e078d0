"""Tests of a fleet of which availability zones are evacuated."""

import pytest

from standins import leaf_rules, memory_fleet, memory_tier
from trefoilpier import base

_RATE = 70.0  # Requests a second.
_TARGETS = (b"/g/1", b"/r/1", b"/w/1")
# While the store works: the pause between two watches, and the way.
_AIM_S = 0.6


def make_fleet(tmp_path, *, large=7, small=0, zones=3, seed=1):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=memory_tier.RecordingLog(),
        sizes=memory_fleet.FleetSizes(
            large=large, small=small, zones=zones, shards=6
        ),
        seed=seed,
    )
    made.start_all()
    made.clock.advance(3.0)
    run(made, 1.0)
    return made


def run(fleet, seconds):
    return fleet.run_load(seconds=seconds, rate=_RATE, targets=_TARGETS)


def violations(fleet, within_s=leaf_rules.EVACUATE_S):
    return [
        line
        for each in fleet.leaf_by_id.values()
        for line in leaf_rules.evacuation_violations(
            each.leaf,
            each.zone,
            fleet.operator.evacuations,
            judged_from=lambda start: start + within_s,
        )
    ]


def requests_in(fleet, zone, since):
    return sum(
        at >= since
        for each in fleet.leaf_by_id.values()
        if each.zone == zone
        for at in each.leaf.request_times
    )


def share(answers, status=200):
    return sum(each.status == status for each in answers) / len(answers)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("small", [0, 5])
def test_leaf_of_an_evacuated_zone_gets_requests(tmp_path, seed, small):
    fleet = make_fleet(tmp_path, small=small, seed=seed)
    fleet.operator.evacuate("z1")
    answers = run(fleet, 8.0)
    assert violations(fleet, _AIM_S) == []
    # Each shard has leaves in other zones.
    assert share(answers) >= 0.99
    fleet.operator.take_back("z1")
    taken_back_at = fleet.clock.monotonic()
    run(fleet, 1.0)
    assert requests_in(fleet, "z1", taken_back_at) > 0


@pytest.mark.parametrize("how", list(memory_fleet.LeafCut))
def test_vm_cut_off_from_the_store_sends_to_an_evacuated_zone(tmp_path, how):
    fleet = make_fleet(tmp_path)
    cut_off = fleet.vms[:6]
    for vm in cut_off:
        vm.cut_from_store(how)
    fleet.operator.evacuate("z1")
    run(fleet, 1.0)
    # A silent watch has not been noticed yet; peers tell of the evacuation.
    assert violations(fleet, _AIM_S) == []
    run(fleet, 7.0)
    fleet.operator.evacuate("z2")
    run(fleet, 7.0)
    assert violations(fleet, 1.5) == []
    fleet.operator.take_back("z1")
    run(fleet, 3.0)
    taken_back = {vm.process.gauges["zones_evacuated"]() for vm in fleet.vms}
    assert taken_back == {1}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_vms_that_start_during_an_evacuation_send_to_its_leaves(tmp_path, seed):
    fleet = make_fleet(tmp_path, small=3, seed=seed)
    fleet.operator.evacuate("z0")
    fleet.operator.evacuate("z2")
    run(fleet, 2.0)
    fleet.kill_all()
    fleet.start_all()
    run(fleet, 2.0)
    fleet.vms[2].kill()
    fleet.model.faults.down = True
    fleet.vms[2].start()
    run(fleet, 3.0)
    fleet.model.faults.down = False
    answers = run(fleet, 5.0)
    assert violations(fleet, _AIM_S) == []
    assert share(answers) >= 0.99


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("watches_end", [False, True])
def test_evacuation_read_with_a_configuration_is_forgotten(
    tmp_path, seed, watches_end
):
    # Guards against a VM that tells its peers a revision of the store whose
    # changes it has not applied, since it has not come to them yet, or since a
    # watch that ended while it was deaf has named it: they took the
    # evacuation, which it did not report, for ended.
    fleet = make_fleet(tmp_path, large=4, seed=seed)
    # VMs tell of evacuations only once there has been one.
    fleet.operator.evacuate("z1")
    run(fleet, 2.0)
    fleet.operator.take_back("z1")
    # Watches last 4 s and begin 0.5 s after a change.
    run(fleet, 3.8 if watches_end else 2.0)
    fleet.model.compact_after_deafness(1.0)
    run(fleet, 0.3)
    fleet.write_routes()
    fleet.operator.evacuate("z1")
    run(fleet, 8.0)
    evacuated = {vm.process.gauges["zones_evacuated"]() for vm in fleet.vms}
    assert evacuated == {1}
    assert violations(fleet, 2.0) == []


def test_evacuation_of_all_leaves_counts_as_a_lost_path(tmp_path):
    fleet = make_fleet(tmp_path)
    for zone in ("z0", "z1", "z2"):
        fleet.operator.evacuate(zone)
    run(fleet, 2.0)
    fleet.log.rows.clear()
    fleet.kill_all()
    fleet.start_all()
    run(fleet, 0.6)
    # Readiness does not wait for connections that nobody may open.
    assert all(vm.process.ready() for vm in fleet.vms)
    answers = run(fleet, 3.0)
    assert {each.status for each in answers} == {503}
    assert max(each.took_s for each in answers) < 0.1
    events = [event for event, _ in fleet.log.rows]
    assert base.Event.SERVICES_LOST not in events
    assert violations(fleet, _AIM_S) == []


def test_zone_is_used_before_operators_repeat_a_lost_evacuation(tmp_path):
    fleet = make_fleet(tmp_path)
    saved = fleet.model.copy()
    fleet.operator.evacuate("z1")
    run(fleet, 1.0)
    begun_at = fleet.clock.monotonic()
    fleet.restore_store(saved, 0.5)
    run(fleet, 6.0)
    assert len(fleet.operator.evacuations) == 2
    assert requests_in(fleet, "z1", begun_at) == 0


def test_deletion_that_a_restored_store_has_lost_is_repeated(tmp_path):
    fleet = make_fleet(tmp_path)
    fleet.operator.evacuate("z1")
    run(fleet, 1.0)
    saved = fleet.model.copy()
    fleet.operator.take_back("z1")
    run(fleet, 1.0)
    restored_at = fleet.clock.monotonic() + 0.5
    fleet.restore_store(saved, 0.5)
    # The copy has the key; the VMs notice the restore with their next call.
    run(fleet, 1.6)
    assert violations(fleet) == []
    run(fleet, 5.0)
    assert requests_in(fleet, "z1", restored_at + 4.0) > 0


def test_evacuation_that_nobody_repeats_after_a_restore_lasts(tmp_path):
    fleet = make_fleet(tmp_path)
    saved = fleet.model.copy()
    fleet.operator.evacuate("z1")
    run(fleet, 1.0)
    fleet.operator.zones.clear()
    fleet.restore_store(saved, 0.5)
    run(fleet, 10.0)
    zones = {vm.process.gauges["zones_evacuated"]() for vm in fleet.vms}
    assert zones == {0}
