"""Failures that operators of similar systems have met, one by one."""

import pytest

from standins import memory_fleet, memory_tier, opaque_leaf
from trefoilpier import base, http1

_ENTRY = (
    '{"service":"shard0","address":"10.2.0.0:%s","zone":"z0","state":"ready",'
    '"max-concurrency":%s,"id":"odd","host":"10.1.0.1","relay_port":%s,'
    '"state_port":91,"started_ms":%s}'
)
ODD_VALUES = [
    "[" * 5000,
    '{"service":' * 5000,
    _ENTRY % (8000, "[" * 2000 + "]" * 2000, 90, "[" * 2000 + "]" * 2000),
    _ENTRY % (8000, "1e400", 90, "1e400"),
    _ENTRY % (8000, "1e308", "1e308", 1),
    _ENTRY % (99999, 2, 99999, 1),
    _ENTRY % ("9" * 5000, 2, "9" * 5000, 1),
    _ENTRY % (8000, 0, -1, 1),
    "",
]


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
    fleet.clock.call_later(1.0, fleet.vms[0].terminate)
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


@pytest.mark.parametrize("target", [b"/g/1", b"/r/1", b"/w/1"])
@pytest.mark.parametrize("relayed", [False, True])
def test_answer_that_ends_in_its_head_is_passed_on_as_complete(
    tmp_path, target, relayed
):
    # Guards against a 200 with an empty or short body, framed as a whole one,
    # after a leaf has ended in the middle of the head of its answer; also over
    # a relay, and after a restart of the VMs.
    fleet = make_fleet(tmp_path)
    for each in fleet.leaf_by_id.values():
        each.leaf.faults = opaque_leaf.LeafFaults(
            cut_share=1.0, cut_in_head=True
        )
    vm = fleet.vms[3 if relayed else 0]
    assert vm.process.request_dispatcher.is_relaying == relayed
    method = b"POST" if target == b"/w/1" else b"GET"
    for _ in range(2):
        for _ in range(20):
            fleet.send_request(target, method, vm)
            fleet.clock.advance(0.1)
        fleet.clock.advance(2.0)
        fleet.kill_all()
        fleet.start_all()
        fleet.clock.advance(3.0)
    assert len(fleet.answers) == 40
    assert {each.status for each in fleet.answers} <= {502, 503, 504}


@pytest.mark.parametrize("when", ["running", "starting"])
def test_vms_stop_following_the_store_after_an_odd_entry(tmp_path, when):
    # Guards against processes that end, or that follow no more changes, since
    # another writer has left an entry that cannot be used.
    fleet = make_fleet(tmp_path)
    if when == "starting":
        fleet.kill_all()
    for number, value in enumerate(ODD_VALUES):
        fleet.model.put(f"servers/odd-{number}", value, None, "")
        fleet.model.put(f"tier/vms/odd-{number}", value, None, "")
        fleet.model.put(f"tier/quarantine/odd-{number}", value, None, "")
    for key in ("servers/a\r\nx-a: b", "servers/", "op/evacuate/\r\n"):
        fleet.model.put(key, ODD_VALUES[-1], None, "")
    if when == "starting":
        fleet.start_all()
    fleet.clock.advance(3.0)
    version = fleet.write_routes()
    fleet.add_leaf(0, 7)
    fleet.clock.advance(1.0)
    answers = fleet.run_load(seconds=2.0, rate=30.0)
    fleet.clock.advance(1.0)
    assert {each.status for each in fleet.answers[-60:]} == {200}
    assert len(answers) > 50
    for vm in fleet.vms[:3]:
        assert vm.process.version == version
        assert vm.process.gauges["leafs_known"]() == 13
        assert vm.process.gauges["vms_gathering"]() == 3
    events = {event for event, _ in fleet.log.rows}
    assert base.Event.ENTRY_MALFORMED in events
    assert base.Event.UNHANDLED not in events


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
