"""Tests of the page of an experiment and of the commands that write it."""

import dataclasses
import sys

import orjson
import pytest

from lab import main, report, results, scenario

SCENARIO = scenario.Scenario(
    deployment=scenario.Deployment(),
    load=scenario.Load(),
    kinds=(scenario.RequestKind(name="roll"),),
    faults=(scenario.Fault(name="slow <leaves>", at=5.0),),
    policy_by_name={"default": None, "no hedging": None},
)
ROW = results.RunFigures(
    policy="default",
    seed=1,
    credit=0.9,
    coverage=1.0,
    in_time=0.95,
    refused=0.0,
    failed=0.0,
    p50_ms=20.0,
    p99_ms=80.0,
    extra=0.05,
    credit_by_second={0: 0.9, 1: 0.95},
    far=0.555,
)


def make_rows():
    changes = [
        {},
        {"seed": 2, "credit": 0.92},
        {"policy": "no hedging", "credit": 0.8},
        {"policy": "no hedging", "seed": 2, "credit": 0.86},
    ]
    return [dataclasses.replace(ROW, **each) for each in changes]


def test_page_pairs_policies_by_seed_and_has_its_plots(tmp_path):
    page = report.write_report(
        make_rows(), SCENARIO, title="a < b", directory=tmp_path / "made"
    )
    text = page.read_text()
    assert "<h1>a &lt; b</h1>" in text
    assert "-0.0800 ± 0.0200" in text
    assert "0.555" in text
    for name in ("plot-1.svg", "plot-2.svg"):
        assert f'src="{name}"' in text
        assert "<svg" in (page.parent / name).read_text()


def test_policies_that_the_scenario_does_not_name_come_last(tmp_path):
    rows = [*make_rows(), dataclasses.replace(ROW, policy="admission off")]
    page = report.write_report(
        rows, SCENARIO, title="t", directory=tmp_path
    ).read_text()
    order = [
        page.index(f"<td>{name}</td>")
        for name in ("default", "no hedging", "admission off")
    ]
    assert order == sorted(order)


@pytest.mark.parametrize(("data", "status"), [(None, 2), (b"[]", 2), (b"{", 2)])
def test_missing_or_empty_results_are_refused(
    tmp_path, monkeypatch, capsys, data, status
):
    results_path = tmp_path / "rows.json"
    if data is not None:
        results_path.write_bytes(data)
    arguments = ["report", "examples/lab/calm.ini", str(results_path)]
    monkeypatch.setattr(sys, "argv", ["lab", *arguments, str(tmp_path / "out")])
    with pytest.raises(SystemExit) as ended:
        main.main()
    assert ended.value.code == status
    assert capsys.readouterr().err
    assert not (tmp_path / "out").exists()


def test_results_without_zones_are_read():
    row = results.to_json([ROW])[0]
    del row["far"]
    assert results.from_json(orjson.loads(orjson.dumps([row])))[0].far == 0.0
