"""Tests of leaves that refuse requests and say when to come back."""

import pytest

from standins import memory_tier

# The platform allows two requests from this time after such an answer until
# the leaf wants requests again.
_MARGIN_S = 0.5
_REQUESTS_MAX = 2
_RATE = 50.0  # Requests a second.


@pytest.mark.parametrize("leaves", [1, 3])
@pytest.mark.parametrize("rest_s", [1.5, 4.0])
def test_leaf_that_asked_for_rest_gets_requests_before_its_end(leaves, rest_s):
    tier = memory_tier.make_with_one_service(leaves)
    leaf = tier.leaf_by_id["leaf0"]
    leaf.rest_s, leaf.faults.shed_share = rest_s, 1.0
    while not leaf.refused:
        tier.run_load(f"told{len(tier.answers)}", seconds=0.02, rate=_RATE)
    told_at = leaf.last_request_at
    leaf.faults.shed_share = 0.0
    tier.run_load("after", seconds=rest_s + 10.0, rate=_RATE)
    early = [
        at
        for at in leaf.request_times
        if told_at + _MARGIN_S < at < told_at + rest_s
    ]
    assert len(early) <= _REQUESTS_MAX
    # It is used again once it wants requests.
    assert leaf.last_request_at > told_at + rest_s
    if leaves > 1:
        assert {each.status for each in tier.answers.values()} == {200}


def test_request_waits_in_vain_for_leaves_that_all_asked_for_rest():
    tier = memory_tier.make_with_one_service(2)
    for leaf in tier.leaves_of("s"):
        leaf.rest_s, leaf.faults.shed_share = 3.0, 1.0
    tier.run_load("told", seconds=1.0, rate=_RATE)
    tier.send_request("late", wait_s=1.0)
    tier.clock.advance(0.05)
    assert tier.answers["late"].status == 503


def test_request_is_refused_although_a_leaf_takes_it_in_time():
    tier = memory_tier.make_with_one_service(1)
    leaf = tier.leaf_by_id["leaf0"]
    leaf.rest_s, leaf.faults.shed_share = 0.5, 1.0
    tier.send_request("told")
    tier.clock.advance(0.1)
    leaf.faults.shed_share = 0.0
    tier.send_request("waits", wait_s=2.0)
    tier.clock.advance(1.0)
    assert tier.answers["waits"].status == 200
