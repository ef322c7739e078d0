"""Tests of leaves whose responses have a status that is none."""

import pytest

from standins import memory_fleet, memory_tier, opaque_leaf
from trefoilpier import base, http1

framings = pytest.mark.parametrize("framed", [True, False])
statuses = pytest.mark.parametrize("status", opaque_leaf.ODD_STATUSES)


def make_odd(leaf, status, framed):
    leaf.faults.odd_share = 1.0
    leaf.faults.odd_statuses = (status,)
    leaf.faults.odd_framing = framed


def send(tier, target, *, method="GET", count=20):
    for k in range(count):
        tier.send_request(f"q{k}", target, method=method)
        tier.clock.advance(0.05)
    tier.clock.advance(3.0)
    return list(tier.answers.values())


@statuses
@framings
def test_safe_request_is_answered_by_another_leaf(status, framed):
    # Guards against an answer with a status that is none, and against a wait
    # for a final response that does not come.
    tier = memory_tier.make_with_one_service(2)
    make_odd(tier.leaf_by_id["leaf0"], status, framed)
    answers = send(tier, "/s/1")
    assert {each.status for each in answers} == {200}
    assert max(each.took_s for each in answers) < 0.1


@statuses
@framings
def test_unsafe_request_runs_once_and_ends_at_once(status, framed):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route(repeatable=False))
    for k in range(2):
        make_odd(tier.add_leaf("s", f"leaf{k}"), status, framed)
    answers = send(tier, "/s/1", method="POST")
    assert answers[0].status == 502
    # Leaves that fail on and on are left alone after a while.
    runs_by_status = {502: 1, 503: 0}
    for k, answer in enumerate(answers):
        assert runs_by_status[answer.status] == tier.runs_of(f"q{k}")
        assert answer.took_s < 0.1


@pytest.mark.parametrize("status", [b"408 R", b"429 R", b"503 R"])
@pytest.mark.parametrize("relayed", [True, False])
def test_status_that_promises_is_not_passed_on(tmp_path, status, relayed):
    # Guards against a caller that runs an unsafe request again, since a leaf
    # ran it and answered with a status that promises the opposite.
    fleet = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(large=2, small=1, zones=1, shards=2),
    )
    fleet.start_all()
    fleet.clock.advance(3.0)
    for each in fleet.leaf_by_id.values():
        make_odd(each.leaf, status, True)
    vm = fleet.vms[-1 if relayed else 0]
    fleet.send_request(b"/w/1", b"POST", vm)
    fleet.clock.advance(1.0)
    (answer,) = fleet.answers
    assert answer.status == 502
    assert http1.find_header(answer.headers, b"x-server-seal") is None
    # What may run again gets the leaf's answer.
    fleet.send_request(b"/r/1", b"GET", vm)
    fleet.clock.advance(1.0)
    assert fleet.answers[-1].status == int(status[:3])


@statuses
@framings
def test_gathered_parts_come_from_other_leaves(status, framed):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_gather_route(4))
    for shard in range(4):
        for k in range(2):
            tier.add_leaf(f"shard{shard}", f"leaf{shard}-{k}")
        make_odd(tier.leaf_by_id[f"leaf{shard}-0"], status, framed)
    answers = send(tier, "/s/1")
    assert {each.status for each in answers} == {200}
    seals = {
        seal
        for each in answers
        for seal in http1.find_header(each.headers, b"x-part-stamps").split(
            b", "
        )
    }
    assert not any(seal.split(b".")[0].endswith(b"-0") for seal in seals)


@statuses
@framings
def test_relayed_request_gets_no_odd_status(tmp_path, status, framed):
    fleet = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(large=2, small=1, zones=1, shards=2),
    )
    fleet.start_all()
    fleet.clock.advance(3.0)
    for each in fleet.leaf_by_id.values():
        make_odd(each.leaf, status, framed)
    for target, method in (
        (b"/r/1", b"GET"),
        (b"/w/1", b"POST"),
        (b"/g/1", b"GET"),
    ):
        fleet.send_request(target, method, fleet.vms[-1])
        fleet.clock.advance(2.0)
    assert {each.status for each in fleet.answers} == {502}
    assert max(each.took_s for each in fleet.answers) < 0.5
