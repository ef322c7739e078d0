"""Tests of queries across several nodes, on a virtual clock."""

import pytest

from standins import fleet
from trefoilpier import base, routing


def _start_fleet(**options):
    object_options = {"shards": 12, "connection_limit": 2, "block_size": 4}
    object_options.update(options)
    cluster = fleet.Fleet(
        objects=fleet.simple_objects(**object_options), seed=2
    )
    cluster.start()
    return cluster


def _gatherers_by_leaf(cluster):
    return {
        leaf_id: [
            name
            for name, member in cluster.node_by_id.items()
            if leaf_id in member.board.leaves.state_by_id
        ]
        for leaf_id in cluster.host_by_leaf
    }


def test_connection_limit_of_two_allows_one_gatherer_per_leaf():
    cluster = _start_fleet()
    assert {len(names) for names in _gatherers_by_leaf(cluster).values()} == {1}
    assert all(host.peak <= 2 for host in cluster.host_by_leaf.values())


def test_query_through_gatherers_covers_every_shard():
    cluster = _start_fleet()
    for name in cluster.node_by_id:
        outcome = cluster.request_and_wait(name, "search")
        assert outcome.code == base.ResultCode.COMPLETE
        assert outcome.coverage.answered == 12


def test_reservation_through_a_gatherer_runs_once():
    cluster = _start_fleet()
    for index in range(12):
        outcome = cluster.request_and_wait(
            "vm-1", "reserve", key=f"k{index}", route=f"r{index}"
        )
        retry = cluster.request_and_wait(
            "vm-2", "reserve", key=f"k{index}", route=f"r{index}"
        )
        assert outcome.ran == base.Ran.YES
        assert retry.code == base.ResultCode.REPLAYED
    runs = [
        run.key
        for host in cluster.host_by_leaf.values()
        for run in host.model.ledger
    ]
    assert sorted(runs) == sorted({f"k{index}" for index in range(12)})


def test_killed_gatherer_is_replaced():
    cluster = _start_fleet()
    failed_gatherer = _gatherers_by_leaf(cluster)["leaf-0-0"][0]
    cluster.kill_node(failed_gatherer)
    cluster.clock.advance(10.0)
    entry_node = next(iter(cluster.node_by_id))
    outcome = cluster.request_and_wait(entry_node, "search")
    assert outcome.coverage.answered == 12
    assert all(host.peak <= 2 for host in cluster.host_by_leaf.values())


def test_shards_of_unreachable_gatherer_are_reported_missing():
    cluster = _start_fleet(deadline="320ms")
    failed_gatherer = _gatherers_by_leaf(cluster)["leaf-0-0"][0]
    entry_node = next(
        name for name in cluster.node_by_id if name != failed_gatherer
    )
    cluster.request_and_wait(entry_node, "search")
    cluster.network.is_partitioned = lambda first, second: (
        failed_gatherer in (first, second)
    )
    outcome = cluster.request_and_wait(entry_node, "search")
    missing = outcome.coverage.reason_by_missing
    assert outcome.coverage.answered + len(missing) == 12
    assert missing
    assert set(missing.values()) <= {
        routing.MissReason.LATE,
        routing.MissReason.NO_GATHERER,
    }


def test_second_gatherer_is_asked_when_first_is_unreachable():
    cluster = _start_fleet(connection_limit=25, gatherers=2)
    for name in cluster.node_by_id:
        cluster.request_and_wait(name, "search")
    entry_node = "vm-1"
    local_block_ids = {
        block.id
        for block in cluster.config_set.shard_group_by_name["items"].blocks
        if cluster.node_by_id[entry_node].placement.is_gatherer(
            block, cluster.config_set.shard_group_by_name["items"]
        )
    }
    assert len(local_block_ids) < 3
    others = [n for n in cluster.node_by_id if n != entry_node]
    cluster.network.is_partitioned = lambda first, second: (
        others[0] in (first, second)
    )
    outcome = cluster.request_and_wait(entry_node, "search")
    assert outcome.coverage.answered == 12


@pytest.mark.parametrize("version", [2, 3])
def test_index_version_change_is_followed(version):
    cluster = _start_fleet()
    for host in cluster.host_by_leaf.values():
        host.model.setup.versions = [1, version]
    cluster.clock.advance(3.0)
    assert cluster.request_and_wait("vm-1", "search").coverage.answered == 12
    for host in cluster.host_by_leaf.values():
        host.model.setup.versions = [version]
    for name in cluster.node_by_id:
        outcome = cluster.request_and_wait(name, "search")
        assert outcome.coverage.answered == 12
        assert outcome.snapshot.index_version == version


def test_finished_request_leaves_nothing_in_flight():
    cluster = _start_fleet()
    node = cluster.node_by_id["vm-1"]
    outcomes = []
    cluster.request("vm-1", "search", on_done=outcomes.append)
    assert node.board.queries.in_flight == 1
    cluster.clock.advance(5.0)
    assert node.board.queries.in_flight == 0
    assert node.idle()


def test_empty_version_reply_is_not_cached():
    # While leaves move to another partitioning, a gatherer can report that
    # it serves no version. If the entry node cached that reply, it would
    # refuse all later queries.
    cluster = _start_fleet(shards=4)
    gatherer = _gatherers_by_leaf(cluster)["leaf-0-0"][0]
    entry_node = next(name for name in cluster.node_by_id if name != gatherer)
    for host in cluster.host_by_leaf.values():
        host.model.setup.epoch = 2
    cluster.clock.advance(3.0)
    refused = cluster.request_and_wait(entry_node, "search")
    assert refused.code == base.ResultCode.NO_LEAF
    assert refused.ran == base.Ran.NO
    for host in cluster.host_by_leaf.values():
        host.model.setup.epoch = 1
    cluster.clock.advance(3.0)
    assert cluster.request_and_wait(entry_node, "search").coverage.answered == 4


def test_gatherer_replies_to_sender_without_membership_record():
    # While a fleet starts, a sub-query can arrive before the sender's
    # membership record. If the gatherer dropped the reply, the entry node
    # would report its shards as late.
    cluster = _start_fleet(shards=4)
    gatherer = _gatherers_by_leaf(cluster)["leaf-0-0"][0]
    entry_node = next(name for name in cluster.node_by_id if name != gatherer)
    del cluster.node_by_id[gatherer].board.nodes.node_by_id[entry_node]
    cluster.network.loss = 1.0
    outcome = cluster.request_and_wait(entry_node, "search")
    assert outcome.coverage.answered == 4


class _NoVersionAfterRestart:
    """Snapshot tracker that knows no common version at the second choice."""

    def __init__(self, tracker):
        self._tracker = tracker
        self.choices = 0

    def __getattr__(self, name):
        return getattr(self._tracker, name)

    def choose_pinned_version(self, *args):
        self.choices += 1
        if self.choices > 1:
            return None
        return self._tracker.choose_pinned_version(*args)


def test_request_that_ran_before_its_restart_is_not_reported_as_not_run():
    cluster = _start_fleet(connection_limit=25)
    for leaf_id, host in cluster.host_by_leaf.items():
        if leaf_id.startswith("leaf-0-"):
            host.model.setup.versions = [9]
    runner = cluster.node_by_id["vm-1"].runner
    runner._snapshots = _NoVersionAfterRestart(runner._snapshots)
    outcome = cluster.request_and_wait("vm-1", "search")
    assert runner._snapshots.choices == 2
    assert any(host.model.ledger for host in cluster.host_by_leaf.values())
    assert outcome.code == base.ResultCode.NO_LEAF
    assert outcome.ran == base.Ran.YES
