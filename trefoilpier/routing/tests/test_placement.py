"""Rendezvous placement across membership changes, and gatherer order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import fleet
from trefoilpier import base, board, config, routing

_SET = config.build_config_set(
    version=1, objects=fleet.simple_objects(shards=40, block_size=4)
).ok
_GROUP = _SET.shard_group_by_name["items"]


def _set_live_nodes(nodes, node_ids):
    nodes.live_ids = tuple(sorted(node_ids))
    nodes.generation += 1


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sets(st.integers(0, 30), min_size=1), max_size=12))
def test_updated_ranking_equals_a_new_ranking(membership_changes):
    nodes = board.NodeSection(self_id="vm-0")
    placement = routing.Placement(nodes=nodes)
    for live_numbers in membership_changes:
        _set_live_nodes(nodes, [f"vm-{k}" for k in live_numbers])
        for block in _GROUP.blocks:
            expected_ranking = base.rank_nodes(block.id, nodes.live_ids)
            assert placement.gatherers(block, _GROUP) == tuple(
                expected_ranking[: _GROUP.gatherers]
            )


def test_leaving_node_moves_only_its_own_blocks():
    nodes = board.NodeSection(self_id="vm-0")
    placement = routing.Placement(nodes=nodes)
    _set_live_nodes(nodes, [f"vm-{k}" for k in range(7)])
    gatherers_before = {
        b.id: placement.gatherers(b, _GROUP) for b in _GROUP.blocks
    }
    _set_live_nodes(nodes, [f"vm-{k}" for k in range(6)])
    for block in _GROUP.blocks:
        if "vm-6" not in gatherers_before[block.id]:
            assert (
                placement.gatherers(block, _GROUP) == gatherers_before[block.id]
            )


def _placement_of_seven_nodes(*, zones):
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
    _set_live_nodes(nodes, nodes.node_by_id)
    return routing.Placement(nodes=nodes)


def _block_not_held_by_vm_0(placement):
    return next(
        block
        for block in _GROUP.blocks
        if "vm-0" not in placement.gatherers(block, _GROUP)
    )


def test_gatherer_with_the_longest_queue_wait_comes_last():
    # After a node failure, a surviving node sent its load to the nearest of
    # three gatherers, which queued 31 calls while the others had free slots.
    placement = _placement_of_seven_nodes(zones=3)
    block = _block_not_held_by_vm_0(placement)
    nearest = placement.gatherers_by_preference(block, _GROUP)[0]
    order = placement.gatherers_by_preference(
        block,
        _GROUP,
        queue_wait_of=lambda node_id: 0.03 if node_id == nearest else 0.0,
    )
    assert order[-1] == nearest


def test_queries_of_one_sender_spread_over_equal_gatherers():
    placement = _placement_of_seven_nodes(zones=1)
    block = _block_not_held_by_vm_0(placement)
    preferred_gatherers = {
        placement.gatherers_by_preference(block, _GROUP, salt=f"q{index}")[0]
        for index in range(40)
    }
    assert preferred_gatherers == set(placement.gatherers(block, _GROUP))


def test_reported_waits_of_departed_gatherers_expire():
    queries = board.QuerySection()
    queries.record_queue_wait("b", "gone", wait=0.2, now=1.0)
    queries.record_queue_wait("b", "here", wait=0.1, now=1.1)
    assert queries.queue_wait_at("b", "gone", 1.1) == pytest.approx(0.1)
    queries.record_queue_wait("b", "here", wait=0.1, now=1.3)
    assert set(queries.queue_wait_by_gatherer["b"]) == {"here"}
    assert queries.queue_wait_at("b", "gone", 1.3) == 0.0
