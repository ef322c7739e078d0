"""Tests of the number of VMs among which limits are divided."""

from standins import memory_fleet
from trefoilpier import base, fleet
from trefoilpier.forward import budget

_DELAY_S = 15.0


def make():
    clock = base.VirtualClock()
    values = []
    return clock, values, fleet.VmCount(clock=clock, on_change=values.append)


def start_fleet(tmp_path):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(large=7, small=0, zones=3),
    )
    made.start_all()
    return made


def test_late_decrease_counts_with_an_earlier_one():
    # Guards against a timer of one decrease that applies a later one, too.
    clock, values, count = make()
    count.update(7)
    count.update(6)
    clock.advance(_DELAY_S - 0.1)
    count.update(2)
    clock.advance(0.2)
    assert values == [7, 6]
    count.update(6)
    clock.advance(2 * _DELAY_S)
    assert values == [7, 6]


def test_decrease_is_lost_beside_further_ones():
    # Guards against a decrease that later ones put off again and again.
    clock, values, count = make()
    count.update(9)
    for left in (8, 7, 6):
        count.update(left)
        clock.advance(10.0)
    assert values == [9, 8, 7]
    clock.advance(_DELAY_S)
    assert values == [9, 8, 7, 6]


def test_records_that_expire_raise_the_other_vms_shares(tmp_path):
    # Guards against VMs that divide the allowance of retries among those few
    # whose records are there just when an earlier decrease comes into force.
    made = start_fleet(tmp_path)
    made.clock.advance(16.0)
    process = made.vms[0].process
    assert process.engine_by_role["gather"].vm_count == 7
    made.vms[6].kill()
    made.model.delete(fleet.VM_KEY_PREFIX + made.vms[6].name)
    made.clock.advance(1.0)
    assert process.gauges["vms_gathering"]() == 6
    made.clock.advance(_DELAY_S - 1.1)
    for vm in made.vms[1:6]:
        vm.cut_from_store(memory_fleet.LeafCut.SILENT)
        made.model.delete(fleet.VM_KEY_PREFIX + vm.name)
    least = process.gauges["vms_gathering"]()
    for _ in range(20):
        made.clock.advance(0.1)
        least = min(least, process.gauges["vms_gathering"]())
        assert process.engine_by_role["gather"].vm_count >= 6
    assert least == 1


def test_vm_that_reads_no_record_yet_takes_all_for_itself(tmp_path):
    # Guards against VMs that start together, and each of which divides by one
    # until the first records are in the store.
    made = start_fleet(tmp_path)
    before = set()
    for _ in range(300):
        made.clock.advance(0.002)
        for vm in made.vms:
            if vm.process and not vm.process.gauges["vms_gathering"]():
                before.add(vm.process.engine_by_role["gather"].vm_count)
    assert before == {budget.ASSUMED_VM_COUNT}
    made.clock.advance(2.0)
    assert made.vms[0].process.engine_by_role["gather"].vm_count == 7
