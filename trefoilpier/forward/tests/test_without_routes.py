"""Tests of requests to a VM that has no routes yet.

After a loss of all VMs, callers' only retries arrive before the routes do.
"""

import pytest

from standins import memory_tier
from trefoilpier import http1
from trefoilpier.forward import admission


def state(*, failed, waited_s=0.0, left_s=1.2):
    return admission.StartupState(
        read_failed=failed, waited_s=waited_s, time_left_s=left_s
    )


def test_request_waits_for_the_first_read_for_a_short_time():
    assert admission.admit_without_routes(state(failed=False)) is None
    assert admission.admit_without_routes(state(failed=False, waited_s=0.05))


@pytest.mark.parametrize(
    ("left_s", "expected"), [(1.2, 0.36), (0.6, 0.18), (4.0, 1.0)]
)
def test_retry_during_an_outage_is_as_late_as_it_can_be(left_s, expected):
    refusal = admission.admit_without_routes(state(failed=True, left_s=left_s))
    assert refusal.retry_after_s == pytest.approx(expected)


def make():
    tier = memory_tier.MemoryTier()
    tier.add_leaf("s", "leaf0")
    return tier


def test_request_is_served_once_the_routes_arrive():
    tier = make()
    tier.send_request("q1")
    tier.clock.advance(0.015)
    tier.set_routes(memory_tier.make_route())
    tier.clock.advance(0.2)
    assert tier.answers["q1"].status == 200
    assert tier.answers["q1"].took_s < 0.06


def test_request_is_refused_at_once_during_an_outage_of_the_store():
    tier = make()
    tier.engine.route_read_failed = lambda: True
    tier.send_request("q1", wait_s=1.2)
    tier.clock.advance(0.5)
    answer = tier.answers["q1"]
    assert answer.status == 503
    assert answer.took_s < 0.01
    assert float(http1.find_header(answer.headers, b"retry-after")) > 0.3


def test_request_is_refused_soon_if_the_store_stays_silent():
    tier = make()
    tier.send_request("q1")
    tier.clock.advance(0.5)
    assert tier.answers["q1"].status == 503
    assert tier.answers["q1"].took_s < 0.06


def test_caller_that_leaves_before_the_routes_is_forgotten():
    tier = make()
    tier.send_request("q1")
    tier.clock.advance(0.005)
    tier.net.transports[0].abortConnection()
    tier.clock.advance(0.01)
    tier.set_routes(memory_tier.make_route())
    tier.clock.advance(0.2)
    assert tier.runs_of("q1") == 0
