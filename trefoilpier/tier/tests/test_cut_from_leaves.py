"""Tests of a fleet of which some VMs have no path to the leaves."""

import pytest

from standins import memory_fleet, memory_tier

_CONTACT_S = 4.0  # The platform judges cut VMs after this time.
_RATE = 70.0  # Requests a second.


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
def test_vm_refuses_for_seconds_after_its_path_to_leaves_is_back(tmp_path, how):
    fleet = make_fleet(tmp_path)
    cut(fleet.vms, how)
    fleet.run_load(seconds=8.0, rate=_RATE)
    cut(fleet.vms, None)
    fleet.run_load(seconds=2.0, rate=_RATE)
    answers = fleet.run_load(seconds=3.0, rate=_RATE)
    assert served_share(answers, fleet.vms) >= 0.99
