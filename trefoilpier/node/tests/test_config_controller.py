"""Configurations on a fleet at a virtual clock."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from standins import fleet, platform_model
from trefoilpier import peer


def _fleet(nodes=7):
    made = fleet.Fleet(objects=fleet.simple_objects(shards=2), nodes=nodes)
    made.start()
    return made


def _next(made, count):
    keys = {**made.objects[-1].text_by_key, "deadline": f"{900 + count}ms"}
    changed = dataclasses.replace(made.objects[-1], text_by_key=keys)
    return [*made.objects[:-1], changed]


def _versions(made):
    return {n.board.config.version for n in made.node_by_id.values()}


def test_change_is_in_force_everywhere_within_the_bound():
    made = _fleet()
    made.publish(_next(made, 1))
    made.clock.advance(19.0)
    assert _versions(made) == {2}


def test_only_the_watchers_read_the_store():
    made = _fleet()
    before = made.platform.counts.reads
    made.publish(_next(made, 1))
    made.clock.advance(1.0)
    # The publisher's reads, and manifest and object for three watchers.
    assert made.platform.counts.reads - before < 20


def test_older_head_is_ignored():
    made = _fleet()
    made.publish(_next(made, 1))
    made.clock.advance(5.0)
    made.platform.faults.stale_reads = True
    for _ in range(100):
        made.clock.advance(0.2)
        assert _versions(made) == {2}


def test_vm_that_starts_in_an_outage_takes_the_set_from_peers():
    made = _fleet()
    made.platform.faults.down = True
    other = made.node_by_id["vm-1"].own
    seed = peer.PeerAddress(host=other.host, port=other.peer_port)
    fresh = made.add_node("vm-8", 7, seeds=(seed,))
    made.clock.advance(5.0)
    assert fresh.board.config.version == 1
    assert fresh.ready()


def test_vm_without_store_and_peers_is_not_ready():
    made = _fleet()
    made.platform.faults.down = True
    fresh = made.add_node("vm-8", 7)
    made.clock.advance(15.0)
    assert fresh.board.config.version == 0
    assert not fresh.ready()


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(["publish", "down", "up", "stale", "lose", "wait"]),
        max_size=10,
    )
)
def test_no_node_ever_goes_back(steps):
    made = _fleet(nodes=4)
    newest = dict.fromkeys(made.node_by_id, 0)
    for count, step in enumerate(steps):
        faults = made.platform.faults
        if step == "publish":
            made.publish(_next(made, count))
        elif step == "down":
            faults.down = True
        elif step == "up":
            made.platform.faults = platform_model.PlatformFaults()
        elif step == "stale":
            faults.stale_reads = True
        elif step == "lose":
            faults.lose_answers = 2
        for _ in range(6):
            made.clock.advance(0.3)
            for name, node in made.node_by_id.items():
                assert node.board.config.version >= newest[name]
                newest[name] = node.board.config.version
    made.platform.faults = platform_model.PlatformFaults()
    made.clock.advance(30.0)
    assert len(_versions(made)) == 1


def test_control_bytes_are_counted_for_the_metrics():
    made = _fleet()
    node = made.node_by_id["vm-1"]
    before = node.board.nodes.control_bytes
    sent_before = made.network.bytes_by_node["vm-1"]
    made.clock.advance(10.0)
    counted = node.board.nodes.control_bytes - before
    assert counted == made.network.bytes_by_node["vm-1"] - sent_before > 0
