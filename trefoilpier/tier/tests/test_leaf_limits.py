"""Tests of a fleet's requests to leaves that limit their rate."""

import pytest

from standins import memory_fleet
from trefoilpier import base

# The platform counts requests in windows of this length, from this time after
# a leaf first names its limit.
_WINDOW_S = 4.0
_CONTACT_S = 4.0


def make_fleet(tmp_path, sizes, seed=1):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path, log=base.NullEventLog(), sizes=sizes, seed=seed
    )
    made.start_all()
    made.clock.advance(3.0)
    return made


def whole_share(answers):
    return sum(each.whole for each in answers) / len(answers)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("vms", "rate", "limit", "work_s"),
    # With 30 VMs, each may send less than one request a second. They need the
    # leaf only if the others of its shard are busy.
    [(7, 90, 9.4, 0.005), (7, 90, 20.7, 0.005), (30, 60, 6.0, 0.03)],
)
def test_leaf_gets_more_requests_than_its_limit_from_all_vms_together(
    tmp_path, vms, rate, limit, work_s, seed
):
    # With one zone, every VM uses every leaf.
    sizes = memory_fleet.FleetSizes(
        large=vms, small=0, zones=1, shards=3, work_s=work_s
    )
    fleet = make_fleet(tmp_path, sizes, seed)
    fleet.run_load(seconds=2.0, rate=rate)
    leaf = fleet.leaf_by_id["s0-0"].leaf
    leaf.limit_rate(limit)
    named_at = fleet.clock.monotonic()
    answers = fleet.run_load(seconds=14.0, rate=rate)
    most = leaf.max_requests_in(_WINDOW_S, since=named_at + _CONTACT_S)
    assert most <= 1.5 * _WINDOW_S * limit + 5
    # The leaf takes part, and the shard's other leaves take the rest.
    assert most >= _WINDOW_S * limit / 2
    assert whole_share(answers) >= 0.99


def test_lifted_limit_still_holds_back_requests(tmp_path):
    sizes = memory_fleet.FleetSizes(large=7, small=0, zones=3, shards=3)
    fleet = make_fleet(tmp_path, sizes)
    leaf = fleet.leaf_by_id["s0-0"].leaf
    leaf.limit_rate(3.0)
    fleet.run_load(seconds=6.0, rate=90)
    leaf.limit_rate(None)
    fleet.run_load(seconds=4.0, rate=90)
    lifted_at = fleet.clock.monotonic()
    fleet.run_load(seconds=4.0, rate=90)
    assert leaf.max_requests_in(_WINDOW_S, since=lifted_at) >= 60


def test_demand_after_a_quiet_time_exceeds_a_limit(tmp_path):
    sizes = memory_fleet.FleetSizes(large=30, small=0, zones=3, shards=3)
    fleet = make_fleet(tmp_path, sizes)
    leaf = fleet.leaf_by_id["s0-0"].leaf
    leaf.limit_rate(2.0)
    fleet.run_load(seconds=8.0, rate=60)
    fleet.run_load(seconds=30.0, rate=0.5)
    surge_at = fleet.clock.monotonic()
    fleet.run_load(seconds=8.0, rate=200)
    most = leaf.max_requests_in(_WINDOW_S, since=surge_at)
    assert most <= 1.5 * _WINDOW_S * 2.0 + 5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_vms_without_an_answer_of_a_leaf_do_not_know_its_limit(tmp_path, seed):
    # Guards against VMs that prefer nearer leaves, and all turn to a leaf
    # further away when these fail, without knowing of its limit.
    sizes = memory_fleet.FleetSizes(large=6, small=0, zones=3, shards=3)
    fleet = make_fleet(tmp_path, sizes, seed)
    shard = [fleet.leaf_by_id[f"s0-{k}"].leaf for k in range(3)]
    shard[0].limit_rate(1.8)
    named_at = fleet.clock.monotonic()
    fleet.run_load(seconds=3.6, rate=60)
    for leaf in shard:
        leaf.faults.stopped = True
    fleet.run_load(seconds=3.5, rate=60)
    for leaf in shard:
        leaf.faults.stopped = False
        leaf.resume()
    fleet.run_load(seconds=2.0, rate=60)
    # Health checks are among the requests.
    most = shard[0].max_requests_in(_WINDOW_S, since=named_at + _CONTACT_S)
    assert most <= 1.5 * _WINDOW_S * 1.8 + 5


def test_end_of_a_limit_reaches_vms_without_an_answer(tmp_path):
    # Guards against a limit that other VMs have told of, and that stays.
    sizes = memory_fleet.FleetSizes(large=6, small=0, zones=3, shards=3)
    fleet = make_fleet(tmp_path, sizes)
    leaf = fleet.leaf_by_id["s0-0"].leaf

    def limits():
        return {
            vm.process._leaf_registry.pool_by_id["s0-0"].rate_limit
            for vm in fleet.vms
        }

    leaf.limit_rate(2.0)
    fleet.run_load(seconds=1.0, rate=60)
    assert limits() == {2.0}
    leaf.limit_rate(None)
    fleet.run_load(seconds=4.0, rate=60)
    assert limits() == {None}
