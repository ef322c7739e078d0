"""Tests of the service guarantees under faults, with real processes.

The checks compare the answers to callers with the ledgers of the leaves. No
check depends on timing, except for the time limits of the guarantees.
"""

import signal
import time

import pytest

from proofs import checks, testbed
from standins import fleet, rig


@pytest.fixture
def system():
    running = testbed.Testbed(seed=11)
    try:
        running.start()
        yield running
    finally:
        running.close()


def _wait(seconds=1.0):
    time.sleep(seconds)


def test_snapshot_is_consistent_during_index_changes(system):
    for version in (2, 3, 4):
        system.change_index(version)
    _wait()
    assert system.finish() == []
    index_versions = {
        request.response["snapshot"]["index_version"]
        for request in system.load.requests
        if request.status == 200 and request.service == "search"
    }
    assert len(index_versions) > 1


def test_snapshot_is_consistent_during_repartitioning(system):
    for _ in range(3):
        system.repartition()
        _wait(1.0)
    _wait(1.0)
    recent = time.monotonic() - 0.7
    assert system.finish() == []
    epochs = {
        request.response["snapshot"]["epoch"]
        for request in system.load.requests
        if request.status == 200 and request.service == "search"
    }
    assert 4 in epochs
    late = [
        request.response.get("code")
        for request in system.load.requests
        if request.service == "search" and request.sent_at > recent
    ]
    assert set(late) == {"TPR-1000"}


def test_coverage_is_correct_when_leaves_fail(system):
    faults = [
        {"slow_factor": 40.0},
        {"wrong_shard": True},
        {"twice": True},
        {"lose_answers": 0.5},
        {"fail_share": 0.5},
        {"shed_share": 0.5},
    ]
    for index, fault in enumerate(faults):
        system.rig.set_leaf_faults(f"leaf-{index % 4}-{index % 2}", **fault)
        _wait(0.5)
    system.rig.leaves[0].process.kill()
    _wait(2.0)
    assert system.finish() == []
    assert system.totals()["answers"] > 50


def test_reservations_run_once_when_vms_are_killed_and_frozen(system):
    system.rig.set_platform_faults(lose_answers=6)
    system.signal_vm(0, signal.SIGSTOP)
    _wait(1.0)
    system.signal_vm(1, signal.SIGKILL)
    system.rig.set_leaf_faults("", lose_answers=0.2)
    _wait(1.0)
    system.rig.set_platform_faults(lose_answers=6)
    system.signal_vm(0, signal.SIGCONT)
    _wait(1.0)
    system.rig.set_leaf_faults("", lose_answers=0.0)
    system.restart_vm(1)
    _wait(1.0)
    assert system.finish() == []
    reported = [
        request.response.get("ran")
        for request in system.load.requests
        if request.key
    ]
    assert "yes" in reported


def test_reservation_is_refused_while_store_is_down(system):
    system.rig.set_platform_faults(down=True)
    _wait(2.0)
    refused = [
        request
        for request in system.load.requests
        if request.response.get("code") == "TPR-3005"
    ]
    system.rig.set_platform_faults(down=False)
    _wait(1.0)
    assert system.finish() == []
    assert refused
    assert all(request.response["ran"] == "no" for request in refused)
    assert all(request.response["retry_after_ms"] for request in refused)


def _check_no_new_calls(system, leaf_id):
    """Check that the leaf gets no calls once three seconds have passed."""
    _wait(3.0)
    before = system.rig.leaf_counts()[leaf_id]["counts"]
    _wait(2.0)
    assert system.rig.leaf_counts()[leaf_id]["counts"] == before


def test_leaving_leaf_gets_no_calls_after_three_seconds(system):
    leaf_id = "leaf-1-0"
    rows = [
        {
            "id": leaf_id,
            "host": rig.HOST,
            "port": 1,
            "region": "local",
            "zone": "zone-0",
            "state": "leaving",
            "role": "leaf",
        }
    ]
    system.rig.set_members(rows)
    _check_no_new_calls(system, leaf_id)
    assert system.finish() == []


def test_draining_leaf_gets_no_calls_while_membership_lags(system):
    leaf_id = "leaf-2-1"
    system.rig.set_platform_faults(member_lag_s=60.0)
    system.rig.set_leaf_faults(leaf_id, drain=True, load=0.0)
    _check_no_new_calls(system, leaf_id)
    assert system.finish() == []


def test_rolling_replacement_loses_no_request(system):
    for index in range(len(system.rig.nodes)):
        system.signal_vm(index, signal.SIGTERM)
        assert system.wait_exit(index) == 0
        system.restart_vm(index)
    _wait()
    assert system.finish() == []
    lost = [request for request in system.load.requests if request.status == 0]
    refused = [
        request
        for request in system.load.requests
        if str(request.response.get("code", "")).startswith("TPR-3")
    ]
    assert lost == []
    assert refused == []
    rows = system.rig.leaf_counts()
    assert list(checks.check_connections(rows, testbed.CONNECTION_LIMIT)) == []


def _publish(system, deadline, *options):
    objects = fleet.simple_objects(
        shards=testbed.SHARDS,
        connection_limit=testbed.CONNECTION_LIMIT,
        deadline=deadline,
        minimum_coverage=0.1,
    )
    by_section = {raw.section: raw for raw in system.rig.objects}
    places = [by_section[raw.section] for raw in objects if raw.kind == "place"]
    others = [raw for raw in objects if raw.kind != "place"]
    path = system.rig.directory / f"next-{deadline}.ini"
    path.write_text(rig.render_ini(places + others))
    return system.rig.run_client("publish", str(path), *options)


def test_configuration_survives_races_outages_and_freezes(system):
    system.signal_vm(2, signal.SIGSTOP)
    first = _publish(system, "900ms", "--expect=1")
    second = _publish(system, "800ms", "--expect=1")
    assert first.returncode == 0
    assert second.returncode == 4
    system.rig.set_platform_faults(lose_answers=1)
    third = _publish(system, "700ms")
    assert third.returncode == 0, third.stdout
    system.rig.set_platform_faults(down=True, lose_answers=0)
    system.signal_vm(3, signal.SIGKILL)
    system.wait_exit(3)
    system.restart_vm(3)
    system.signal_vm(2, signal.SIGCONT)
    rig.wait_until(
        lambda: all(
            rig.send_request(node.caller_port, "GET", "/v1/status").row()[
                "config_version"
            ]
            == 3
            for node in system.rig.nodes
        ),
        19.0,
        "version 3 on all VMs",
    )
    system.rig.set_platform_faults(down=False, stale_reads=True)
    rig.wait_until(
        lambda: any(
            "TPE-4003" in system.rig.log_text(node.id)
            for node in system.rig.nodes
        ),
        15.0,
        "an older version read and ignored",
    )
    _wait(1.0)
    assert system.finish() == []


def test_unresponsive_connections_do_not_remove_the_leaf(system):
    system.rig.set_leaf_faults("", mute_open=True)
    _wait(4.0)
    recent = time.monotonic() - 1.5
    assert system.finish() == []
    late = [
        request
        for request in system.load.requests
        if request.service == "search" and request.sent_at > recent
    ]
    assert late
    assert all(request.response.get("code") == "TPR-1000" for request in late)
