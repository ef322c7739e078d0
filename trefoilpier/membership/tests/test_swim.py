"""Membership protocol of simulated nodes on a virtual clock."""

from standins import fleet
from trefoilpier import board


def _start_fleet(nodes=7, **options):
    sim_fleet = fleet.Fleet(
        objects=fleet.simple_objects(shards=2), nodes=nodes, **options
    )
    sim_fleet.start()
    return sim_fleet


def _live_views(sim_fleet):
    return {
        tuple(node.board.nodes.live_ids)
        for node in sim_fleet.node_by_id.values()
    }


def test_every_node_sees_all_nodes_live():
    sim_fleet = _start_fleet()
    assert _live_views(sim_fleet) == {tuple(f"vm-{k + 1}" for k in range(7))}


def test_killed_node_is_dead_on_all_nodes_in_15_seconds():
    sim_fleet = _start_fleet()
    sim_fleet.kill_node("vm-3")
    sim_fleet.clock.advance(15.0)
    assert all("vm-3" not in view for view in _live_views(sim_fleet))


def test_leaving_node_is_excluded_from_placement_in_100_ms():
    sim_fleet = _start_fleet()
    sim_fleet.node_by_id["vm-2"].drain()
    sim_fleet.clock.advance(0.1)
    others = [
        n for n in sim_fleet.node_by_id.values() if n.own_record.id != "vm-2"
    ]
    assert all("vm-2" not in n.board.nodes.live_ids for n in others)


def test_datagram_loss_does_not_make_nodes_dead():
    sim_fleet = _start_fleet()
    sim_fleet.network.loss = 0.1
    sim_fleet.clock.advance(120.0)
    assert _live_views(sim_fleet) == {tuple(f"vm-{k + 1}" for k in range(7))}


def test_healed_partition_does_not_revive_a_dead_node():
    sim_fleet = _start_fleet()
    one_side = {"vm-1", "vm-2", "vm-3"}
    sim_fleet.network.is_partitioned = lambda sender, receiver: (
        (sender in one_side) != (receiver in one_side)
    )
    sim_fleet.clock.advance(30.0)
    assert len(_live_views(sim_fleet)) == 2
    sim_fleet.kill_node("vm-7")
    sim_fleet.clock.advance(30.0)
    sim_fleet.network.is_partitioned = lambda sender, receiver: False
    sim_fleet.clock.advance(60.0)
    assert _live_views(sim_fleet) == {tuple(f"vm-{k + 1}" for k in range(6))}


def test_restarted_node_rejoins():
    sim_fleet = _start_fleet()
    sim_fleet.kill_node("vm-3")
    sim_fleet.clock.advance(20.0)
    sim_fleet.add_node("vm-3")
    sim_fleet.clock.advance(5.0)
    assert _live_views(sim_fleet) == {tuple(f"vm-{k + 1}" for k in range(7))}


def test_refuted_suspicion_raises_the_incarnation():
    sim_fleet = _start_fleet()
    suspected_node = sim_fleet.node_by_id["vm-1"]
    incarnation_before = suspected_node.board.nodes.node_by_id[
        "vm-1"
    ].incarnation
    sim_fleet.network.is_partitioned = lambda sender, receiver: (
        "vm-1" in (sender, receiver)
    )
    sim_fleet.clock.advance(2.5)
    sim_fleet.network.is_partitioned = lambda sender, receiver: False
    sim_fleet.clock.advance(20.0)
    assert len(_live_views(sim_fleet)) == 1
    record_after = suspected_node.board.nodes.node_by_id["vm-1"]
    assert record_after.state == board.NodeState.ALIVE
    assert record_after.incarnation > incarnation_before
