"""Tests of leaves that say in their answers that they leave."""

import pytest

from standins import memory_tier
from trefoilpier import replicas

# The platform allows requests until this time after such an answer.
_DRAIN_S = 3.0
_RATE = 50.0  # Requests a second.


def write_entry_again(tier, leaf_id, **changes):
    """Write the entry of a leaf as its next heartbeat does."""
    entry = tier.registry.pool_by_id[leaf_id].entry
    fields = {name: getattr(entry, name) for name in entry.__slots__}
    tier.registry.put(replicas.LeafEntry(**{**fields, **changes}))


@pytest.mark.parametrize("heartbeats", [False, True])
def test_leaf_that_said_it_leaves_still_gets_requests(heartbeats):
    tier = memory_tier.make_with_one_service(3)
    leaf = tier.leaf_by_id["leaf0"]
    tier.run_load("before", seconds=1.0, rate=_RATE)
    leaf.says_leaving = True
    tier.run_load("told", seconds=1.0, rate=_RATE)
    if heartbeats:
        write_entry_again(tier, "leaf0")
    told_at = leaf.last_request_at
    tier.run_load("after", seconds=5.0, rate=_RATE)
    assert leaf.last_request_at <= told_at + _DRAIN_S
    assert {each.status for each in tier.answers.values()} == {200}


def test_leaf_that_said_it_leaves_is_used_again_after_its_entry_was_away():
    tier = memory_tier.make_with_one_service(3)
    leaf = tier.leaf_by_id["leaf0"]
    leaf.says_leaving = True
    tier.run_load("told", seconds=1.0, rate=_RATE)
    entry = tier.registry.pool_by_id["leaf0"].entry
    told_at = leaf.last_request_at
    tier.registry.remove_leaf("leaf0")
    tier.registry.put(entry)
    tier.run_load("after", seconds=5.0, rate=_RATE)
    assert leaf.last_request_at <= told_at + _DRAIN_S


def test_new_process_under_the_id_of_a_leaf_that_left_gets_no_requests():
    tier = memory_tier.make_with_one_service(1)
    leaf = tier.leaf_by_id["leaf0"]
    leaf.says_leaving = True
    tier.run_load("told", seconds=0.5, rate=_RATE)
    leaf.says_leaving = False
    write_entry_again(tier, "leaf0", incarnation=7)
    tier.send_request("new")
    tier.clock.advance(0.2)
    assert tier.answers["new"].status == 200
