"""Tests of configuration distribution in a simulated fleet."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from standins import fleet, platform_model
from trefoilpier import peer


def _start_cluster(nodes=7):
    cluster = fleet.Fleet(objects=fleet.simple_objects(shards=2), nodes=nodes)
    cluster.start()
    return cluster


def _changed_objects(cluster, count):
    keys = {**cluster.objects[-1].text_by_key, "deadline": f"{900 + count}ms"}
    changed = dataclasses.replace(cluster.objects[-1], text_by_key=keys)
    return [*cluster.objects[:-1], changed]


def _active_versions(cluster):
    return {n.board.config.version for n in cluster.node_by_id.values()}


def test_config_change_reaches_all_nodes_within_bound():
    cluster = _start_cluster()
    cluster.publish(_changed_objects(cluster, 1))
    cluster.clock.advance(19.0)
    assert _active_versions(cluster) == {2}


def test_only_watchers_read_the_store():
    cluster = _start_cluster()
    before = cluster.platform.counts.reads
    cluster.publish(_changed_objects(cluster, 1))
    cluster.clock.advance(1.0)
    # These are the reads of the publisher, and those of the manifest and the
    # changed object by three watchers.
    assert cluster.platform.counts.reads - before < 20


def test_stale_head_is_ignored():
    cluster = _start_cluster()
    cluster.publish(_changed_objects(cluster, 1))
    cluster.clock.advance(5.0)
    cluster.platform.faults.stale_reads = True
    for _ in range(100):
        cluster.clock.advance(0.2)
        assert _active_versions(cluster) == {2}


def test_vm_started_during_store_outage_pulls_config_from_peers():
    cluster = _start_cluster()
    cluster.platform.faults.down = True
    seed_record = cluster.node_by_id["vm-1"].own_record
    seed = peer.PeerAddress(host=seed_record.host, port=seed_record.peer_port)
    new_node = cluster.add_node("vm-8", 7, seeds=(seed,))
    cluster.clock.advance(5.0)
    assert new_node.board.config.version == 1
    assert new_node.ready()


def test_vm_without_store_and_peers_is_not_ready():
    cluster = _start_cluster()
    cluster.platform.faults.down = True
    new_node = cluster.add_node("vm-8", 7)
    cluster.clock.advance(15.0)
    assert new_node.board.config.version == 0
    assert not new_node.ready()


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(["publish", "down", "up", "stale", "lose", "wait"]),
        max_size=10,
    )
)
def test_config_version_never_decreases_on_any_node(steps):
    cluster = _start_cluster(nodes=4)
    highest_by_node = dict.fromkeys(cluster.node_by_id, 0)
    for count, step in enumerate(steps):
        faults = cluster.platform.faults
        if step == "publish":
            cluster.publish(_changed_objects(cluster, count))
        elif step == "down":
            faults.down = True
        elif step == "up":
            cluster.platform.faults = platform_model.PlatformFaults()
        elif step == "stale":
            faults.stale_reads = True
        elif step == "lose":
            faults.lose_answers = 2
        for _ in range(6):
            cluster.clock.advance(0.3)
            for node_id, node in cluster.node_by_id.items():
                assert node.board.config.version >= highest_by_node[node_id]
                highest_by_node[node_id] = node.board.config.version
    cluster.platform.faults = platform_model.PlatformFaults()
    cluster.clock.advance(30.0)
    assert len(_active_versions(cluster)) == 1


def test_counted_control_bytes_equal_bytes_sent():
    cluster = _start_cluster()
    node = cluster.node_by_id["vm-1"]
    before = node.board.nodes.control_bytes
    sent_before = cluster.network.bytes_by_node["vm-1"]
    cluster.clock.advance(10.0)
    counted = node.board.nodes.control_bytes - before
    assert counted == cluster.network.bytes_by_node["vm-1"] - sent_before > 0
