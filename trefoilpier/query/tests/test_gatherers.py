"""Queries over several nodes on a virtual clock."""

import pytest

from standins import fleet
from trefoilpier import base, routing


def _fleet(**options):
    values = {"shards": 12, "connection_limit": 2, "block_size": 4}
    values.update(options)
    made = fleet.Fleet(objects=fleet.simple_objects(**values), seed=2)
    made.start()
    return made


def _holders(made):
    return {
        leaf_id: [
            name
            for name, each in made.node_by_id.items()
            if leaf_id in each.board.leaves.state_by_id
        ]
        for leaf_id in made.host_by_leaf
    }


def test_limit_of_two_gives_each_leaf_one_gatherer():
    made = _fleet()
    assert {len(names) for names in _holders(made).values()} == {1}
    assert all(host.peak <= 2 for host in made.host_by_leaf.values())


def test_query_through_gatherers_covers_every_shard():
    made = _fleet()
    for name in made.node_by_id:
        final = made.ask(name, "search")
        assert final.code == base.ResultCode.COMPLETE
        assert final.coverage.answered == 12


def test_reservation_through_a_gatherer_runs_once():
    made = _fleet()
    for index in range(12):
        final = made.ask("vm-1", "reserve", key=f"k{index}", route=f"r{index}")
        again = made.ask("vm-2", "reserve", key=f"k{index}", route=f"r{index}")
        assert final.ran == base.Ran.YES
        assert again.code == base.ResultCode.REPLAYED
    runs = [
        run.key
        for host in made.host_by_leaf.values()
        for run in host.model.ledger
    ]
    assert sorted(runs) == sorted({f"k{index}" for index in range(12)})


def test_killed_gatherer_is_replaced():
    made = _fleet()
    victim = _holders(made)["leaf-0-0"][0]
    made.kill_node(victim)
    made.clock.advance(10.0)
    asker = next(iter(made.node_by_id))
    final = made.ask(asker, "search")
    assert final.coverage.answered == 12
    assert all(host.peak <= 2 for host in made.host_by_leaf.values())


def test_frozen_gatherer_is_reported_as_missing_not_as_covered():
    made = _fleet(deadline="320ms")
    victim = _holders(made)["leaf-0-0"][0]
    asker = next(name for name in made.node_by_id if name != victim)
    made.ask(asker, "search")
    made.network.is_cut = lambda one, other: victim in (one, other)
    final = made.ask(asker, "search")
    missing = final.coverage.reason_by_missing
    assert final.coverage.answered + len(missing) == 12
    assert missing
    assert set(missing.values()) <= {
        routing.MissReason.LATE,
        routing.MissReason.NO_GATHERER,
    }


def test_second_gatherer_is_asked_when_the_first_is_lost():
    made = _fleet(connection_limit=25, gatherers=2)
    for name in made.node_by_id:
        made.ask(name, "search")
    asker = "vm-1"
    held = {
        block.id
        for block in made.set.shard_group_by_name["items"].blocks
        if made.node_by_id[asker].placement.holds(
            block, made.set.shard_group_by_name["items"]
        )
    }
    assert len(held) < 3
    others = [n for n in made.node_by_id if n != asker]
    made.network.is_cut = lambda one, other: others[0] in (one, other)
    final = made.ask(asker, "search")
    assert final.coverage.answered == 12


@pytest.mark.parametrize("version", [2, 3])
def test_index_version_change_is_followed(version):
    made = _fleet()
    for host in made.host_by_leaf.values():
        host.model.setup.versions = [1, version]
    made.clock.advance(3.0)
    assert made.ask("vm-1", "search").coverage.answered == 12
    for host in made.host_by_leaf.values():
        host.model.setup.versions = [version]
    for name in made.node_by_id:
        final = made.ask(name, "search")
        assert final.coverage.answered == 12
        assert final.snapshot.index_version == version


def test_caller_that_leaves_withdraws_its_calls():
    made = _fleet()
    node = made.node_by_id["vm-1"]
    outcomes = []
    made.request("vm-1", "search", on_done=outcomes.append)
    assert node.board.queries.in_flight == 1
    made.clock.advance(5.0)
    assert node.board.queries.in_flight == 0
    assert node.idle()


def test_gatherer_that_could_serve_nothing_is_asked_again():
    # The word "nothing can be served", heard while leaves moved to another
    # partitioning, was remembered for good, and every query was refused.
    made = _fleet(shards=4)
    holder = _holders(made)["leaf-0-0"][0]
    asker = next(name for name in made.node_by_id if name != holder)
    for host in made.host_by_leaf.values():
        host.model.setup.epoch = 2
    made.clock.advance(3.0)
    refused = made.ask(asker, "search")
    assert refused.code == base.ResultCode.NO_LEAF
    assert refused.ran == base.Ran.NO
    for host in made.host_by_leaf.values():
        host.model.setup.epoch = 1
    made.clock.advance(3.0)
    assert made.ask(asker, "search").coverage.answered == 4


def test_gatherer_answers_a_sender_that_it_does_not_know_yet():
    # While a fleet starts, a node can be asked by one whose record has not
    # reached it; the answer was dropped, and the shards were late.
    made = _fleet(shards=4)
    holder = _holders(made)["leaf-0-0"][0]
    asker = next(name for name in made.node_by_id if name != holder)
    del made.node_by_id[holder].board.nodes.node_by_id[asker]
    made.network.loss = 1.0
    final = made.ask(asker, "search")
    assert final.coverage.answered == 4
