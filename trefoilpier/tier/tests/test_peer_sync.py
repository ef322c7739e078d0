"""Tests of which items a VM applies from its peers."""

import random

import expression
import pytest
from twisted.internet import defer

from standins import memory_net
from trefoilpier import base, fleet, http1, platform, replicas, store
from trefoilpier.fleet import snapshot
from trefoilpier.tier import peer_sync, store_sync

PEER = fleet.VmRecord(
    id="peer",
    zone="z",
    host="10.0.0.2",
    relay_port=1,
    state_port=2,
    started_ms=3,
)


class SnapshotStore(store.KeyValueStore):
    """Store that returns one snapshot, or fails if it has none."""

    __slots__ = ("items",)

    def __init__(self, items=None):
        self.items = items

    def read_all(self, prefix, *, allow_stale=False):
        if self.items is None:
            code = base.ResultCode.STORE_UNAVAILABLE
            return defer.succeed(expression.Error(base.Failure(code=code)))
        return defer.succeed(
            expression.Ok(store.Snapshot(items=self.items, revision=5))
        )

    def watch(self, *args, **options):
        return defer.Deferred()

    read = write = grant_lease = keep_lease = end_lease = delete = watch


def routes_item(version):
    value = b'{"version":%d,"routes":[],"services":[]}' % version
    return store.Item(key=platform.ROUTES_KEY, value=value, revision=version)


def leaf_item(name):
    value = (
        b'{"service":"s","address":"10.0.0.7:1","zone":"z","state":"ready",'
        b'"max-concurrency":2}'
    )
    return store.Item(key=f"servers/{name}", value=value, revision=1)


class PeerSyncHarness(http1.RequestHandler):
    def __init__(self, own_items, peer_items):
        self.clock = base.VirtualClock()
        net = memory_net.MemoryReactor(clock=self.clock)
        self.peer_items = peer_items
        self.peer_position = None
        self.fetches = 0
        net.listen(
            PEER.host,
            PEER.state_port,
            http1.ServerFactory(
                clock=self.clock, handler=self, limits=http1.CallerLimits()
            ),
        )
        self.registry = replicas.LeafRegistry(
            clock=self.clock,
            log=base.NullEventLog(),
            reactor=net,
            id_header=b"",
            on_capacity=lambda pool: None,
        )
        self.sync = store_sync.StoreSync(
            clock=self.clock,
            log=base.NullEventLog(),
            rng=random.Random(1),
            store_client=SnapshotStore(own_items),
            registry=self.registry,
            directory=fleet.VmDirectory(),
            on_routes=lambda table: None,
            on_members=lambda: None,
        )
        self.peer_syncer = peer_sync.PeerSync(
            clock=self.clock,
            log=base.NullEventLog(),
            reactor=net,
            local_sync=self.sync,
        )
        self.sync.start()
        self.clock.advance(0.5)

    def handle(self, exchange):
        self.fetches += 1
        snapshot.respond_snapshot(
            exchange,
            fleet.Snapshot(
                data=peer_sync.encode_items(self.peer_items),
                position=self.peer_position,
            ),
        )

    def rejected(self, status, reason):
        raise AssertionError(reason)

    def report_state(
        self, version, current=True, generation=1, wait_s=1.5, **fields
    ):
        self.peer_syncer.handle_state(
            PEER,
            fleet.GathererState(
                version=version,
                current=current,
                leaving=False,
                limits=http1.CallerLimits(),
                vm_generation=0,
                leaf_generation=generation,
                vms=[],
                **fields,
            ),
        )
        self.clock.advance(wait_s)

    def leaf_ids(self):
        return sorted(self.registry.pool_by_id)


def test_routes_and_leaves_are_applied_while_store_is_unavailable():
    harness = PeerSyncHarness(None, [routes_item(4), leaf_item("a")])
    assert not harness.sync.loaded
    harness.report_state(4)
    assert (harness.sync.version, harness.leaf_ids()) == (4, ["a"])
    assert harness.sync.loaded
    assert not harness.sync.current


def test_malformed_snapshot_removes_no_leaf():
    harness = PeerSyncHarness(None, [routes_item(4), leaf_item("a")])
    harness.report_state(4)
    harness.peer_items = []
    harness.report_state(4, generation=2)
    harness.clock.advance(5.0)
    assert harness.fetches == 2
    assert harness.leaf_ids() == ["a"]


def test_unchanged_state_is_not_fetched_again():
    harness = PeerSyncHarness(None, [routes_item(4), leaf_item("a")])
    harness.report_state(4)
    harness.report_state(4)
    assert harness.fetches == 1
    harness.report_state(4, generation=2)
    assert harness.fetches == 2


def test_only_newer_routes_are_applied_while_store_is_available():
    own = [routes_item(4), leaf_item("a")]
    harness = PeerSyncHarness(own, [routes_item(6), leaf_item("b")])
    harness.report_state(4)
    assert harness.fetches == 0
    harness.report_state(6)
    assert (harness.sync.version, harness.leaf_ids()) == (6, ["a"])


def test_older_routes_of_peer_are_ignored():
    harness = PeerSyncHarness([routes_item(9)], [routes_item(6)])
    harness.report_state(6)
    assert harness.sync.version == 9


def test_items_of_peer_without_store_are_not_fetched():
    harness = PeerSyncHarness(None, [routes_item(4), leaf_item("a")])
    harness.report_state(0, current=False)
    assert harness.fetches == 0


def test_leaf_missing_at_peer_is_removed_after_delay():
    harness = PeerSyncHarness(
        None, [routes_item(4), leaf_item("a"), leaf_item("b")]
    )
    harness.report_state(4)
    harness.peer_items = [routes_item(4), leaf_item("a")]
    harness.report_state(4, generation=2)
    assert harness.leaf_ids() == ["a", "b"]
    harness.clock.advance(3.0)
    assert harness.leaf_ids() == ["a"]


@pytest.mark.parametrize(
    ("position", "expected"),
    [
        # Restored since the state was reported.
        (fleet.SnapshotPosition(era=2, revision=6, current=True), (2, 6)),
        # A VM of an earlier release, which states no position.
        (None, (1, 40)),
    ],
)
def test_items_are_labelled_with_the_position_of_an_earlier_state(
    position, expected
):
    # Guards against items of a restored store that pass for later ones of the
    # era before, so that what they lack counts as ended.
    harness = PeerSyncHarness(None, [routes_item(4), leaf_item("a")])
    harness.peer_position = position
    harness.report_state(
        4, era=1, evacuations={"revision": 40, "zones": {"z9": 31}}
    )
    assert (harness.sync.era, harness.sync.revision) == expected


def test_change_during_a_fetch_from_the_same_peer_is_lost():
    harness = PeerSyncHarness(None, [routes_item(4), leaf_item("a")])
    # Until the peer has answered with its first items.
    harness.report_state(4, wait_s=0.0016)
    assert harness.fetches == 1
    harness.peer_items.append(leaf_item("b"))
    harness.report_state(4, generation=2)
    assert (harness.fetches, harness.leaf_ids()) == (2, ["a", "b"])
