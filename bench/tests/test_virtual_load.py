"""Tests that simulated benchmarks are reproducible for a seed."""

from bench import virtual_load
from standins import fleet


def _run():
    sim_fleet = fleet.Fleet(objects=fleet.simple_objects(shards=4), seed=3)
    sim_fleet.start()
    load = virtual_load.VirtualLoad(target=sim_fleet, service="search", seed=3)
    return load.run(rate=50.0, seconds=1.0)


def test_same_seed_gives_the_same_result():
    first, second = _run(), _run()
    assert first.sent == second.sent > 20
    assert first.outcomes == second.outcomes
    assert first.leaf_calls == second.leaf_calls


def test_load_without_faults_is_answered_completely():
    result = _run()
    assert result.answers == result.full_answers == result.sent
