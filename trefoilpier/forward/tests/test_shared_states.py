"""Tests of what requests to a service share across versions of the routes."""

import pytest

from standins import memory_tier
from trefoilpier import routes

_BUDGET_WINDOW_S = 10.0


def route_to(service):
    return memory_tier.make_route(
        targets=(routes.WeightedService(name=service, weight=1.0),)
    )


def make_busy(waiting, *, work_s=0.3):
    """Return a VM whose leaf is busy, and for which some calls wait."""
    tier = memory_tier.MemoryTier()
    # A third of the connections is for this VM.
    tier.set_routes(route_to("s"), connections=3)
    tier.add_leaf("s", "leaf0", work_s=work_s)
    tier.add_leaf("t", "leaf1")
    tier.send_request("busy", wait_s=0.9)
    tier.clock.advance(0.02)
    for k in range(waiting):
        tier.send_request(f"wait{k}", wait_s=0.9)
    tier.clock.advance(0.02)
    assert tier.engine.queue_for("s").count == waiting
    return tier


def move_away(tier):
    """Bring two versions into force that do not name the service."""
    tier.set_routes(route_to("t"))
    tier.set_routes(route_to("t"))


@pytest.mark.parametrize("waiting", [1, 2, 3])
def test_route_that_is_moved_back_is_answered(waiting):
    # Guards against calls that leave another queue than they have entered: its
    # count went below 0, and each request on the route failed in the admission.
    tier = make_busy(waiting)
    move_away(tier)
    tier.clock.advance(2.0)
    tier.set_routes(route_to("s"))
    for k in range(20):
        tier.send_request(f"back{k}")
        tier.clock.advance(0.4)
    answers = [tier.answers[f"back{k}"] for k in range(20)]
    assert {each.status for each in answers} == {200}
    assert tier.engine.queue_for("s").count == 0


def test_call_that_waits_is_started_after_its_service_left_the_routes():
    # Guards against calls that wait until their deadline in a queue which
    # nobody looks at any more.
    tier = make_busy(2)
    move_away(tier)
    tier.clock.advance(0.9)
    answers = [tier.answers[f"wait{k}"] for k in range(2)]
    assert {each.status for each in answers} == {200}


def test_budget_of_a_service_that_returns_is_not_renewed():
    # Guards against a budget that forgets what its window has spent.
    tier = make_busy(0)
    spent = 0
    while tier.engine.budget_for("s").try_acquire():
        spent += 1
    assert spent
    move_away(tier)
    tier.set_routes(route_to("s"))
    assert not tier.engine.budget_for("s").try_acquire()
    move_away(tier)
    tier.clock.advance(_BUDGET_WINDOW_S + 1.0)
    move_away(tier)
    assert "s" not in tier.engine._states.budget_by_service
    assert "s" not in tier.engine._states.queue_by_service
