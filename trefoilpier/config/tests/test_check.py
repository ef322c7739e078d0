"""Broken sets of objects: every mistake is reported with its place."""

import dataclasses

import pytest

from standins import fleet
from trefoilpier import config


def _change(section, **keys):
    """Returns a good set in which one object's keys are replaced."""
    objects = []
    for raw in fleet.simple_objects(shards=4):
        if raw.section == section:
            text = {**raw.text_by_key, **keys}
            text = {k: v for k, v in text.items() if v is not None}
            raw = dataclasses.replace(raw, text_by_key=text, file="a.ini")
        objects.append(raw)
    return objects


def _findings(objects):
    built = config.build_config_set(version=1, objects=objects)
    return built.error if built.is_error() else []


def test_good_set_has_no_findings():
    assert _findings(_change("service search")) == []


_BROKEN = {
    "reference to no shard group": (
        ("service search", {"shard_group": "none"}),
        "shard_group",
    ),
    "reference to no policy": (
        ("service search", {"policy": "none"}),
        "policy",
    ),
    "cycle of policies": (("policy usual", {"based_on": "usual"}), "based_on"),
    "shard without replica": (
        ("shard_group items", {"shard.2": " "}),
        "shard.2",
    ),
    "gap between shards": (("shard_group items", {"shard.1": None}), "shard.1"),
    "leaf that is nowhere": (
        ("shard_group items", {"shard.0": "leaf-9-9"}),
        "shard.0",
    ),
    "limit too small for the fleet": (
        ("shard_group items", {"connection_limit": "1"}),
        "connection_limit",
    ),
    "word instead of a duration": (
        ("service search", {"deadline": "soon"}),
        "deadline",
    ),
    "share above one": (
        ("policy usual", {"hedge_budget": "5"}),
        "hedge_budget",
    ),
    "unknown key": (("service search", {"colour": "red"}), "colour"),
    "not repeatable but merged": (
        ("service reserve", {"merge": "top"}),
        "merge",
    ),
    "missing key": (("service search", {"deadline": None}), "deadline"),
    "host name instead of an IP number": (
        ("place zone-0", {"leaves": "leaf-0-0 example:80"}),
        "leaves",
    ),
}


@pytest.mark.parametrize("name", _BROKEN)
def test_broken_set_is_found(name):
    (section, keys), key = _BROKEN[name]
    found = _findings(_change(section, **keys))
    places = [(each.file, each.section, each.key) for each in found]
    assert ("a.ini", section, key) in places


def test_all_findings_are_reported_at_once():
    objects = _change("service search", policy="none", deadline="soon")
    keys = {each.key for each in _findings(objects)}
    assert {"policy", "deadline"} <= keys


def test_set_needs_exactly_one_fleet():
    objects = [raw for raw in fleet.simple_objects() if raw.kind != "fleet"]
    assert any(each.section == "fleet NAME" for each in _findings(objects))


def test_shares_of_connections_stay_within_the_limit():
    for limit in (2, 3, 7, 25, 100):
        for vms in (1, 3, 7, 40):
            objects = fleet.simple_objects(vms=vms, connection_limit=limit)
            built = config.build_config_set(version=1, objects=objects).ok
            group = built.shard_group_by_name["items"]
            holders = group.gatherers + built.fleet.spare
            assert group.connection_share * holders <= limit
            assert group.connection_share >= 1


def _edit(objects, section, **keys):
    return [
        dataclasses.replace(raw, text_by_key={**raw.text_by_key, **keys})
        if raw.section == section
        else raw
        for raw in objects
    ]


@pytest.mark.parametrize(
    ("section", "keys", "kept"),
    [
        ("service search", {"deadline": "900ms"}, True),
        ("policy usual", {"mode": "tail"}, True),
        ("shard_group items", {"slots": "4"}, False),
        ("shard_group items", {"epoch": "2"}, False),
        ("fleet entry", {"vms": "5"}, False),
        (
            "place zone-0",
            {"leaves": "leaf-0-0 127.0.0.1:9\nleaf-1-1 127.0.0.1:8"},
            False,
        ),
    ],
)
def test_set_built_over_another_equals_a_fresh_one(section, keys, kept):
    before = fleet.simple_objects(shards=4)
    after = _edit(before, section, **keys)
    previous = config.build_config_set(version=1, objects=before).ok
    over = config.build_config_set(
        version=2, objects=after, previous=previous
    ).ok
    assert over == config.build_config_set(version=2, objects=after).ok
    same = (
        over.shard_group_by_name["items"]
        is previous.shard_group_by_name["items"]
    )
    assert same is kept


def test_mistake_is_found_when_built_over_a_good_set():
    before = fleet.simple_objects(shards=4)
    previous = config.build_config_set(version=1, objects=before).ok
    after = _edit(before, "service search", shard_group="none")
    over = config.build_config_set(version=2, objects=after, previous=previous)
    assert over.is_error()
