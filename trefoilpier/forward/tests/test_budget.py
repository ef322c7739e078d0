"""Tests of the budget of retries and hedges."""

import pytest

from trefoilpier import base, forward

LIMITS = forward.RetryBudgetLimits(share=0.2, window_s=10.0, allowance=56.0)
VMS = 8
STEP_S = 0.1


def play(seconds, restart_at=None, reserved_share=0.0):
    """Return requests and extra sends of all VMs by step.

    Each VM gets ten requests a second and would hedge each of them.
    """
    clock = base.VirtualClock(start=50.0)

    def start_vms():
        return [
            LIMITS.make_budget(clock, VMS, clock.monotonic())
            for _ in range(VMS)
        ]

    budgets = start_vms()
    requests, extra = [], []
    for step in range(round(seconds / STEP_S)):
        if restart_at is not None and step == round(restart_at / STEP_S):
            budgets = start_vms()
        for budget in budgets:
            budget.record_request()
        requests.append(VMS)
        extra.append(
            sum(
                budget.try_acquire(reserved_share=reserved_share)
                for budget in budgets
            )
        )
        clock.advance(STEP_S)
    return requests, extra


def worst_excess(requests, extra):
    """Return the largest excess of a window over what the platform allows."""
    width = round(LIMITS.window_s / STEP_S)
    return max(
        sum(extra[k : k + width])
        - LIMITS.share * sum(requests[k : k + width])
        - LIMITS.allowance
        for k in range(len(requests) - width + 1)
    )


def test_extra_sends_of_all_vms_stay_within_the_limits():
    requests, extra = play(40.0)
    assert worst_excess(requests, extra) <= 0
    allowed = LIMITS.share * sum(requests[-100:]) + LIMITS.allowance
    assert sum(extra[-100:]) > 0.8 * allowed


def test_hedges_alone_get_most_of_what_the_platform_allows():
    # One of the two leaves left to a shard is slow and the other one pauses:
    # nearly all calls to it are late, and few fail.
    reserved_share = forward.ForwardPolicy().hedge_reserved_share
    requests, extra = play(40.0, reserved_share=reserved_share)
    allowed = LIMITS.share * sum(requests[-100:]) + LIMITS.allowance
    assert sum(extra[-100:]) >= 0.6 * allowed


@pytest.mark.parametrize("restart_at", [20.0, 21.5, 25.0])
def test_restart_of_all_vms_does_not_exceed_the_limits(restart_at):
    # The VMs have spent all that they may, and do so again after the restart.
    assert worst_excess(*play(40.0, restart_at)) <= 0


def test_allowance_of_a_vm_that_starts_accrues_within_a_window():
    clock = base.VirtualClock()
    budget = LIMITS.make_budget(clock, 1, clock.monotonic())
    spent = sum(budget.try_acquire() for _ in range(100))
    assert 0 < spent < 0.3 * LIMITS.allowance
    clock.advance(LIMITS.window_s + 1.0)
    assert sum(budget.try_acquire() for _ in range(100)) > 0.8 * (
        LIMITS.allowance
    )


def test_reserved_share_is_left_for_retries():
    clock = base.VirtualClock()
    budget = LIMITS.make_budget(clock, 1, -100.0)
    hedges = sum(budget.try_acquire(reserved_share=0.5) for _ in range(100))
    retries = sum(budget.try_acquire() for _ in range(100))
    assert hedges == pytest.approx(retries, abs=1)
