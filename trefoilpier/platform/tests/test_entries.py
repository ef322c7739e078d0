"""Tests of decoding the entries that operators and leaves write."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins import published_protocol
from trefoilpier import platform


def encode_routes(**changes):
    route_fields = {
        "name": "r",
        "host": "a.example",
        "prefix": "/x/",
        "type": "safe",
        "timeout-ms": 500,
        "target-latency-ms": 50,
        "max-attempts": 2,
        "priority": 1,
        "service": "s",
    }
    route_fields.update(changes)
    return orjson.dumps(
        {"version": 4, "routes": [route_fields], "services": []}
    )


def test_complete_configuration_is_decoded():
    value = published_protocol.routes_value(
        version=9, shards=["a", "b"], single="s"
    )
    table = platform.decode_routes(value.encode()).ok
    assert table.version == 9
    gather, read, write = table.routes
    assert gather.gather.services == ("a", "b")
    assert gather.gather.min_coverage == 0.7
    assert (read.repeatable, write.repeatable) == (True, False)
    assert (read.timeout_s, read.objective_s) == (1.5, 0.3)
    assert table.service_by_name["a"].connections_max == 60


def test_split_keeps_its_weights():
    split = [{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]
    route = platform.decode_routes(encode_routes(split=split)).ok.routes[0]
    assert [(target.name, target.weight) for target in route.targets] == [
        ("a", 3),
        ("b", 1),
    ]


def test_only_safe_routes_are_repeatable():
    for route_type in ("unsafe", "keyed", None, 1):
        route = platform.decode_routes(
            encode_routes(type=route_type)
        ).ok.routes[0]
        assert not route.repeatable


def test_longest_prefix_matches():
    table_fields = orjson.loads(encode_routes())
    table_fields["routes"].append(
        {**table_fields["routes"][0], "name": "r2", "prefix": "/x/y/"}
    )
    table = platform.decode_routes(orjson.dumps(table_fields)).ok
    assert table.match(b"A.Example", b"/x/y/z").name == "r2"
    assert table.match(b"a.example", b"/x/yz").name == "r"
    assert table.match(b"a.example", b"/y/") is None
    assert table.match(b"b.example", b"/x/") is None


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"",
        b"[]",
        b'{"version":1}',
        b'{"version":"1","routes":[],"services":[]}',
        encode_routes(prefix=None),
        encode_routes(**{"timeout-ms": "soon"}),
        encode_routes(gather=["a"], service=None),
    ],
)
def test_malformed_configuration_is_an_error(value):
    assert platform.decode_routes(value).is_error()


def encode_leaf(**changes):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "max-concurrency": 2,
    }
    return orjson.dumps({**fields, **changes})


# Of another writer, as operators of similar systems have met them.
ODD_LEAF_ENTRIES = [
    b"[" * 100_000,
    b'{"service":' * 100_000,
    encode_leaf().replace(b":2}", b":" + b"[" * 2000 + b"]" * 2000 + b"}"),
    encode_leaf().replace(b":2}", b":1e400}"),
    encode_leaf().replace(b":2}", b":" + b"9" * 5000 + b"}"),
    encode_leaf(**{"max-concurrency": 1e308}),
    encode_leaf(**{"warmup-left-ms": 1e308}),
    encode_leaf(born=1e308),
    encode_leaf(address="10.0.0.1:0"),
    encode_leaf(address="10.0.0.1:65536"),
    encode_leaf(address="10.0.0.1:" + "9" * 5000),
    encode_leaf(address="10.0.0.1:\u0663"),
    encode_leaf(address="10.0.0.1"),
    encode_leaf(address="999.0.0.1:80"),
    encode_leaf(address="leaf.example:80"),
    encode_leaf(address="a" * 300 + ":80"),
    encode_leaf(address="10.0.0.1\r\nx:80"),
    encode_leaf(address="\0:80"),
]


@pytest.mark.parametrize("value", ODD_LEAF_ENTRIES)
def test_odd_entry_of_another_writer_names_a_leaf(value):
    # Guards against host names, which are looked up, and against ports and
    # figures that fail later.
    assert platform.decode_leaf("servers/x", value).is_error()


@pytest.mark.parametrize("leaf_id", ["a\r\nx-a: b", "a b", "\0", "\u00e9"])
def test_odd_key_of_another_writer_is_sent_in_a_header(leaf_id):
    # Guards against a key that adds headers, or a request, to those of callers.
    assert platform.decode_leaf("servers/" + leaf_id, encode_leaf()).is_error()


@given(st.binary(max_size=60))
def test_arbitrary_bytes_never_raise(value):
    platform.decode_leaf("servers/x", value)
    platform.decode_routes(value)
