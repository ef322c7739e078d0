"""Tests of whether a leaf is in contact."""

import pytest

from standins import memory_tier


def make_tier(monkeypatch):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route(repeatable=False))
    leaf = tier.add_leaf("s", "leaf0")

    def reset(exchange):
        exchange.connection.abort()

    return tier, lambda: monkeypatch.setattr(
        type(leaf), "handle", lambda self, exchange: reset(exchange)
    )


@pytest.mark.parametrize("idle_s", [0.0, 5.0])
def test_leaf_that_resets_each_new_connection_is_in_contact(
    monkeypatch, idle_s
):
    tier, begin_resets = make_tier(monkeypatch)
    tier.send_request("before")
    tier.clock.advance(0.1 + idle_s)
    assert not tier.registry.is_out_of_contact("s")
    begin_resets()
    # The first may use the open connection, whose loss tells nothing.
    for k in range(2):
        tier.send_request(f"reset{k}")
        tier.clock.advance(0.1)
    assert tier.registry.is_out_of_contact("s")
    monkeypatch.undo()
    tier.registry.pool_by_id["leaf0"].stats.end_ejection()
    tier.send_request("after")
    tier.clock.advance(0.1)
    assert tier.answers["after"].status == 200
    assert not tier.registry.is_out_of_contact("s")
