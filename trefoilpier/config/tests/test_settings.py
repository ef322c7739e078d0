"""The daemon's settings: every wrong one is named."""

import datetime

import pytest

from trefoilpier import config

_GOOD = {
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


def _read(tmp_path, **changes):
    values = {**_GOOD, **{tuple(k.split("__")): v for k, v in changes.items()}}
    sections = {}
    for (section, key), text in values.items():
        if text is not None:
            sections.setdefault(section, []).append(f"{key} = {text}")
    path = tmp_path / "vm.ini"
    lines = [f"[{name}]\n" + "\n".join(rows) for name, rows in sections.items()]
    path.write_text("\n".join(lines))
    return config.read_settings(path)


def test_good_settings_have_defaults(tmp_path):
    read = _read(tmp_path).ok
    assert read.caller_body_max == 65536
    assert read.drain_lag == datetime.timedelta(seconds=5)
    assert read.peer_seeds == ()


def test_seeds_are_read(tmp_path):
    read = _read(tmp_path, peer__seeds="10.0.0.1:7 10.0.0.2:8").ok
    assert read.peer_seeds == (("10.0.0.1", 7), ("10.0.0.2", 8))


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
def test_wrong_setting_is_named(tmp_path, name, text):
    section, key = name.split("__")
    (found,) = _read(tmp_path, **{name: text}).error
    assert (found.section, found.key) == (section, key)
    assert found.file.endswith("vm.ini")
    if key != "colour":
        assert text in found.problem
        assert found.allowed


def test_key_is_not_printed(tmp_path):
    (found,) = _read(tmp_path, peer__key="short").error
    assert "short" not in str(found)


def test_all_missing_settings_are_reported_at_once(tmp_path):
    path = tmp_path / "empty.ini"
    path.write_text("")
    assert len(config.read_settings(path).error) == len(_GOOD)
