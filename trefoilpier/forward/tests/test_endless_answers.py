"""Tests of leaves whose answers never end."""

import pytest

from standins import memory_tier, opaque_leaf


def run_load(tier, target, *, count, method="GET"):
    for k in range(count):
        tier.send_request(f"q{k}", target, method=method)
        tier.clock.advance(0.02)
    tier.clock.advance(2.0)
    return list(tier.answers.values())


def buffered_bytes(tier):
    """Return the bytes of incomplete responses that the VM holds."""
    return sum(
        transport.protocol._body.size_bytes
        for transport in tier.net.transports
        if transport.connected and transport.protocol.busy
    )


@pytest.mark.parametrize("part", list(opaque_leaf.EndlessPart))
def test_gather_waits_for_an_answer_that_never_ends(part):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_gather_route(10))
    for shard in range(10):
        for k in range(3):
            tier.add_leaf(f"shard{shard}", f"leaf{shard}-{k}")
    tier.leaf_by_id["leaf0-0"].faults.endless = part
    answers = run_load(tier, "/s/1", count=200)
    assert {each.status for each in answers} == {200}
    assert max(each.took_s for each in answers) < 0.12
    # No connection goes on receiving after its request.
    assert buffered_bytes(tier) == 0


@pytest.mark.parametrize("part", list(opaque_leaf.EndlessPart))
def test_request_without_a_second_leaf_has_no_final_answer(part):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route(repeatable=False))
    leaf = tier.add_leaf("s", "leaf0")
    leaf.faults.endless = part
    answers = run_load(tier, "/s/1", count=1, method="POST")
    assert [each.status for each in answers] == [504]
    assert tier.runs_of("q0") == 1


@pytest.mark.parametrize("part", list(opaque_leaf.EndlessPart))
def test_answers_that_never_end_fill_the_memory(part):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_gather_route(20))
    for shard in range(20):
        leaf = tier.add_leaf(f"shard{shard}", f"leaf{shard}")
        leaf.faults.endless = part
        # A link of 1 Gbit/s.
        leaf.faults.endless_rate = 125_000_000 // 20
    most = 0
    for k in range(40):
        tier.send_request(f"q{k}")
        tier.clock.advance(0.05)
        most = max(most, buffered_bytes(tier))
    # A quarter of a small VM.
    assert most <= 75_000_000
