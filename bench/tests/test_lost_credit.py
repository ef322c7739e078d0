"""Tests of the account of lost credit."""

import orjson
import pytest

from bench import lost_credit


def line(at, code="TPR-1000", status=200, **fields):
    row = {"at": 7.0, "event": "TPE-2006", "code": code, "status": status}
    return f"{at} vm-1 " + orjson.dumps(row | fields).decode()


def account_of(lines):
    return lost_credit.make_account(lost_credit.read_ends(lines), 2.0)


def test_whole_and_timely_answers_lose_nothing():
    account = account_of([line(0.1 * k, route="r") for k in range(20)])
    assert account.requests == 20
    assert sum(account.lost_by_cause.values()) == 0
    assert account.best == 1.0


def test_refused_failed_and_late_requests_lose_all():
    account = account_of(
        [
            line(0.1, "TPR-3001", 503),
            line(0.2, "TPR-4004", 504, route="r", late=True),
            line(0.3, route="r", late=True),
        ]
    )
    assert dict(account.lost_by_cause) == {
        "TPR-3001 refused": 1.0,
        "TPR-4004 failed": 1.0,
        "late": 1.0,
    }
    assert dict(account.lost_by_route) == {"": 1.0, "r": 2.0}


def test_loss_of_missing_shards_is_split_by_cause():
    missing = {"s1": ["a"], "s2": []}
    hedges = {"s1": "sent", "s2": "not due"}
    shards = {"shards": 10, "present": 8, "missing": missing, "hedges": hedges}
    account = account_of([line(0.1, "TPR-1001", route="r", **shards)])
    assert account.lost_by_cause["second send: sent"] == pytest.approx(0.18)
    assert account.lost_by_cause["shard without leaves"] == pytest.approx(0.18)
    assert account.best == pytest.approx(0.82)


def test_silence_counts_at_the_rate_of_the_other_moments():
    lines = [line(0.1 * k, route="r") for k in range(21)]
    lines += [line(4.0 + 0.1 * k, route="r") for k in range(20)]
    account = account_of(lines)
    assert account.lost_by_cause["no VM answered"] == pytest.approx(21, abs=1)
    assert account.best < 0.7


def test_relayed_requests_count_once():
    account = account_of([line(0.1, route="relay", late=True)])
    assert account.requests == 0


def test_other_and_damaged_lines_are_left_out():
    lines = ["what happened\n", line(0.1)[:-9], line(0.2, "TPR-2010", 404)]
    assert account_of(lines).requests == 0
    untimed = line(0.3).removeprefix("0.3 vm-1 ")
    assert account_of([line(0.1), untimed]).requests == 1
    assert account_of([untimed]).requests == 1
