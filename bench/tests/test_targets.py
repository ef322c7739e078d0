"""The users' bounds at a virtual clock, on short runs with fixed seeds."""

import pytest

from bench import control, decisions


def _straggling(deployment):
    made = decisions.make_fleet(deployment)
    leaves = decisions.leaves_of(made, deployment.service)
    made.host_by_leaf[leaves[0]].model.faults.slow_factor = 20.0
    for leaf_id in leaves:
        made.host_by_leaf[leaf_id].model.faults.straggle_share = 0.01
    return made


@pytest.mark.parametrize("deployment", decisions.DEPLOYMENTS)
def test_straggler_bounds(deployment):
    made = _straggling(deployment)
    load = decisions.make_load(made, deployment)
    load.run(rate=100.0, seconds=2.0)
    seen = load.run(rate=100.0, seconds=2.0)
    assert seen.percentile_ms(99) <= decisions.LATENCY_MOST_MS
    assert seen.extra_load <= decisions.EXTRA_MOST
    assert seen.answered_share >= 0.99


def test_coverage_is_whole_while_a_replica_lives():
    hanoi = decisions.DEPLOYMENTS[1]
    made = _straggling(hanoi)
    load = decisions.make_load(made, hanoi)
    seen = load.run(rate=100.0, seconds=3.0)
    assert seen.whole == seen.sent


def test_overload_bounds():
    ulaanbaatar = decisions.DEPLOYMENTS[0]
    goodput = {}
    for factor in (1.0, 2.0):
        made = decisions.make_fleet(ulaanbaatar)
        load = decisions.make_load(made, ulaanbaatar)
        rate = factor * ulaanbaatar.full_rate
        load.run(rate=rate, seconds=0.5)
        seen = load.run(rate=rate, seconds=1.0)
        goodput[factor] = seen.answers
        assert seen.refusal_ms(99) <= 20.0
        assert seen.ran_but_refused == 0
        assert seen.leaf_calls <= 1.1 * seen.first_calls
    assert goodput[2.0] >= 0.9 * max(goodput.values())


@pytest.mark.parametrize("loss", [0.0, 0.01, 0.05])
def test_change_is_in_force_within_the_bound(loss):
    for figure in control.in_force(20, loss):
        assert figure.holds is not False, figure


def test_control_bytes_stay_within_the_bound():
    for figure in control.under_changes(7):
        if figure.unit == "B/s/node":
            assert figure.holds, figure
