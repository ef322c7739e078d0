"""Tests of what callers see while a VM stops, on a virtual clock.

Callers of a zone's only VM, or of a zone where most VMs stop, are sent to it
until its process ends.
"""

import pytest

from standins import memory_fleet
from trefoilpier import base, http1, quarantine

_GRACE_S = 6.0
_PERIOD_S = 0.05
_UNSAFE = (b"/w/1", b"POST")
_SAFE = (b"/r/1", b"GET")
_GATHERED = (b"/g/1", b"GET")


def make_fleet(tmp_path, *, large=1, small=0, work_s=0.6):
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(
            large=large, small=small, zones=1, work_s=work_s
        ),
    )
    made.start_all()
    made.clock.advance(3.0)
    return made


def run_until_end(fleet, vm, request, *, period_s=_PERIOD_S):
    """Stop a VM and send it requests until its process has ended."""
    fleet.clock.advance(0.1)
    fleet.answers.clear()
    vm.terminate()
    stopped_at = fleet.clock.monotonic()
    while vm.process is not None:
        fleet.send_request(*request, vm=vm)
        fleet.clock.advance(period_s)
    ended_at = fleet.clock.monotonic()
    fleet.clock.advance(2.0)
    return stopped_at, ended_at


def stop_while_used(fleet, vm, seconds):
    """Stop a VM that callers go on using, and let time pass.

    Requests must overlap, since an idle VM ends.
    """
    vm.terminate()
    for _ in range(round(seconds / _PERIOD_S)):
        fleet.send_request(*_SAFE, vm=vm)
        fleet.clock.advance(_PERIOD_S)


def answer_to(fleet, request_id):
    return next(each for each in fleet.answers if each.id == request_id)


def run_counts(fleet):
    counts = {}
    for each in fleet.leaf_by_id.values():
        for request_id in each.leaf.runs:
            counts[request_id] = counts.get(request_id, 0) + 1
    return counts


def assert_all_that_ran_are_answered(fleet):
    counts = run_counts(fleet)
    ran = [each for each in fleet.answers if each.id in counts]
    assert ran
    assert [each for each in ran if each.status == 0] == []
    for each in fleet.answers:
        if each.status == 503:
            assert each.id not in counts


@pytest.mark.parametrize("request_kind", [_UNSAFE, _SAFE, _GATHERED])
def test_request_taken_late_in_a_stop_gets_an_answer(tmp_path, request_kind):
    # Guards against requests that are passed on to a leaf and cut at the end
    # of the grace period, without an answer.
    fleet = make_fleet(tmp_path)
    fleet.run_load(seconds=2.0, rate=5.0, targets=(b"/r/1", b"/g/1"))
    stopped_at, ended_at = run_until_end(fleet, fleet.vms[0], request_kind)
    assert ended_at < stopped_at + _GRACE_S
    assert_all_that_ran_are_answered(fleet)


def test_request_taken_late_in_a_stop_gets_an_answer_over_a_relay(tmp_path):
    # Guards against the same cut where the stopping VM relays to another.
    fleet = make_fleet(tmp_path, large=2, small=1)
    vm = fleet.vms[2]
    fleet.send_request(*_UNSAFE, vm=vm)
    fleet.clock.advance(2.0)
    assert vm.process.request_dispatcher.is_relaying
    run_until_end(fleet, vm, _UNSAFE)
    assert_all_that_ran_are_answered(fleet)


@pytest.mark.parametrize("request_kind", [_UNSAFE, _SAFE, _GATHERED])
def test_only_gatherer_refuses_relayed_requests_from_its_stop_on(
    tmp_path, request_kind
):
    # Guards against refusals at the VMs that relay to it, which find no other
    # gatherer and do not follow the store yet.
    fleet = make_fleet(tmp_path, large=1, small=1, work_s=0.1)
    gatherer, relaying = fleet.vms
    fleet.send_request(*_SAFE, vm=relaying)
    fleet.clock.advance(2.0)
    assert relaying.process.request_dispatcher.is_relaying
    fleet.answers.clear()
    gatherer.terminate()
    while gatherer.process is not None:
        fleet.send_request(*request_kind, vm=relaying)
        fleet.clock.advance(_PERIOD_S)
    for _ in range(40):
        fleet.send_request(*request_kind, vm=relaying)
        fleet.clock.advance(_PERIOD_S)
    fleet.clock.advance(2.0)
    assert_all_that_ran_are_answered(fleet)
    statuses = [each.status for each in fleet.answers]
    # While the relaying VM takes over, some may be refused or lost.
    assert statuses.count(200) > 0.95 * len(statuses)


def test_relayed_request_that_may_outlast_the_gatherer_goes_elsewhere(tmp_path):
    # Guards against refusals by a stopping gatherer that another could serve.
    fleet = make_fleet(tmp_path, large=2, small=1, work_s=0.1)
    relaying = fleet.vms[2]
    fleet.send_request(*_SAFE, vm=relaying)
    fleet.clock.advance(2.0)
    fleet.answers.clear()
    fleet.vms[0].terminate()
    for _ in range(120):
        fleet.send_request(*_UNSAFE, vm=relaying)
        fleet.send_request(*_SAFE, vm=fleet.vms[0])
        fleet.clock.advance(_PERIOD_S)
    fleet.clock.advance(2.0)
    relayed = [each for each in fleet.answers if each.vm == relaying.name]
    assert {each.status for each in relayed} == {200}


def test_refused_callers_of_a_stopping_vm_are_told_when_to_return(tmp_path):
    # Guards against refusals without a time, with a time that is over before
    # another process runs, or on a connection that stays open.
    fleet = make_fleet(tmp_path)
    fleet.run_load(seconds=2.0, rate=5.0, targets=(b"/r/1",))
    run_until_end(fleet, fleet.vms[0], _UNSAFE, period_s=0.2)
    refused = [each for each in fleet.answers if each.status == 503]
    assert refused
    for each in refused:
        headers = dict(each.headers)
        assert headers[b"connection"] == b"close"
        return_s = float(headers[b"retry-after"])
        # Callers wait for up to a third of their 1.5 s.
        assert 0.4 < return_s <= 0.5
        assert each.took_s < 0.01


def test_stopping_vm_refuses_nothing_that_it_can_serve(tmp_path):
    # Guards against refusals from the signal on, which callers pay for who
    # reach no other VM.
    fleet = make_fleet(tmp_path, work_s=0.1)
    fleet.run_load(seconds=4.0, rate=20.0, targets=(b"/r/1", b"/g/1"))
    stopped_at, _ = run_until_end(fleet, fleet.vms[0], _UNSAFE)
    early = [each for each in fleet.answers if each.sent_at < stopped_at + 4.8]
    assert len(early) > 90
    assert {each.status for each in early} == {200}


@pytest.mark.parametrize("request_kind", [_UNSAFE, _SAFE, _GATHERED])
def test_request_at_a_leaf_that_hangs_is_answered_before_the_vm_ends(
    tmp_path, request_kind
):
    # Guards against a cut of what no estimate foresees.
    fleet = make_fleet(tmp_path, work_s=0.1)
    vm = fleet.vms[0]
    stop_while_used(fleet, vm, 4.5)
    for each in fleet.leaf_by_id.values():
        each.leaf.faults.stopped = True
    request_id = fleet.send_request(*request_kind, vm=vm)
    fleet.clock.advance(1.5)
    assert vm.process is None
    answer = answer_to(fleet, request_id)
    assert answer.status in (502, 504)
    assert answer.took_s < 1.0


def test_queued_request_is_refused_before_the_vm_ends(tmp_path):
    # Guards against an unknown outcome of a request that no leaf has seen.
    fleet = make_fleet(tmp_path, work_s=0.1)
    vm = fleet.vms[0]
    stop_while_used(fleet, vm, 4.5)
    for each in fleet.leaf_by_id.values():
        each.leaf.faults.stopped = True
    fleet.answers.clear()
    for _ in range(200):
        fleet.send_request(*_UNSAFE, vm=vm)
    fleet.clock.advance(1.5)
    assert {each.status for each in fleet.answers} == {502, 503}
    sent_ids = {
        http1.find_header(request.headers, b"x-request-id")
        for each in fleet.leaf_by_id.values()
        for request in each.leaf.requests
    }
    for each in fleet.answers:
        assert each.status == (502 if each.id in sent_ids else 503)


def stop_undecided(tmp_path, monkeypatch, seconds):
    """Return a fleet and its VM some time into its stop.

    It is undecided for good whether gathered requests crash leaves, and all
    leaves hang, so that a request keeps the VM from ending.
    """
    fleet = make_fleet(tmp_path, work_s=0.1)
    vm = fleet.vms[0]
    stop_while_used(fleet, vm, 4.7)
    for each in fleet.leaf_by_id.values():
        each.leaf.faults.stopped = True
    fleet.send_request(*_SAFE, vm=vm)
    monkeypatch.setattr(
        quarantine.EarlySuspicions,
        "standing",
        lambda self, fingerprint: quarantine.EarlyStanding.UNDECIDED,
    )
    fleet.clock.advance(seconds - 4.7)
    return fleet, vm


@pytest.mark.parametrize("sent_at_s", [5.2, 5.3, 5.36])
def test_request_that_waits_for_a_decision_is_cut_by_the_end(
    tmp_path, monkeypatch, sent_at_s
):
    # Guards against requests that wait again when the VM lets them end, for
    # longer than its process lives.
    fleet, vm = stop_undecided(tmp_path, monkeypatch, sent_at_s)
    request_id = fleet.send_request(*_GATHERED, vm=vm)
    fleet.clock.advance(1.0)
    assert vm.process is None
    answer = answer_to(fleet, request_id)
    assert answer.status == 503
    assert answer.took_s < 0.31


def test_request_after_the_last_answers_waits_for_nothing(
    tmp_path, monkeypatch
):
    # Guards against waits that begin when it is too late to end them.
    fleet, vm = stop_undecided(tmp_path, monkeypatch, 5.43)
    request_id = fleet.send_request(*_GATHERED, vm=vm)
    fleet.clock.advance(1.0)
    assert vm.process is None
    answer = answer_to(fleet, request_id)
    assert answer.status == 503
    assert answer.took_s < 0.01
    assert dict(answer.headers)[b"connection"] == b"close"
