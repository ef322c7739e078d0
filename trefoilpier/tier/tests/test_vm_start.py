"""Tests of what a VM does first, on a virtual clock."""

import pytest

from standins import memory_fleet
from trefoilpier import base


@pytest.fixture
def fleet(tmp_path):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(large=1, small=0, zones=1),
    )
    made.vms[0].start()
    return made


def test_large_vm_is_ready_as_soon_as_it_has_read_the_store(fleet):
    # Replays the return of all VMs after a loss of power: ready half a second
    # after the first read, they were preceded by the small VMs that need them.
    fleet.clock.advance(0.1)
    process = fleet.vms[0].process
    assert process.version == 1
    assert process.ready()


def test_new_leaves_get_a_connection_at_once(fleet):
    fleet.clock.advance(5.0)
    fleet.add_leaf(0, 7)
    fleet.clock.advance(0.1)
    pools = fleet.vms[0].process._leaf_registry.pool_by_id
    assert pools["s0-7"].connected


def make_fleet(tmp_path, *, large, small):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(large=large, small=small, zones=2),
    )
    made.start_all()
    made.clock.advance(3.0)
    return made


def test_relaying_vm_without_routes_refuses_at_once(tmp_path):
    # Guards against a wait of 30 ms before the refusal: a caller who is refused
    # within a quarter of the objective still has time for another VM.
    made = make_fleet(tmp_path, large=1, small=1)
    for vm in made.vms:
        vm.kill()
    made.clock.advance(0.5)
    vm = made.vms[1]
    vm.cut_from_store(memory_fleet.LeafCut.REFUSE)
    vm.start()
    made.clock.advance(0.05)
    made.send_request(b"/g/1", b"GET", vm)
    made.clock.advance(0.2)
    answer = made.answers[-1]
    assert answer.status == 503
    assert answer.took_s < 0.005


def test_relaying_vm_that_the_store_refuses_reads_all_of_it(tmp_path):
    # Replays trouble-2 of a deployment with 89 VMs: the store turned a third of
    # them away for 5 s after their return. Relaying ones read the whole store
    # four times a second and followed it from then on.
    made = make_fleet(tmp_path, large=2, small=2)
    vm = made.vms[3]
    vm.kill()
    made.clock.advance(0.5)
    vm.cut_from_store(memory_fleet.LeafCut.REFUSE)
    vm.start()
    made.clock.advance(5.0)
    vm.cut_from_store(None)
    made.clock.advance(0.7)
    assert vm.process.ready()
    assert vm.process.request_dispatcher.is_relaying
    assert not vm.process._store_sync.loaded
