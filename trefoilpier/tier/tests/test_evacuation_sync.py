"""Tests of which source is believed about the evacuated zones."""

import dataclasses

import pytest

from standins import memory_tier
from trefoilpier import base, fleet, http1, platform, store
from trefoilpier.fleet import state_handler
from trefoilpier.tier import evacuation_sync, store_items


class Harness:
    """One VM's set of evacuated zones."""

    def __init__(self):
        self.clock = base.VirtualClock(start=100.0)
        self.log = memory_tier.RecordingLog()
        self.position = store_items.StorePosition(era=1, revision=50)
        self.changes = []
        self.sync = evacuation_sync.EvacuationSync(
            clock=self.clock,
            log=self.log,
            get_position=lambda: self.position,
            on_change=self.changes.append,
        )

    def replace(self, *items, from_peer=False, revision=None):
        self.sync.replace_all(
            list(items), from_peer=from_peer, revision=revision
        )
        return sorted(self.sync.zones)


def item(zone, revision=60):
    key = platform.EVACUATION_PREFIX + zone
    return store.Item(key=key, value=None, revision=revision)


@pytest.fixture
def harness():
    return Harness()


def test_key_without_a_zone_counts_or_is_logged_each_time(harness):
    for _ in range(3):
        assert harness.replace(item(""), item("z1")) == ["z1"]
        harness.sync.put(item(""))
    assert [fields["key"] for _, fields in harness.log.rows] == ["op/evacuate/"]
    harness.sync.remove("op/evacuate/z1", 61)
    assert harness.changes == [{"z1"}, frozenset()]


@pytest.mark.parametrize(
    ("revision", "zones"),
    # A peer that is out of touch, one that is behind, one that is not.
    [(None, ["z1"]), (59, ["z1"]), (60, [])],
)
def test_peer_that_does_not_know_of_an_evacuation_ends_it(
    harness, revision, zones
):
    harness.sync.put(item("z1"))
    assert harness.replace(from_peer=True, revision=revision) == zones
    # A peer that copies this VM's items gets the key, whoever had it first.
    copied = harness.sync.add_missing_items([item("z5")])
    expected = [platform.EVACUATION_PREFIX + zone for zone in ["z5", *zones]]
    assert [each.key for each in copied] == expected
    assert harness.replace(revision=61) == []


@pytest.mark.parametrize(
    ("revision", "era", "zones"),
    # News; what has ended since; what counts in a new and in a former era.
    [
        (51, 1, ["z1"]),
        (50, 1, []),
        (9, 2, ["z1"]),
        (99, 0, []),
        (51, None, ["z1"]),
    ],
)
def test_report_of_a_peer_is_believed_wrongly(harness, revision, era, zones):
    report = {"revision": 99, "zones": {"z1": revision}}
    assert harness.sync.report() is None
    harness.sync.handle_report(report, era=era)
    harness.sync.handle_report(None, era=era)
    assert sorted(harness.sync.zones) == zones
    # Both VMs together know what has happened up to there.
    known = 50 if era in (0, 2) else 99
    assert harness.sync.report()["revision"] == known


@pytest.mark.parametrize(
    ("revision", "era", "zones"),
    [(60, 1, []), (59, 1, ["z1"]), (99, 2, ["z1"]), (99, 0, ["z1"])],
)
def test_report_of_a_peer_ends_an_evacuation_wrongly(
    harness, revision, era, zones
):
    harness.sync.put(item("z1"))
    harness.sync.handle_report({"revision": revision, "zones": {}}, era=era)
    assert sorted(harness.sync.zones) == zones


def test_evacuation_that_a_restored_store_lacks_ends_at_once_or_never(harness):
    harness.replace(item("z1"), item("z2"), item("z3"))
    harness.sync.handle_store_restore()
    harness.position = store_items.StorePosition(era=2, revision=30)
    assert harness.replace(item("z3", 20)) == ["z1", "z2", "z3"]
    # Nobody else takes a zone that is only kept for an evacuated one.
    assert harness.sync.report()["zones"] == {"z1": 0, "z2": 0, "z3": 20}
    harness.sync.handle_report({"revision": 40, "zones": {}}, era=2)
    harness.sync.put(item("z3", 41))
    harness.clock.advance(2.0)
    harness.sync.put(item("z2", 42))
    harness.clock.advance(3.0)
    assert sorted(harness.sync.zones) == ["z2", "z3"]


@pytest.mark.parametrize("known", [False, True])
def test_late_change_undoes_what_a_peer_has_told(harness, known):
    # Guards against two sources without an order: a watch that is behind
    # brings the end of an earlier evacuation after a peer's news of the next.
    if known:
        harness.sync.put(item("z1", 60))
    harness.sync.handle_report({"revision": 80, "zones": {"z1": 75}}, era=1)
    key = platform.EVACUATION_PREFIX + "z1"
    harness.sync.put(item("z1", 60))
    harness.sync.remove(key, 70)
    assert sorted(harness.sync.zones) == ["z1"]
    # So does a read that was on its way.
    assert harness.replace(revision=70) == ["z1"]
    assert harness.replace(item("z1", 60), revision=70) == ["z1"]
    assert harness.changes == [{"z1"}]
    harness.sync.remove(key, 81)
    assert sorted(harness.sync.zones) == []


def test_change_of_a_restored_store_counts_as_late(harness):
    # Guards against revisions of the era before, which are higher.
    harness.replace(item("z1", 60), revision=60)
    harness.sync.handle_store_restore()
    harness.position = store_items.StorePosition(era=2, revision=30)
    assert harness.replace(item("z1", 20), revision=30) == ["z1"]
    harness.sync.remove(platform.EVACUATION_PREFIX + "z1", 31)
    assert harness.changes[-1] == frozenset()


def make_state(**changes):
    state = fleet.GathererState(
        version=4,
        current=True,
        leaving=False,
        limits=http1.CallerLimits(),
        vm_generation=0,
        leaf_generation=1,
        vms=[],
    )
    return dataclasses.replace(state, **changes)


def test_state_without_evacuations_differs_from_that_of_earlier_releases():
    assert b"evacuations" not in make_state().encode()
    told = {"revision": 7, "zones": {"z1": 6}}
    decoded = state_handler.decode_state(
        make_state(evacuations=told).encode()
    ).ok
    assert decoded.evacuations == told
    assert decoded.store_revision == 7
    for malformed in (b"[]", b"5", b'{"revision":1,"zones":[7]}'):
        data = make_state().encode()[:-1] + b',"evacuations":%b}' % malformed
        assert state_handler.decode_state(data).is_error()
