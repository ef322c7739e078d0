"""Tests of parsing and validating the settings file."""

import datetime

import pytest

from trefoilpier import config

_REQUIRED_SETTINGS = {
    ("node", "id"): "vm-1",
    ("node", "host"): "127.0.0.1",
    ("node", "region"): "r",
    ("node", "availability_zone"): "z",
    ("caller", "port"): "8080",
    ("peer", "port"): "7001",
    ("peer", "key"): "a-key-of-enough-characters",
    ("platform", "host"): "127.0.0.1",
    ("platform", "port"): "7000",
}


def _read_settings(tmp_path, **changes):
    values = {
        **_REQUIRED_SETTINGS,
        **{tuple(k.split("__")): v for k, v in changes.items()},
    }
    sections = {}
    for (section, key), text in values.items():
        if text is not None:
            sections.setdefault(section, []).append(f"{key} = {text}")
    path = tmp_path / "vm.ini"
    lines = [
        f"[{name}]\n" + "\n".join(lines_of_section)
        for name, lines_of_section in sections.items()
    ]
    path.write_text("\n".join(lines))
    return config.read_settings(path)


def test_optional_settings_have_defaults(tmp_path):
    node_settings = _read_settings(tmp_path).ok
    assert node_settings.caller_body_max == 65536
    assert node_settings.drain_lag == datetime.timedelta(seconds=5)
    assert node_settings.peer_seeds == ()


def test_peer_seeds_are_parsed(tmp_path):
    node_settings = _read_settings(
        tmp_path, peer__seeds="10.0.0.1:7 10.0.0.2:8"
    ).ok
    assert node_settings.peer_seeds == (("10.0.0.1", 7), ("10.0.0.2", 8))


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("node__id", "two words"),
        ("node__host", "localhost"),
        ("caller__port", "70000"),
        ("caller__max_body_bytes", "0"),
        ("caller__idle_timeout", "long"),
        ("peer__seeds", "somewhere"),
        ("limits__queries_in_flight", "-1"),
        ("limits__drain_lag", "5"),
        ("log__style", "xml"),
        ("log__level", "LOUD"),
        ("node__colour", "red"),
    ],
)
def test_invalid_setting_is_reported_with_location(tmp_path, name, text):
    section, key = name.split("__")
    (reported,) = _read_settings(tmp_path, **{name: text}).error
    assert (reported.section, reported.key) == (section, key)
    assert reported.file.endswith("vm.ini")
    if key != "colour":
        assert text in reported.problem
        assert reported.allowed


def test_error_does_not_contain_peer_key(tmp_path):
    (reported,) = _read_settings(tmp_path, peer__key="short").error
    assert "short" not in str(reported)


def test_all_missing_settings_are_reported_together(tmp_path):
    path = tmp_path / "empty.ini"
    path.write_text("")
    assert len(config.read_settings(path).error) == len(_REQUIRED_SETTINGS)
