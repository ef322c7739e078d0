"""Tests of configuration validation and incremental builds."""

import dataclasses

import pytest

from standins import fleet
from trefoilpier import config


def _objects_with(section, **keys):
    """Return valid objects with replaced keys in one; None removes a key."""
    objects = []
    for raw in fleet.simple_objects(shards=4):
        if raw.section == section:
            text = {**raw.text_by_key, **keys}
            text = {k: v for k, v in text.items() if v is not None}
            raw = dataclasses.replace(raw, text_by_key=text, file="a.ini")
        objects.append(raw)
    return objects


def _validation_errors(objects):
    result = config.build_config_set(version=1, objects=objects)
    return result.error if result.is_error() else []


def test_valid_config_has_no_errors():
    assert _validation_errors(_objects_with("service search")) == []


_INVALID_CONFIGS = {
    "reference to unknown shard group": (
        ("service search", {"shard_group": "none"}),
        "shard_group",
    ),
    "reference to unknown policy": (
        ("service search", {"policy": "none"}),
        "policy",
    ),
    "cyclic policy inheritance": (
        ("policy usual", {"based_on": "usual"}),
        "based_on",
    ),
    "shard without replica": (
        ("shard_group items", {"shard.2": " "}),
        "shard.2",
    ),
    "gap between shards": (("shard_group items", {"shard.1": None}), "shard.1"),
    "unknown leaf": (
        ("shard_group items", {"shard.0": "leaf-9-9"}),
        "shard.0",
    ),
    "connection limit too low for the fleet": (
        ("shard_group items", {"connection_limit": "1"}),
        "connection_limit",
    ),
    "deadline that is not a duration": (
        ("service search", {"deadline": "soon"}),
        "deadline",
    ),
    "fraction above one": (
        ("policy usual", {"hedge_budget": "5"}),
        "hedge_budget",
    ),
    "unknown key": (("service search", {"colour": "red"}), "colour"),
    "merge of a service that is not repeatable": (
        ("service reserve", {"merge": "top"}),
        "merge",
    ),
    "missing key": (("service search", {"deadline": None}), "deadline"),
    "host name instead of an IP address": (
        ("place zone-0", {"leaves": "leaf-0-0 example:80"}),
        "leaves",
    ),
}


@pytest.mark.parametrize("name", _INVALID_CONFIGS)
def test_invalid_config_is_reported_with_location(name):
    (section, keys), key = _INVALID_CONFIGS[name]
    errors = _validation_errors(_objects_with(section, **keys))
    locations = [(each.file, each.section, each.key) for each in errors]
    assert ("a.ini", section, key) in locations


def test_all_errors_are_reported_together():
    objects = _objects_with("service search", policy="none", deadline="soon")
    keys = {each.key for each in _validation_errors(objects)}
    assert {"policy", "deadline"} <= keys


def test_exactly_one_fleet_is_required():
    objects = [raw for raw in fleet.simple_objects() if raw.kind != "fleet"]
    assert any(
        each.section == "fleet NAME" for each in _validation_errors(objects)
    )


def test_connections_of_all_nodes_stay_within_limit():
    for limit in (2, 3, 7, 25, 100):
        for vms in (1, 3, 7, 40):
            objects = fleet.simple_objects(vms=vms, connection_limit=limit)
            built = config.build_config_set(version=1, objects=objects).ok
            group = built.shard_group_by_name["items"]
            nodes = group.gatherers + built.fleet.spare
            assert group.connections_per_node * nodes <= limit
            assert group.connections_per_node >= 1


def _replace_keys(objects, section, **keys):
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
def test_incremental_build_equals_full_build(section, keys, kept):
    old_objects = fleet.simple_objects(shards=4)
    new_objects = _replace_keys(old_objects, section, **keys)
    previous = config.build_config_set(version=1, objects=old_objects).ok
    incremental = config.build_config_set(
        version=2, objects=new_objects, previous=previous
    ).ok
    assert (
        incremental
        == config.build_config_set(version=2, objects=new_objects).ok
    )
    same_group = (
        incremental.shard_group_by_name["items"]
        is previous.shard_group_by_name["items"]
    )
    assert same_group is kept


def test_incremental_build_reports_errors():
    old_objects = fleet.simple_objects(shards=4)
    previous = config.build_config_set(version=1, objects=old_objects).ok
    new_objects = _replace_keys(
        old_objects, "service search", shard_group="none"
    )
    incremental = config.build_config_set(
        version=2, objects=new_objects, previous=previous
    )
    assert incremental.is_error()
