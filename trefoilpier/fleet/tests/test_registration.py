"""Tests of registration under a lease, against a simulated store."""

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


class RegistrationHarness:
    def __init__(self):
        self.clock = base.VirtualClock()
        net = memory_net.MemoryReactor(clock=self.clock)
        self.model = platform_model.PlatformModel(clock=self.clock)
        server = platform_standin.PlatformServer(
            model=self.model, clock=self.clock
        )
        net.listen(*ADDRESS, httpd.HttpFactory(handle=server.handle))
        self.registration = fleet.VmRegistration(
            clock=self.clock,
            rng=random.Random(1),
            store_client=platform.PlatformStore(
                reactor=net,
                clock=self.clock,
                host=ADDRESS[0],
                port=ADDRESS[1],
            ),
            record=RECORD,
            lease_ttl_min_s=1.0,
        )

    def registered_records(self):
        items = self.model.items(fleet.VM_KEY_PREFIX)
        return [
            fleet.decode_vm_record(item.value.encode()).ok
            for item in items.values()
        ]


def test_vm_is_registered_from_start_to_stop():
    harness = RegistrationHarness()
    harness.registration.start()
    harness.clock.advance(1.0)
    assert harness.registered_records() == [RECORD]
    harness.clock.advance(60.0)
    assert harness.registered_records() == [RECORD]
    harness.registration.stop()
    harness.clock.advance(1.0)
    assert harness.registered_records() == []


def test_lease_renewals_cost_few_writes():
    harness = RegistrationHarness()
    harness.registration.start()
    harness.clock.advance(60.0)
    assert harness.model.counts.writes <= 2


def test_vm_registers_again_after_outage_longer_than_lease():
    harness = RegistrationHarness()
    harness.registration.start()
    harness.clock.advance(1.0)
    harness.model.faults.down = True
    harness.clock.advance(20.0)
    harness.model.faults.down = False
    harness.clock.advance(6.0)
    assert harness.registered_records() == [RECORD]


def test_vm_registers_once_store_becomes_available():
    harness = RegistrationHarness()
    harness.model.faults.down = True
    harness.registration.start()
    harness.clock.advance(5.0)
    harness.model.faults.down = False
    harness.clock.advance(3.0)
    assert harness.registered_records() == [RECORD]


def test_record_that_has_ended_with_an_earlier_lease_stays_away():
    # Guards against a write that was taken for lost, is done seconds later and
    # binds the record to a lease that nobody renews.
    harness = RegistrationHarness()
    harness.registration.start()
    harness.clock.advance(1.0)
    harness.registration.handle_listing(listed=True)
    earlier = harness.model.grant_lease(1.0)
    key = fleet.VM_KEY_PREFIX + RECORD.id
    harness.model.put(key, RECORD.encode().decode(), None, earlier)
    harness.clock.advance(2.0)
    assert harness.registered_records() == []
    harness.registration.handle_listing(listed=False)
    harness.clock.advance(3.0)
    assert harness.registered_records() == [RECORD]
    harness.clock.advance(60.0)
    assert harness.registered_records() == [RECORD]
