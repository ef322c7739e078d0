"""Tests of the policy file."""

import dataclasses
import pathlib

import pytest

from trefoilpier import forward, replicas
from trefoilpier.tier import policy_file

SETTINGS_PAGE = pathlib.Path(__file__).parents[3] / "docs/operators/settings.md"


def test_empty_file_gives_the_defaults():
    assert policy_file.parse_policy("", "p.ini").ok == forward.ForwardPolicy()


def test_values_of_both_sections_are_read():
    text = (
        "[forwarding]\nhedging = no\nhedge_reserved_share = 0.1\n"
        "[leaves]\nother_zone_cost = 0\neject_failing = off\n"
    )
    policy = policy_file.parse_policy(text, "p.ini").ok
    assert not policy.hedging
    assert policy.hedge_reserved_share == 0.1
    assert policy.leaves.other_zone_cost == 0.0
    assert not policy.leaves.eject_failing


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[forwarding]\nhedging = maybe", "[forwarding] hedging: 'maybe'"),
        ("[leaves]\nshed_cost = nan", "[leaves] shed_cost: 'nan'"),
        ("[leaves]\nshed_cost = -1", "[leaves] shed_cost: '-1'"),
        ("[leaves]\nslowness_smoothing = 2", "slowness_smoothing: '2'"),
        ("[leaves]\nleaves = 1", "[leaves] leaves: unknown key"),
        ("[forwarding]\nleaves = 1", "[forwarding] leaves: unknown key"),
        ("[routes]\na = 1", "[routes] : unknown section"),
        ("hedging = off", "no section headers"),
    ],
)
def test_invalid_settings_are_reported(text, expected):
    findings = policy_file.parse_policy(text, "p.ini").error
    assert len(findings) == 1
    assert expected in str(findings[0])


def test_missing_file_is_reported():
    findings = policy_file.read_policy("no/such/file.ini").error
    assert "no/such/file.ini" in str(findings[0])


def test_page_lists_every_setting_with_its_default():
    page = SETTINGS_PAGE.read_text()
    for section, policy in (
        ("forwarding", forward.ForwardPolicy()),
        ("leaves", replicas.LeafPolicy()),
    ):
        for each in dataclasses.fields(policy):
            if each.type not in (bool, float):
                continue
            value = getattr(policy, each.name)
            shown = ("on" if value else "off") if each.type is bool else value
            row = f"| {section} | {each.name} |"
            assert row in page, row
            line = next(x for x in page.splitlines() if x.startswith(row))
            assert line.rstrip(" |").endswith(f"| {shown}"), line
