"""Rendezvous placement while nodes come and go."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import fleet
from trefoilpier import base, board, config, routing

_SET = config.build_config_set(
    version=1, objects=fleet.simple_objects(shards=40, block_size=4)
).ok
_GROUP = _SET.shard_group_by_name["items"]


def _set_live(nodes, names):
    nodes.live_ids = tuple(sorted(names))
    nodes.generation += 1


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sets(st.integers(0, 30), min_size=1), max_size=12))
def test_kept_ranking_equals_a_fresh_one(steps):
    nodes = board.NodeSection(self_id="vm-0")
    placement = routing.Placement(nodes=nodes)
    for live in steps:
        _set_live(nodes, [f"vm-{k}" for k in live])
        for block in _GROUP.blocks:
            ranked = base.rank_nodes(block.id, nodes.live_ids)
            assert placement.gatherers(block, _GROUP) == tuple(
                ranked[: _GROUP.gatherers]
            )


def test_one_node_less_moves_only_its_blocks():
    nodes = board.NodeSection(self_id="vm-0")
    placement = routing.Placement(nodes=nodes)
    _set_live(nodes, [f"vm-{k}" for k in range(7)])
    before = {b.id: placement.gatherers(b, _GROUP) for b in _GROUP.blocks}
    _set_live(nodes, [f"vm-{k}" for k in range(6)])
    for block in _GROUP.blocks:
        if "vm-6" not in before[block.id]:
            assert placement.gatherers(block, _GROUP) == before[block.id]


def _seven_nodes(*, zones):
    nodes = board.NodeSection(self_id="vm-0")
    for index in range(7):
        node_id = f"vm-{index}"
        nodes.node_by_id[node_id] = board.NodeRecord(
            id=node_id,
            host="127.0.0.1",
            peer_port=1,
            caller_port=2,
            region="r",
            zone=f"z{index % zones}",
            incarnation=1,
        )
    _set_live(nodes, nodes.node_by_id)
    return routing.Placement(nodes=nodes)


def _remote_block(placement):
    return next(
        block
        for block in _GROUP.blocks
        if "vm-0" not in placement.gatherers(block, _GROUP)
    )


def test_gatherer_where_calls_wait_is_asked_last():
    # A survivor's load went to the nearest gatherer of three, which queued
    # 31 calls while the others had free slots.
    placement = _seven_nodes(zones=3)
    block = _remote_block(placement)
    nearest = placement.preferred(block, _GROUP)[0]
    order = placement.preferred(
        block,
        _GROUP,
        wait_of=lambda node_id: 0.03 if node_id == nearest else 0.0,
    )
    assert order[-1] == nearest


def test_queries_of_one_sender_spread_over_gatherers_of_equal_cost():
    placement = _seven_nodes(zones=1)
    block = _remote_block(placement)
    firsts = {
        placement.preferred(block, _GROUP, salt=f"q{index}")[0]
        for index in range(40)
    }
    assert firsts == set(placement.gatherers(block, _GROUP))


def test_words_of_gatherers_that_are_gone_are_dropped():
    queries = board.QuerySection()
    queries.learn_wait("b", "gone", wait=0.2, now=1.0)
    queries.learn_wait("b", "here", wait=0.1, now=1.1)
    assert queries.wait_at("b", "gone", 1.1) == pytest.approx(0.1)
    queries.learn_wait("b", "here", wait=0.1, now=1.3)
    assert set(queries.wait_by_gatherer["b"]) == {"here"}
    assert queries.wait_at("b", "gone", 1.3) == 0.0
