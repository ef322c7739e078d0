"""Membership of real nodes on a virtual clock."""

from standins import fleet
from trefoilpier import board


def _fleet(nodes=7, **options):
    made = fleet.Fleet(
        objects=fleet.simple_objects(shards=2), nodes=nodes, **options
    )
    made.start()
    return made


def _views(made):
    return {
        tuple(each.board.nodes.live_ids) for each in made.node_by_id.values()
    }


def test_all_nodes_see_all_nodes():
    made = _fleet()
    assert _views(made) == {tuple(f"vm-{k + 1}" for k in range(7))}


def test_killed_node_is_dead_everywhere_in_seconds():
    made = _fleet()
    made.kill_node("vm-3")
    made.clock.advance(15.0)
    assert all("vm-3" not in view for view in _views(made))


def test_leaving_node_gets_no_block_at_once():
    made = _fleet()
    made.node_by_id["vm-2"].drain()
    made.clock.advance(0.1)
    others = [n for n in made.node_by_id.values() if n.own.id != "vm-2"]
    assert all("vm-2" not in n.board.nodes.live_ids for n in others)


def test_loss_of_datagrams_kills_nobody():
    made = _fleet()
    made.network.loss = 0.1
    made.clock.advance(120.0)
    assert _views(made) == {tuple(f"vm-{k + 1}" for k in range(7))}


def test_partition_heals_without_an_old_state_coming_back():
    made = _fleet()
    half = {"vm-1", "vm-2", "vm-3"}
    made.network.is_cut = lambda one, other: (one in half) != (other in half)
    made.clock.advance(30.0)
    assert len(_views(made)) == 2
    made.kill_node("vm-7")
    made.clock.advance(30.0)
    made.network.is_cut = lambda one, other: False
    made.clock.advance(60.0)
    assert _views(made) == {tuple(f"vm-{k + 1}" for k in range(6))}


def test_new_process_of_a_killed_node_is_taken_back():
    made = _fleet()
    made.kill_node("vm-3")
    made.clock.advance(20.0)
    made.add_node("vm-3")
    made.clock.advance(5.0)
    assert _views(made) == {tuple(f"vm-{k + 1}" for k in range(7))}


def test_refuted_suspicion_raises_the_incarnation():
    made = _fleet()
    victim = made.node_by_id["vm-1"]
    before = victim.board.nodes.node_by_id["vm-1"].incarnation
    made.network.is_cut = lambda one, other: "vm-1" in (one, other)
    made.clock.advance(2.5)
    made.network.is_cut = lambda one, other: False
    made.clock.advance(20.0)
    assert len(_views(made)) == 1
    after = victim.board.nodes.node_by_id["vm-1"]
    assert after.state == board.NodeState.ALIVE
    assert after.incarnation > before
