"""Tests of the users' bounds in short simulated runs with fixed seeds."""

import pytest

from bench import control, decisions


def _make_straggling_fleet(deployment):
    sim_fleet = decisions.make_fleet(deployment)
    leaves = decisions.leaves_of(sim_fleet, deployment.service)
    sim_fleet.host_by_leaf[leaves[0]].model.faults.slow_factor = 20.0
    for leaf_id in leaves:
        sim_fleet.host_by_leaf[leaf_id].model.faults.straggle_share = 0.01
    return sim_fleet


@pytest.mark.parametrize("deployment", decisions.DEPLOYMENTS)
def test_straggler_bounds(deployment):
    sim_fleet = _make_straggling_fleet(deployment)
    load = decisions.make_load(sim_fleet, deployment)
    load.run(rate=100.0, seconds=2.0)
    result = load.run(rate=100.0, seconds=2.0)
    assert result.latency_percentile_ms(99) <= decisions.LATENCY_MAX_MS
    assert result.extra_load <= decisions.EXTRA_LOAD_MAX
    assert result.answered_share >= 0.99


def test_coverage_is_full_while_each_shard_has_a_live_replica():
    hanoi = decisions.DEPLOYMENTS[1]
    sim_fleet = _make_straggling_fleet(hanoi)
    load = decisions.make_load(sim_fleet, hanoi)
    result = load.run(rate=100.0, seconds=3.0)
    assert result.full_answers == result.sent


def test_overload_bounds():
    ulaanbaatar = decisions.DEPLOYMENTS[0]
    goodput = {}
    for factor in (1.0, 2.0):
        sim_fleet = decisions.make_fleet(ulaanbaatar)
        load = decisions.make_load(sim_fleet, ulaanbaatar)
        rate = factor * ulaanbaatar.full_rate
        load.run(rate=rate, seconds=0.5)
        result = load.run(rate=rate, seconds=1.0)
        goodput[factor] = result.answers
        assert result.refusal_percentile_ms(99) <= 20.0
        assert result.refused_but_ran == 0
        assert result.leaf_calls <= 1.1 * result.required_calls
    assert goodput[2.0] >= 0.9 * max(goodput.values())


@pytest.mark.parametrize("loss", [0.0, 0.01, 0.05])
def test_change_propagates_within_the_bound(loss):
    for figure in control.propagation(20, loss):
        assert figure.holds is not False, figure


def test_control_traffic_stays_within_the_bound():
    for figure in control.under_changes(7):
        if figure.unit == "B/s/node":
            assert figure.holds, figure
