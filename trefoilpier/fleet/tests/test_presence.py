"""Registration under a lease, against the stand-in store."""

import random

from standins import httpd, memory_net, platform_model
from standins import platform as platform_standin
from trefoilpier import base, fleet, platform

ADDRESS = ("10.0.0.9", 90)
RECORD = fleet.VmRecord(
    id="vm-1",
    zone="z",
    host="10.0.0.1",
    relay_port=1,
    state_port=2,
    started_ms=3,
)


class Scene:
    def __init__(self):
        self.clock = base.VirtualClock()
        net = memory_net.MemoryNet(clock=self.clock)
        self.model = platform_model.PlatformModel(clock=self.clock)
        server = platform_standin.PlatformServer(
            model=self.model, clock=self.clock
        )
        net.listen(*ADDRESS, httpd.HttpFactory(handle=server.handle))
        self.presence = fleet.Presence(
            clock=self.clock,
            rng=random.Random(1),
            store_client=platform.PlatformStore(
                reactor=net,
                clock=self.clock,
                host=ADDRESS[0],
                port=ADDRESS[1],
            ),
            record=RECORD,
            lease_least_s=1.0,
        )

    def registered(self):
        items = self.model.items(fleet.KEY_PREFIX)
        return [
            fleet.decode_vm(each.value.encode()).ok for each in items.values()
        ]


def test_a_vm_is_registered_for_as_long_as_it_lives():
    scene = Scene()
    scene.presence.start()
    scene.clock.advance(1.0)
    assert scene.registered() == [RECORD]
    scene.clock.advance(60.0)
    assert scene.registered() == [RECORD]
    scene.presence.stop()
    scene.clock.advance(1.0)
    assert scene.registered() == []


def test_renewals_cost_few_calls():
    scene = Scene()
    scene.presence.start()
    scene.clock.advance(60.0)
    assert scene.model.counts.writes <= 2


def test_it_registers_again_after_an_outage_that_outlasts_its_lease():
    scene = Scene()
    scene.presence.start()
    scene.clock.advance(1.0)
    scene.model.faults.down = True
    scene.clock.advance(20.0)
    scene.model.faults.down = False
    scene.clock.advance(6.0)
    assert scene.registered() == [RECORD]


def test_it_registers_once_the_store_is_there():
    scene = Scene()
    scene.model.faults.down = True
    scene.presence.start()
    scene.clock.advance(5.0)
    scene.model.faults.down = False
    scene.clock.advance(3.0)
    assert scene.registered() == [RECORD]
