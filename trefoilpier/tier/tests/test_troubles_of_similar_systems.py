"""Failures that operators of similar systems have met, one by one."""

import pytest

from standins import memory_fleet, memory_tier, opaque_leaf
from trefoilpier import base, http1


def make_fleet(tmp_path, *, large=3, small=2):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=memory_tier.RecordingLog(),
        sizes=memory_fleet.FleetSizes(large=large, small=small, zones=2),
    )
    made.start_all()
    made.clock.advance(3.0)
    return made


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.02])
def test_late_copy_of_an_answer_goes_to_the_next_caller(delay_s):
    tier = memory_tier.make_with_one_service(1)
    (leaf,) = tier.leaf_by_id.values()
    leaf.faults = opaque_leaf.LeafFaults(extra_share=1.0, extra_delay_s=delay_s)
    for k in range(40):
        tier.send_request(f"q{k}")
        tier.clock.advance(0.011)
    tier.clock.advance(1.0)
    answers = [tier.answers[f"q{k}"] for k in range(40)]
    served = 0
    for k, answer in enumerate(answers):
        if answer.status != 200:
            continue
        served += 1
        seal = http1.find_header(answer.headers, b"x-server-seal")
        response = leaf.response_by_seal[seal]
        assert response.request_id == f"q{k}".encode()
        assert response.body == answer.body
    assert served >= 35


def test_requests_accepted_before_a_planned_stop_are_cut_off(tmp_path):
    fleet = make_fleet(tmp_path)
    for each in fleet.leaf_by_id.values():
        each.leaf.faults.slow_factor = 20.0
    first = len(fleet.answers)
    fleet.clock.call_later(1.0, fleet.vms[0].process.stop)
    fleet.run_load(seconds=3.0, rate=60.0)
    fleet.clock.advance(2.0)
    statuses = [each.status for each in fleet.answers[first:]]
    assert len(statuses) == 180
    assert 0 not in statuses


def test_leaf_that_has_left_is_used_after_a_restart_of_the_vm(tmp_path):
    fleet = make_fleet(tmp_path)
    left = "s0-0"
    fleet.drain_leaf(left, 1.0)
    fleet.clock.advance(3.0)
    leaf = fleet.leaf_by_id[left].leaf
    requests = len(leaf.requests)
    fleet.kill_all()
    fleet.start_all()
    fleet.run_load(seconds=4.0, rate=60.0)
    assert len(leaf.requests) == requests


def test_bar_that_was_lifted_is_in_force_after_a_restart(tmp_path):
    fleet = make_fleet(tmp_path)
    target = memory_fleet.crashing_target(b"/w")
    for number in range(4):
        fleet.clock.call_later(
            1.0 * number, fleet.send_request, target, b"POST"
        )
    fleet.clock.advance(5.0)
    ledger = fleet.vms[0].process.ledger
    (row,) = ledger.list_requests()
    assert row["standing"] == "barred"
    assert ledger.lift(row["fingerprint"])
    fleet.clock.advance(3.0)
    fleet.kill_all()
    fleet.start_all()
    fleet.clock.advance(3.0)
    for vm in fleet.vms:
        assert list(vm.process.ledger.list_requests()) == []


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_that_breaks_off_is_passed_on_as_complete(method):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route(repeatable=method == "GET"))
    for k in range(2):
        leaf = tier.add_leaf("s", f"leaf{k}")
        leaf.faults = opaque_leaf.LeafFaults(cut_share=1.0)
    tier.send_request("q", method=method)
    tier.clock.advance(1.5)
    assert tier.answers["q"].status in (502, 504)


def test_calls_of_a_paused_vm_are_sent_after_their_deadline():
    tier = memory_tier.make_with_one_service(1)
    (leaf,) = tier.leaf_by_id.values()
    leaf.slots, leaf.queue_max = 1, 0
    for k in range(60):
        tier.send_request(f"q{k}", wait_s=0.5)
    # The reactor runs nothing for seconds, then everything that is due.
    tier.clock.advance(0.01)
    sends = tier.engine.sends
    tier.clock.stall(5.0)
    tier.clock.advance(1.0)
    assert tier.engine.sends == sends


@pytest.mark.parametrize(
    ("repeatable", "leaves", "runs"), [(False, 3, 1), (True, 3, 2)]
)
def test_request_whose_answer_was_lost_is_reported_as_not_run(
    repeatable, leaves, runs
):
    tier = memory_tier.MemoryTier()
    tier.set_routes(memory_tier.make_route(repeatable=repeatable))
    for k in range(leaves):
        leaf = tier.add_leaf("s", f"leaf{k}")
        leaf.faults = opaque_leaf.LeafFaults(lose_share=1.0)
    tier.send_request("q", method="GET" if repeatable else "POST")
    tier.clock.advance(1.5)
    assert tier.answers["q"].status == 502
    assert tier.runs_of("q") == runs
    ended = [
        fields
        for event, fields in tier.log.rows
        if event is base.Event.REQUEST_ENDED
    ]
    assert ended[0]["code"] == base.ResultCode.OUTCOME_UNKNOWN
