"""Each promise under a failure, with real processes.

The checks compare what callers were told with the leaves' own ledgers. No
check depends on how long anything took, but for the bounds of the promises.
"""

import signal
import time

import pytest

from proofs import checks, scene
from standins import fleet, rig


@pytest.fixture
def stage():
    made = scene.Scene(seed=11)
    try:
        made.start()
        yield made
    finally:
        made.close()


def _settle(seconds=1.0):
    time.sleep(seconds)


def test_snapshot_stays_one_while_index_versions_change(stage):
    for version in (2, 3, 4):
        stage.change_index(version)
    _settle()
    assert stage.finish() == []
    seen = {
        sent.row["snapshot"]["index_version"]
        for sent in stage.load.rows
        if sent.status == 200 and sent.service == "search"
    }
    assert len(seen) > 1


def test_snapshot_stays_one_while_shards_move(stage):
    for _ in range(3):
        stage.repartition()
        _settle(1.0)
    _settle(1.0)
    recent = time.monotonic() - 0.7
    assert stage.finish() == []
    epochs = {
        sent.row["snapshot"]["epoch"]
        for sent in stage.load.rows
        if sent.status == 200 and sent.service == "search"
    }
    assert 4 in epochs
    late = [
        sent.row.get("code")
        for sent in stage.load.rows
        if sent.service == "search" and sent.sent_at > recent
    ]
    assert set(late) == {"TPR-1000"}


def test_coverage_is_true_when_leaves_fail(stage):
    faults = [
        {"slow_factor": 40.0},
        {"wrong_shard": True},
        {"twice": True},
        {"lose_answers": 0.5},
        {"fail_share": 0.5},
        {"shed_share": 0.5},
    ]
    for index, fault in enumerate(faults):
        stage.rig.leaf_faults(f"leaf-{index % 4}-{index % 2}", **fault)
        _settle(0.5)
    stage.rig.leaves[0].process.kill()
    _settle(2.0)
    assert stage.finish() == []
    assert stage.totals()["answers"] > 50


def test_reservations_run_once_when_vms_are_killed_and_frozen(stage):
    stage.rig.platform_faults(lose_answers=6)
    stage.kill(0, signal.SIGSTOP)
    _settle(1.0)
    stage.kill(1, signal.SIGKILL)
    stage.rig.leaf_faults("", lose_answers=0.2)
    _settle(1.0)
    stage.rig.platform_faults(lose_answers=6)
    stage.kill(0, signal.SIGCONT)
    _settle(1.0)
    stage.rig.leaf_faults("", lose_answers=0.0)
    stage.restart(1)
    _settle(1.0)
    assert stage.finish() == []
    told = [sent.row.get("ran") for sent in stage.load.rows if sent.key]
    assert "yes" in told


def test_reservation_is_refused_not_run_while_the_store_is_down(stage):
    stage.rig.platform_faults(down=True)
    _settle(2.0)
    refused = [
        sent for sent in stage.load.rows if sent.row.get("code") == "TPR-3005"
    ]
    stage.rig.platform_faults(down=False)
    _settle(1.0)
    assert stage.finish() == []
    assert refused
    assert all(sent.row["ran"] == "no" for sent in refused)
    assert all(sent.row["retry_after_ms"] for sent in refused)


def _check_no_new_work(stage, leaf_id):
    """Lets three seconds pass; after them no call may reach the leaf."""
    _settle(3.0)
    before = stage.rig.leaf_rows()[leaf_id]["counts"]
    _settle(2.0)
    assert stage.rig.leaf_rows()[leaf_id]["counts"] == before


def test_leaving_leaf_gets_no_new_work_after_three_seconds(stage):
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
    stage.rig.set_members(rows)
    _check_no_new_work(stage, leaf_id)
    assert stage.finish() == []


def test_draining_leaf_gets_no_new_work_while_the_list_lags(stage):
    leaf_id = "leaf-2-1"
    stage.rig.platform_faults(member_lag_s=60.0)
    stage.rig.leaf_faults(leaf_id, drain=True, load=0.0)
    _check_no_new_work(stage, leaf_id)
    assert stage.finish() == []


def test_rolling_replacement_cuts_off_no_request(stage):
    for index in range(len(stage.rig.nodes)):
        stage.kill(index, signal.SIGTERM)
        assert stage.wait_exit(index) == 0
        stage.restart(index)
    _settle()
    assert stage.finish() == []
    lost = [sent for sent in stage.load.rows if sent.status == 0]
    refused = [
        sent
        for sent in stage.load.rows
        if str(sent.row.get("code", "")).startswith("TPR-3")
    ]
    assert lost == []
    assert refused == []
    rows = stage.rig.leaf_rows()
    assert list(checks.check_connections(rows, scene.CONNECTION_LIMIT)) == []


def _publish(stage, deadline, *options):
    objects = fleet.simple_objects(
        shards=scene.SHARDS,
        connection_limit=scene.CONNECTION_LIMIT,
        deadline=deadline,
        minimum_coverage=0.1,
    )
    by_section = {raw.section: raw for raw in stage.rig.objects}
    places = [by_section[raw.section] for raw in objects if raw.kind == "place"]
    others = [raw for raw in objects if raw.kind != "place"]
    path = stage.rig.directory / f"next-{deadline}.ini"
    path.write_text(rig.render_ini(places + others))
    return stage.rig.client("publish", str(path), *options)


def test_configuration_survives_races_outages_and_freezes(stage):
    stage.kill(2, signal.SIGSTOP)
    first = _publish(stage, "900ms", "--expect=1")
    second = _publish(stage, "800ms", "--expect=1")
    assert first.returncode == 0
    assert second.returncode == 4
    stage.rig.platform_faults(lose_answers=1)
    third = _publish(stage, "700ms")
    assert third.returncode == 0, third.stdout
    stage.rig.platform_faults(down=True, lose_answers=0)
    stage.kill(3, signal.SIGKILL)
    stage.wait_exit(3)
    stage.restart(3)
    stage.kill(2, signal.SIGCONT)
    rig.wait_until(
        lambda: all(
            rig.ask(node.caller_port, "GET", "/v1/status").row()[
                "config_version"
            ]
            == 3
            for node in stage.rig.nodes
        ),
        19.0,
        "version 3 in force everywhere",
    )
    stage.rig.platform_faults(down=False, stale_reads=True)
    rig.wait_until(
        lambda: any(
            "TPE-4003" in stage.rig.log_text(node.id)
            for node in stage.rig.nodes
        ),
        15.0,
        "an older version read and ignored",
    )
    _settle(1.0)
    assert stage.finish() == []


def test_silent_connections_do_not_take_the_leaf_away(stage):
    stage.rig.leaf_faults("", mute_open=True)
    _settle(4.0)
    recent = time.monotonic() - 1.5
    assert stage.finish() == []
    late = [
        sent
        for sent in stage.load.rows
        if sent.service == "search" and sent.sent_at > recent
    ]
    assert late
    assert all(sent.row.get("code") == "TPR-1000" for sent in late)
