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
