"""Tests of scenario files."""

import pathlib

import pytest

from lab import main, scenario

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples/lab"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.ini")), ids=str)
def test_examples_are_valid(path):
    assert scenario.read_scenario(path).is_ok()


def test_policies_are_read_with_their_section():
    text = "[request r]\n[policy p]\nforwarding.hedging = off\n"
    read = scenario.parse_scenario(text + "leaves.shed_cost = 1\n", "s.ini").ok
    assert not read.policy_by_name["p"].hedging
    assert read.policy_by_name["p"].leaves.shed_cost == 1.0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[load]\nrate = x", "[load] rate: 'x'"),
        ("[load]\nspeed = 1", "[load] speed: unknown key"),
        ("[deployment]\nvms = 0", "[deployment] vms: '0'"),
        ("[deployment]\npause_s = -1", "[deployment] pause_s: '-1'"),
        ("[load]\nrate = inf", "[load] rate: 'inf'"),
        ("[fault f]\nkind = fire", "[fault f] kind: 'fire'"),
        ("[policy p]\nforwarding.hedge = 1", "[policy p] forwarding.hedge"),
        ("[experiment]\nseeds = one", "[experiment] seeds: 'one'"),
        ("[caller c]\n", "[caller c] : unknown section"),
        ("", "no [request NAME] section"),
    ],
)
def test_invalid_values_are_reported(text, expected):
    findings = scenario.parse_scenario(text, "s.ini").error
    assert len(findings) == 1
    assert expected in str(findings[0])


def test_invalid_file_ends_the_command_without_a_result(
    tmp_path, monkeypatch, capsys
):
    path = tmp_path / "bad.ini"
    path.write_text("[load]\nrate = x\n")
    result = tmp_path / "out.json"
    monkeypatch.setattr(
        "sys.argv", ["lab", "run", str(path), "--json", str(result)]
    )
    with pytest.raises(SystemExit) as ended:
        main.main()
    assert ended.value.code == 2
    assert "[load] rate" in capsys.readouterr().err
    assert not result.exists()
