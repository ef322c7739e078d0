"""Tests of leaves that say in their answers that they leave."""

import pytest

from standins import memory_tier
from trefoilpier import replicas

# The platform allows requests until this time after such an answer.
_DRAIN_S = 3.0


def make_tier(leaves=3):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route())
    for k in range(leaves):
        tier.add_leaf("s", f"leaf{k}")
    return tier


def run_load(tier, name, *, seconds):
    for k in range(int(seconds * 50)):
        tier.send_request(f"{name}-{k}")
        tier.clock.advance(0.02)


def write_entry_again(tier, leaf_id, **changes):
    """Write the entry of a leaf as its next heartbeat does."""
    entry = tier.registry.pool_by_id[leaf_id].entry
    fields = {name: getattr(entry, name) for name in entry.__slots__}
    tier.registry.put(replicas.LeafEntry(**{**fields, **changes}))


@pytest.mark.parametrize("heartbeats", [False, True])
def test_leaf_that_said_it_leaves_still_gets_requests(heartbeats):
    tier = make_tier()
    leaf = tier.leaf_by_id["leaf0"]
    run_load(tier, "before", seconds=1.0)
    leaf.says_leaving = True
    run_load(tier, "told", seconds=1.0)
    if heartbeats:
        write_entry_again(tier, "leaf0")
    told_at = leaf.last_request_at
    run_load(tier, "after", seconds=5.0)
    assert leaf.last_request_at <= told_at + _DRAIN_S
    assert {each.status for each in tier.answers.values()} == {200}


def test_leaf_that_said_it_leaves_is_used_again_after_its_entry_was_away():
    tier = make_tier()
    leaf = tier.leaf_by_id["leaf0"]
    leaf.says_leaving = True
    run_load(tier, "told", seconds=1.0)
    entry = tier.registry.pool_by_id["leaf0"].entry
    told_at = leaf.last_request_at
    tier.registry.remove_leaf("leaf0")
    tier.registry.put(entry)
    run_load(tier, "after", seconds=5.0)
    assert leaf.last_request_at <= told_at + _DRAIN_S


def test_new_process_under_the_id_of_a_leaf_that_left_gets_no_requests():
    tier = make_tier(leaves=1)
    leaf = tier.leaf_by_id["leaf0"]
    leaf.says_leaving = True
    run_load(tier, "told", seconds=0.5)
    leaf.says_leaving = False
    write_entry_again(tier, "leaf0", incarnation=7)
    tier.send_request("new")
    tier.clock.advance(0.2)
    assert tier.answers["new"].status == 200
