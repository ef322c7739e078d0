"""Tests of what a VM does first, on a virtual clock."""

import random

import pytest

from standins import (
    httpd,
    memory_net,
    opaque_leaf,
    platform_model,
    published_protocol,
)
from standins import platform as platform_standin
from trefoilpier import base, fleet, forward, platform
from trefoilpier.tier import vm

STORE = ("10.0.0.9", 90)
LEAF_HOST = "10.2.0.1"
SHARDS = ["s1", "s2", "s3"]


class StartHarness:
    """One large VM, the store and a leaf for each shard."""

    def __init__(self, tmp_path):
        self.clock = base.VirtualClock(start=100.0)
        self.net = memory_net.MemoryReactor(clock=self.clock)
        self.model = platform_model.PlatformModel(clock=self.clock)
        server = platform_standin.PlatformServer(
            model=self.model, clock=self.clock
        )
        self.net.listen(*STORE, httpd.HttpFactory(handle=server.handle))
        self.model.put(
            published_protocol.ROUTES_KEY,
            published_protocol.routes_value(
                version=1, shards=SHARDS, single="s1"
            ),
            None,
            "",
        )
        for port, shard in enumerate(SHARDS, start=80):
            self._add_leaf(shard, port)
        settings = tmp_path / "vm"
        settings.write_text(
            published_protocol.settings_text(
                name="vm-1",
                zone="z1",
                ports=published_protocol.VmPorts(
                    host="10.1.0.1",
                    caller_port=80,
                    readiness_port=81,
                    first_internal_port=90,
                ),
                store=f"{STORE[0]}:{STORE[1]}",
            )
        )
        self.vm = vm.TierVm(
            boot=platform.read_boot(str(settings)).ok,
            clock=self.clock,
            log=base.NullEventLog(),
            reactor=self.net,
            on_limits=lambda limits: None,
            policy=forward.ForwardPolicy(),
        )

    def _add_leaf(self, shard, port):
        leaf = opaque_leaf.OpaqueLeaf(
            clock=self.clock, rng=random.Random(port), leaf_id=f"leaf-{shard}"
        )
        self.net.listen(LEAF_HOST, port, leaf.factory())
        self.model.put(
            f"{published_protocol.LEAF_PREFIX}leaf-{shard}",
            published_protocol.leaf_value(
                service=shard,
                address=f"{LEAF_HOST}:{port}",
                zone="z1",
                slots=2,
                leaving=False,
            ),
            None,
            "",
        )

    def start(self):
        self.vm.start(
            fleet.VmRecord(
                id="vm-1",
                zone="z1",
                host="10.1.0.1",
                relay_port=90,
                state_port=91,
                started_ms=1,
            )
        )


@pytest.fixture
def harness(tmp_path):
    return StartHarness(tmp_path)


def test_large_vm_is_ready_as_soon_as_it_has_read_the_store(harness):
    # Replays the return of all VMs after a loss of power: ready half a second
    # after the first read, they were preceded by the small VMs that need them.
    harness.start()
    harness.clock.advance(0.1)
    assert harness.vm.version == 1
    assert harness.vm.ready()


def test_new_leaves_get_a_connection_at_once(harness):
    harness.start()
    harness.clock.advance(5.0)
    pools = harness.vm._leaf_registry.pool_by_id
    harness._add_leaf("s1b", 95)
    harness.clock.advance(0.1)
    assert pools["leaf-s1b"].connected
