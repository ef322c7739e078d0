"""Tests of relaying to gatherers, over a simulated network."""

import random

import expression
import pytest
from twisted.internet import defer

from standins import memory_fleet, memory_net, memory_tier, opaque_caller
from trefoilpier import base, fleet, forward, http1, platform, replicas, store
from trefoilpier.tier import dispatcher

BUDGET = forward.RetryBudgetLimits(share=1.0, window_s=10.0, allowance=100.0)


class RecordStore(store.KeyValueStore):
    """Store with the records of gatherers; may be unavailable."""

    __slots__ = ("records", "up")

    def __init__(self):
        self.records = []
        self.up = True

    def read_all(self, prefix, *, allow_stale=False):
        if not self.up:
            code = base.ResultCode.STORE_UNAVAILABLE
            return defer.succeed(expression.Error(base.Failure(code=code)))
        items = [
            store.Item(
                key=prefix + record.id, value=record.encode(), revision=1
            )
            for record in self.records
        ]
        return defer.succeed(
            expression.Ok(store.Snapshot(items=items, revision=1))
        )

    def read(self, *args, **options):
        raise NotImplementedError

    watch = write = grant_lease = keep_lease = end_lease = delete = read


class Gatherer:
    """Gatherer VM with its relay handler and its state handler."""

    def __init__(self, harness, name, zone):
        self.tier = memory_tier.MemoryTier()
        self.tier.clock = harness.clock
        self.engine = harness.make_engine(platform.PlatformWire())
        self.leaving = False
        self.record = fleet.VmRecord(
            id=name,
            zone=zone,
            host=f"10.1.0.{len(harness.gatherer_by_id) + 1}",
            relay_port=7000,
            state_port=7001,
            started_ms=1,
        )
        self.state_handler = fleet.StateHandler(
            clock=harness.clock,
            make_state=lambda: self.state(harness),
            make_snapshot=lambda: fleet.Snapshot(data=b"[]", position=None),
        )
        relay_handler = fleet.RelayHandler(engine=self.engine)
        for port, handler in (
            (7000, relay_handler),
            (7001, self.state_handler),
        ):
            harness.net.listen(
                self.record.host,
                port,
                http1.ServerFactory(
                    clock=harness.clock,
                    handler=handler,
                    limits=http1.CallerLimits(),
                ),
            )

    def state(self, harness):
        table = self.engine.table
        return fleet.GathererState(
            version=table.version if table else 0,
            current=True,
            leaving=self.leaving,
            limits=http1.CallerLimits(),
            vm_generation=len(harness.gatherer_by_id),
            leaf_generation=0,
            vms=[each.record for each in harness.gatherer_by_id.values()],
        )


class RelayHarness:
    def __init__(self):
        self.clock = base.VirtualClock(start=50.0)
        self.net = memory_net.MemoryReactor(clock=self.clock)
        self.store = RecordStore()
        self.gatherer_by_id = {}
        self.results = {}
        self.store_sync_starts = 0
        wire = fleet.RelayWire(wire=platform.PlatformWire())
        self.engine = self.make_engine(wire)
        self.registry = self.engine.registry
        self.watch = fleet.GathererWatch(
            clock=self.clock,
            log=base.NullEventLog(),
            rng=random.Random(1),
            reactor=self.net,
            store_client=self.store,
            registry=self.registry,
            own_id="small",
            zone="z1",
            tracks_leaves=lambda: False,
            on_state=lambda record, state: self.relay.update_version(
                state.version
            ),
        )
        self.relay = dispatcher.Relay(
            engine=self.engine, wire=wire, watch=self.watch
        )
        self.local_engine = self.make_engine(platform.PlatformWire())
        self.request_dispatcher = dispatcher.RequestDispatcher(
            clock=self.clock,
            engine=self.local_engine,
            relay=self.relay,
            # Not taken, since no service is lost.
            detour=self.relay,
            reach=fleet.ServiceReach(
                clock=self.clock,
                log=base.NullEventLog(),
                registry=self.local_engine.registry,
                get_services=frozenset,
                on_change=lambda: None,
            ),
            is_gatherer=lambda: False,
            start_store_sync=self._start_store_sync,
        )
        self.net.listen(
            "10.2.0.1",
            80,
            http1.ServerFactory(
                clock=self.clock,
                handler=self.request_dispatcher,
                limits=http1.CallerLimits(),
            ),
        )
        self.client = http1.HttpClient(
            reactor=self.net, clock=self.clock, host="10.2.0.1", port=80
        )

    def _start_store_sync(self):
        self.store_sync_starts += 1

    def make_engine(self, wire):
        engine = forward.ForwardEngine(
            clock=self.clock,
            log=base.NullEventLog(),
            wire=wire,
            chooser=replicas.LeafChooser(rng=random.Random(2), zone="z1"),
            budget_limits=BUDGET,
        )
        engine.registry = replicas.LeafRegistry(
            clock=self.clock,
            log=base.NullEventLog(),
            reactor=self.net,
            id_header=wire.id_header,
            on_capacity=engine.start_queued_calls,
            reuse=replicas.ReusePolicy(idle_s=10.0, non_repeatable_idle_s=10.0),
        )
        engine.registry.set_connection_limits({fleet.GATHERER_SERVICE: 100})
        engine.set_vm_count(1)
        return engine

    def add_gatherer(self, name, zone="z1", version=3):
        added = Gatherer(self, name, zone)
        self.gatherer_by_id[name] = added
        self.store.records.append(added.record)
        # The route's service has no leaves, so a gatherer refuses requests
        # with status 503.
        added.engine.table = memory_tier.routes.RouteTable(
            version=version,
            routes=(memory_tier.make_route(host=b"10.2.0.1"),),
        )
        return added

    def send_request(self, name, method=b"GET", more=()):
        headers = [
            (b"x-request-id", name.encode()),
            (b"x-deadline-ms", b"1000"),
            *more,
        ]

        def record_result(outcome):
            status = 0
            if isinstance(outcome, http1.ResponseReceived):
                status = outcome.response.status
            self.results[name] = (status, outcome)

        self.client.send_request(
            method, b"/s/1", headers=headers, timeout_s=3.0
        ).addCallback(record_result)


@pytest.fixture
def harness():
    return RelayHarness()


def requests_ended(gatherer):
    return sum(gatherer.engine.count_by_outcome.values())


def test_requests_go_to_same_zone_and_refusals_are_returned(harness):
    near, far = (
        harness.add_gatherer("g1"),
        harness.add_gatherer("g2", zone="z9"),
    )
    harness.add_gatherer("g3")
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    assert harness.request_dispatcher.is_relaying
    for k in range(10):
        harness.send_request(f"q{k}")
        harness.clock.advance(0.1)
    assert all(status == 503 for status, _ in harness.results.values())
    refusal = harness.results["q0"][1].response
    assert http1.find_header(refusal.headers, b"retry-after")
    assert http1.find_header(refusal.headers, b"trefoilpier-version") is None
    assert requests_ended(far) == 0
    assert (
        requests_ended(near) + requests_ended(harness.gatherer_by_id["g3"])
        == 10
    )


def test_gatherer_with_older_routes_does_not_run_requests(harness):
    # Guards against a 404 response from older routes. It occurred in run
    # grown/khadag trouble-1: a gatherer that had lost access to the store kept
    # an older version long after the newer one was in force.
    behind, ahead = (
        harness.add_gatherer("g1", version=3),
        harness.add_gatherer("g2", version=5),
    )
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    for k in range(20):
        harness.send_request(f"q{k}")
        harness.clock.advance(0.1)
    assert requests_ended(behind) == 0
    assert requests_ended(ahead) == 20


def test_requests_avoid_unresponsive_gatherer(harness):
    unresponsive, other = harness.add_gatherer("g1"), harness.add_gatherer("g2")
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    for transport in harness.net.transports:
        if transport.peer.protocol is not None:
            transport.peer.silent = True
    harness.net.unresponsive_addresses.add((unresponsive.record.host, 7000))
    harness.net.unresponsive_addresses.add((unresponsive.record.host, 7001))
    harness.clock.advance(3.0)
    harness.send_request("q")
    harness.clock.advance(0.5)
    assert harness.results["q"][0] == 503
    assert requests_ended(other) == 1


def test_gatherer_shutting_down_gets_no_new_requests(harness):
    stopping, other = harness.add_gatherer("g1"), harness.add_gatherer("g2")
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    stopping.leaving = True
    stopping.state_handler.notify_waiting()
    harness.clock.advance(0.1)
    for k in range(10):
        harness.send_request(f"q{k}")
        harness.clock.advance(0.05)
    assert requests_ended(stopping) == 0
    assert requests_ended(other) == 10


def test_requests_go_to_other_zone_if_same_zone_is_unavailable(harness):
    near, far = (
        harness.add_gatherer("g1"),
        harness.add_gatherer("g2", zone="z9"),
    )
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    for port in (7000, 7001):
        harness.net.stop_listening(near.record.host, port)
    for transport in harness.net.transports:
        transport.abortConnection()
    harness.clock.advance(1.0)
    harness.send_request("q")
    harness.clock.advance(0.5)
    assert requests_ended(far) == 1


def test_vm_serves_requests_itself_without_gatherers(harness):
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    assert harness.store_sync_starts == 0
    harness.clock.advance(2.0)
    assert harness.store_sync_starts == 1
    assert not harness.request_dispatcher.is_relaying
    harness.send_request("q")
    harness.clock.advance(0.2)
    assert harness.results["q"][0] == 503


def test_network_time_leaves_out_the_response_on_the_own_link():
    # Guards against a gatherer that answers at the objective, from where a
    # narrow link of the relaying VM takes some milliseconds more.
    wire = fleet.RelayWire(wire=platform.PlatformWire())
    request = http1.HttpRequest(
        method=b"GET", target=b"/g/1", headers=[], network_s=0.006, link_s=0.003
    )
    headers = wire.forwarded_headers(request, None)
    assert (b"trefoilpier-network-us", b"9000") in headers


def test_headers_between_vms_are_not_taken_from_callers(harness):
    # Guards against a caller that lets each gatherer refuse its request, or
    # end it at once, by naming the least version or the end of this VM.
    gatherer = harness.add_gatherer("g1")
    harness.request_dispatcher.start()
    harness.clock.advance(1.0)
    more = [
        (b"trefoilpier-least-version", b"99"),
        (b"trefoilpier-ends-ms", b"0"),
        (b"trefoilpier-network-us", b"900000"),
    ]
    harness.send_request("q", more=more)
    harness.clock.advance(0.1)
    assert harness.results["q"][0] == 503
    assert requests_ended(gatherer) == 1


def test_headers_between_vms_are_not_taken_from_leaves(tmp_path):
    # Guards against a leaf's answer that a relaying VM takes for the refusal
    # of a gatherer with older routes, though the request has run.
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(large=2, small=1, zones=1),
    )
    made.start_all()
    made.clock.advance(3.0)
    for each in made.leaf_by_id.values():
        each.leaf.faults.more_headers = [
            (b"trefoilpier-behind", b"1"),
            (b"trefoilpier-version", b"99"),
        ]
    for _ in range(5):
        made.send_request(b"/r/1", vm=made.vms[-1])
        made.clock.advance(0.2)
    assert [each.status for each in made.answers] == [200] * 5
    assert made.vms[-1].process.version < 99


@pytest.mark.parametrize("direct", [True, False])
def test_caller_that_leaves_a_relaying_vm_is_followed_late(tmp_path, direct):
    # Guards against delays that add up: each VM on the way let calls go on for
    # a while, and leaves may not work on for over half a second.
    made = memory_fleet.MemoryFleet(
        directory=tmp_path,
        log=base.NullEventLog(),
        sizes=memory_fleet.FleetSizes(
            large=1, small=1, zones=1, shards=2, work_s=3.0
        ),
    )
    made.start_all()
    made.clock.advance(3.0)
    gatherer, relaying = made.vms
    client = http1.HttpClient(
        reactor=made.net,
        clock=made.clock,
        host=(gatherer if direct else relaying).host,
        port=memory_fleet.CALLER_PORT,
    )
    headers = [
        (b"host", b"soak.example"),
        *opaque_caller.attempt_headers(b"1", 1.5),
    ]
    opened_before = len(made.net.transports)
    client.send_request(b"GET", b"/g/1", headers=headers, timeout_s=2.0)
    pools = gatherer.process._leaf_registry.pool_by_id.values()

    def calls_in_flight():
        return sum(pool.stats.in_flight for pool in pools)

    made.clock.advance(0.2)
    assert calls_in_flight() >= 2
    made.net.transports[opened_before].abortConnection()
    made.clock.advance(0.4)
    assert calls_in_flight() == 0
