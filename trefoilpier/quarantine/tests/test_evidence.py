"""Tests of the decision on a request from the ends of leaves under it."""

import pytest

from trefoilpier import quarantine
from trefoilpier.quarantine import evidence

_MINUTE_MS = 60_000


def make_record(*ends):
    """Make a record of ends, each a leaf, service, time sent and time ended."""
    record = quarantine.RequestRecord(description="GET /a")
    for leaf, service, sent_ms, ended_ms in ends:
        record.add(
            leaf,
            quarantine.LeafEnd(
                service=service, sent_ms=sent_ms, ended_ms=ended_ms
            ),
        )
    return record


def standing(record, now_ms):
    return quarantine.judge(record, now_ms).standing


BARRED = make_record(
    ("a", "s", 0, 100), ("b", "s", 1_000, 1_100), ("c", "s", 2_000, 2_100)
)


@pytest.mark.parametrize(
    "ends",
    [
        # Two leaves only.
        [("a", "s", 0, 100), ("b", "s", 1_000, 1_100)],
        # All at the same time.
        [(k, "s", 0, 100) for k in "abcde"],
        # At times that differ only by when the end was noticed.
        [("a", "s", 0, 100), ("b", "s", 150, 300), ("c", "s", 350, 550)],
        # Long apart.
        [
            ("a", "s", 0, 100),
            ("b", "s", 11 * _MINUTE_MS, 11 * _MINUTE_MS + 1),
            ("c", "s", 22 * _MINUTE_MS, 22 * _MINUTE_MS + 1),
        ],
    ],
)
def test_ends_of_leaves_by_chance_bar_a_request(ends):
    record = make_record(*ends)
    last_ms = record.last_ended_ms
    assert standing(record, last_ms) is quarantine.Standing.SUSPECT
    assert standing(record, last_ms + 11 * _MINUTE_MS) is (
        quarantine.Standing.CLEAR
    )


def test_bar_is_as_long_after_each_release():
    record = make_record(
        *[("abc"[k], "s", k * 999, k * 999 + 9) for k in range(3)]
    )
    lengths = []
    for leaf in "defgh":
        until_ms = quarantine.judge(record, 0).until_ms
        end = quarantine.LeafEnd(
            service="s", sent_ms=until_ms + 1_000, ended_ms=until_ms + 1_100
        )
        record.add(leaf, end)
        lengths.append(quarantine.judge(record, 0).until_ms - end.ended_ms)
    assert lengths == [
        4 * _MINUTE_MS,
        16 * _MINUTE_MS,
        64 * _MINUTE_MS,
        240 * _MINUTE_MS,
        240 * _MINUTE_MS,
    ]


def test_ends_while_a_bar_begins_make_it_longer():
    record = make_record(
        ("a", "s", 0, 100),
        ("b", "s", 1_000, 1_100),
        ("c", "s", 2_000, 2_100),
        # Sent by a VM that did not know yet.
        ("d", "s", 2_200, 2_300),
    )
    assert quarantine.judge(record, 2_300).until_ms == 2_300 + _MINUTE_MS


def test_answer_of_one_service_clears_the_ends_of_another():
    record = make_record(
        ("a", "s", 0, 100), ("b", "s", 1_000, 1_100), ("c", "s", 2_000, 2_100)
    )
    record.answered_ms = 2_200
    assert standing(record, 2_300) is quarantine.Standing.BARRED
    record.clear(["a", "b", "c"])
    assert standing(record, 2_300) is quarantine.Standing.CLEAR


def test_ends_in_several_services_after_an_answer_of_one_bar_a_request():
    record = make_record(
        ("a", "s", 0, 100), ("b", "t", 0, 100), ("c", "u", 1_000, 1_100)
    )
    assert standing(record, 1_100) is quarantine.Standing.BARRED
    record.answered_ms = 500
    assert standing(record, 1_100) is quarantine.Standing.SUSPECT


def test_record_grows_with_each_leaf_that_ends():
    record = quarantine.RequestRecord(description="GET /a")
    for k in range(500):
        end = quarantine.LeafEnd(
            service="s", sent_ms=1_000 * k, ended_ms=1_000 * k + 10
        )
        record.add(f"leaf-{k}", end)
    assert len(record.end_by_leaf) == evidence.ENDS_KEPT
    # Leaves that end together add no more than a few.
    many = make_record(*[(str(k), "s", 0, 100) for k in range(50)])
    assert len(many.end_by_leaf) == evidence.ENDS_KEPT_PER_RUN


def test_merge_depends_on_the_order():
    first = make_record(("a", "s", 0, 100), ("b", "s", 1_000, 1_100))
    second = make_record(("b", "s", 1_000, 1_100), ("c", "s", 2_000, 2_100))
    second.clear(["b"])
    second.answered_ms = 1_500
    merged = []
    for records in ((first, second), (second, first), (first, second, first)):
        total = quarantine.RequestRecord(description="GET /a")
        for record in records:
            total.merge(record)
        merged.append((total.end_by_leaf, total.cleared, total.answered_ms))
    assert merged[0] == merged[1] == merged[2]
