"""Tests of a fleet of which some VMs have no path to the leaves."""

import pytest

from standins import memory_fleet, memory_tier
from trefoilpier import base

_CONTACT_S = 4.0  # The platform judges cut VMs after this time.
_RATE = 70.0  # Requests a second.
_READS = (b"/r/1", b"/w/1")  # Of one service, whatever its leaves.
_READ_RATE = 21.0  # Three requests a second to each VM.


def make_fleet(tmp_path, *, large=7, small=0, seed=1):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=memory_tier.RecordingLog(),
        sizes=memory_fleet.FleetSizes(
            large=large, small=small, zones=3, shards=6
        ),
        seed=seed,
    )
    made.start_all()
    made.clock.advance(3.0)
    made.run_load(seconds=2.0, rate=_RATE)
    return made


def cut(vms, how):
    for vm in vms:
        vm.cut_from_leaves(how)


def served_share(answers, vms):
    names = {vm.name for vm in vms}
    served = [each.status == 200 for each in answers if each.vm in names]
    return sum(served) / len(served)


@pytest.mark.parametrize("how", list(memory_fleet.LeafCut))
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_of_vms_without_a_path_to_leaves_are_served_worse(
    tmp_path, how, seed
):
    fleet = make_fleet(tmp_path, seed=seed)
    # All VMs of one zone and most of another.
    stranded = [fleet.vms[k] for k in (0, 3, 6, 1)]
    cut(stranded, how)
    fleet.run_load(seconds=_CONTACT_S, rate=_RATE)
    answers = fleet.run_load(seconds=6.0, rate=_RATE)
    in_touch = [vm for vm in fleet.vms if vm not in stranded]
    assert served_share(answers, in_touch) >= 0.99
    assert served_share(answers, stranded) >= 0.99


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("how", list(memory_fleet.LeafCut))
def test_rare_requests_to_many_leaves_wait_at_connections_that_hang(
    tmp_path, how, seed
):
    fleet = make_fleet(tmp_path, seed=seed)
    for replica in range(3, 9):
        fleet.add_leaf(0, replica)
    fleet.run_load(seconds=3.0, rate=_RATE, targets=_READS)
    stranded = fleet.vms[:4]
    cut(stranded, how)
    fleet.run_load(seconds=_CONTACT_S, rate=_READ_RATE, targets=_READS)
    answers = fleet.run_load(seconds=6.0, rate=_READ_RATE, targets=_READS)
    assert served_share(answers, stranded) >= 0.99


@pytest.mark.parametrize("how", list(memory_fleet.LeafCut))
def test_callers_of_small_vms_are_served_worse_if_their_gatherers_are_cut_off(
    tmp_path, how
):
    fleet = make_fleet(tmp_path, large=6, small=6)
    # Both gatherers of one zone, which its small VMs prefer.
    cut([fleet.vms[0], fleet.vms[3]], how)
    fleet.run_load(seconds=_CONTACT_S, rate=_RATE)
    answers = fleet.run_load(seconds=6.0, rate=_RATE)
    assert served_share(answers, fleet.vms) >= 0.99


@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 22")
def test_small_vms_refuse_while_only_the_gatherers_are_cut_off(tmp_path):
    fleet = make_fleet(tmp_path, large=3, small=5)
    cut(fleet.vms[:3], memory_fleet.LeafCut.SILENT)
    fleet.run_load(seconds=_CONTACT_S, rate=_RATE)
    answers = fleet.run_load(seconds=6.0, rate=_RATE)
    assert served_share(answers, fleet.vms) >= 0.66


@pytest.mark.parametrize("how", list(memory_fleet.LeafCut))
def test_vm_refuses_for_seconds_after_its_path_to_leaves_is_back(tmp_path, how):
    fleet = make_fleet(tmp_path)
    cut(fleet.vms, how)
    fleet.run_load(seconds=8.0, rate=_RATE)
    cut(fleet.vms, None)
    fleet.run_load(seconds=2.0, rate=_RATE)
    answers = fleet.run_load(seconds=3.0, rate=_RATE)
    assert served_share(answers, fleet.vms) >= 0.99


def test_vm_takes_the_way_over_a_peer_after_its_own_path_is_back(tmp_path):
    fleet = make_fleet(tmp_path)
    cut(fleet.vms[:3], memory_fleet.LeafCut.SILENT)
    fleet.run_load(seconds=8.0, rate=_RATE)
    cut(fleet.vms[:3], None)
    fleet.run_load(seconds=3.0, rate=_RATE)
    fleet.log.rows.clear()
    fleet.run_load(seconds=3.0, rate=_RATE)
    relayed = [
        fields
        for event, fields in fleet.log.rows
        if event is base.Event.REQUEST_ENDED and fields.get("route") == "relay"
    ]
    assert relayed == []


def test_request_that_no_vm_can_serve_is_not_refused_at_once(tmp_path):
    fleet = make_fleet(tmp_path)
    cut(fleet.vms, memory_fleet.LeafCut.RESET)
    fleet.run_load(seconds=_CONTACT_S, rate=_RATE)
    fleet.log.rows.clear()
    answers = fleet.run_load(seconds=3.0, rate=_RATE)
    assert {each.status for each in answers} == {503}
    # Nothing is passed from VM to VM, each of which would refuse it.
    assert max(each.took_s for each in answers) < 0.1
