"""Entry VMs, leaves and callers on one virtual clock.

The VMs run the production code of `trefoilpier.forward`, `trefoilpier.replicas`
and `trefoilpier.http1`; leaves, callers and the network are simulated.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import numpy

from lab import scenario as scenarios
from standins import memory_net, opaque_caller, opaque_leaf
from trefoilpier import base, forward, http1, platform, replicas, routes

_CALLER_PORT = 80
_LEAF_PORT = 8000
_DRAIN_S = 2.0  # Simulated time after the load, for the last answers.


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What one caller got.

    Attributes:
        kind: Kind of the request.
        sent_at: Seconds after the start of the load.
        took_s: Seconds until the answer of the last attempt.
        status: Status of the last attempt; 0 without a response.
        coverage: Share of the shards in the answer.
        refused: Attempts that were refused.
    """

    kind: scenarios.RequestKind
    sent_at: float
    took_s: float = 0.0
    status: int = 0
    coverage: float = 0.0
    refused: int = 0

    @property
    def credit(self) -> float:
        """Value of the answer: the square of its coverage, if in time."""
        if not 200 <= self.status < 300:
            return 0.0
        in_time = self.took_s <= self.kind.objective_s
        return self.coverage**2 * (1.0 if in_time else self.kind.late_credit)


class CountingWire(platform.PlatformWire):
    """The platform's headers, with counts of the calls by zone.

    Attributes:
        near: Calls to leaves of the VM's availability zone.
        far: Calls to leaves of other zones.
    """

    __slots__ = ("_zone", "_zone_by_leaf", "far", "near")

    def __init__(self, *, zone: str, zone_by_leaf: dict[str, str]) -> None:
        self._zone = zone
        self._zone_by_leaf = zone_by_leaf
        self.near = 0
        self.far = 0

    def encode(
        self, template: http1.RequestTemplate, *, leaf_id: str, wait_s: float
    ) -> bytes:
        """Count and encode the request to one leaf."""
        if self._zone_by_leaf[leaf_id] == self._zone:
            self.near += 1
        else:
            self.far += 1
        return super().encode(template, leaf_id=leaf_id, wait_s=wait_s)


class LabWorld:
    """One run of a scenario.

    Attributes:
        outcomes: Outcomes of the callers' requests.
        engines: Engines of the VMs.
        leaves: The leaves, by shard and replica.
        wires: Counts of the VMs' calls by zone.
    """

    __slots__ = (
        "_clock",
        "_net",
        "_numbers",
        "_rng",
        "_scenario",
        "_start",
        "_work_by_prefix",
        "_zone_by_leaf",
        "engines",
        "leaves",
        "outcomes",
        "wires",
    )

    def __init__(
        self,
        *,
        scenario: scenarios.Scenario,
        policy: forward.ForwardPolicy,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        # Separate, so that policies meet the same arrivals.
        self._numbers = numpy.random.default_rng(seed)
        self._clock = base.VirtualClock(start=100.0)
        self._start = self._clock.monotonic()
        self._net = memory_net.MemoryReactor(
            clock=self._clock, connect_s=scenario.deployment.connect_s
        )
        self.outcomes: list[Outcome] = []
        self._work_by_prefix = {
            f"/{kind.name}/".encode(): kind for kind in scenario.kinds
        }
        self.leaves = self._make_leaves(seed)
        sizes = scenario.deployment
        self._zone_by_leaf = {
            leaf.id: f"z{(shard + replica) % sizes.zones}"
            for shard, row in enumerate(self.leaves)
            for replica, leaf in enumerate(row)
        }
        self.wires: list[CountingWire] = []
        self.engines = [
            self._make_vm(index, policy, seed)
            for index in range(scenario.deployment.vms)
        ]

    def _make_leaves(self, seed: int) -> list[list[opaque_leaf.OpaqueLeaf]]:
        sizes = self._scenario.deployment
        leaves = []
        for shard in range(sizes.shards):
            row = []
            for replica in range(sizes.replicas):
                # Own random numbers for each leaf, so that a policy's choices
                # do not change the work of other requests.
                rng = random.Random(f"{seed}|{shard}|{replica}")
                leaf = opaque_leaf.OpaqueLeaf(
                    clock=self._clock,
                    rng=rng,
                    leaf_id=f"s{shard}-{replica}",
                    slots=sizes.slots,
                    queue_max=sizes.queue,
                    work_time=self._work_time(rng),
                )
                self._net.listen(*self._address(shard, replica), leaf.factory())
                self._schedule_pauses(leaf, rng)
                row.append(leaf)
            leaves.append(row)
        return leaves

    @staticmethod
    def _address(shard: int, replica: int) -> tuple[str, int]:
        return f"10.{1 + shard // 250}.{shard % 250}.{replica}", _LEAF_PORT

    def _work_time(
        self, rng: random.Random
    ) -> Callable[[http1.HttpRequest], float]:
        def draw(request: http1.HttpRequest) -> float:
            prefix = request.target[: request.target.rindex(b"/") + 1]
            kind = self._work_by_prefix[prefix]
            return kind.work_s * rng.lognormvariate(0.0, kind.sigma)

        return draw

    def _schedule_pauses(
        self, leaf: opaque_leaf.OpaqueLeaf, rng: random.Random
    ) -> None:
        sizes = self._scenario.deployment
        if not sizes.pause_s or not sizes.pause_every_s:
            return

        def pause() -> None:
            leaf.faults.paused = True
            self._clock.call_later(sizes.pause_s, leaf.resume)
            self._clock.call_later(sizes.pause_every_s, pause)

        self._clock.call_later(rng.uniform(0.0, sizes.pause_every_s), pause)

    def _make_vm(
        self, index: int, policy: forward.ForwardPolicy, seed: int
    ) -> forward.ForwardEngine:
        sizes = self._scenario.deployment
        zone = f"z{index % sizes.zones}"
        wire = CountingWire(zone=zone, zone_by_leaf=self._zone_by_leaf)
        self.wires.append(wire)
        engine = forward.ForwardEngine(
            clock=self._clock,
            log=base.NullEventLog(),
            wire=wire,
            chooser=replicas.LeafChooser(
                rng=random.Random(f"{seed}|vm{index}"),
                zone=zone,
                policy=policy.leaves,
            ),
            budget_limits=forward.RetryBudgetLimits(
                share=sizes.retry_share,
                window_s=10.0,
                allowance=sizes.retry_allowance,
            ),
            forward_policy=policy,
        )
        engine.registry = replicas.LeafRegistry(
            clock=self._clock,
            log=base.NullEventLog(),
            reactor=self._net,
            id_header=wire.id_header,
            on_capacity=engine.start_queued_calls,
            policy=policy.leaves,
        )
        engine.set_vm_count(sizes.vms)
        engine.registry.set_vm_count(sizes.vms)
        services = tuple(f"shard{k}" for k in range(sizes.shards))
        engine.registry.set_connection_limits(
            dict.fromkeys(services, sizes.connections)
        )
        self._register_leaves(engine.registry)
        engine.table = routes.RouteTable(
            version=1,
            routes=tuple(
                self._make_route(kind, services, rank)
                for rank, kind in enumerate(self._scenario.kinds, 1)
            ),
        )
        server = http1.ServerFactory(
            clock=self._clock, handler=engine, limits=http1.CallerLimits()
        )
        self._net.listen(f"10.0.0.{index}", _CALLER_PORT, server)
        engine.registry.warm_up_leaves(services)
        return engine

    def _register_leaves(self, registry: replicas.LeafRegistry) -> None:
        sizes = self._scenario.deployment
        for shard in range(sizes.shards):
            for replica in range(sizes.replicas):
                host, port = self._address(shard, replica)
                registry.put(
                    replicas.LeafEntry(
                        id=self.leaves[shard][replica].id,
                        incarnation=0,
                        service=f"shard{shard}",
                        host=host,
                        port=port,
                        zone=self._zone_by_leaf[self.leaves[shard][replica].id],
                        slots=sizes.slots,
                        phase=replicas.LeafPhase.READY,
                    )
                )

    @staticmethod
    def _make_route(
        kind: scenarios.RequestKind, services: tuple[str, ...], rank: int
    ) -> routes.Route:
        return routes.Route(
            name=kind.name,
            host=b"lab",
            prefix=f"/{kind.name}/".encode(),
            repeatable=True,
            timeout_s=kind.deadline_s,
            objective_s=kind.objective_s,
            attempts_max=2,
            priority=rank,
            targets=(),
            gather=routes.Gather(
                services=services,
                records_max=20,
                min_coverage=kind.min_coverage,
            ),
        )

    def run(self) -> None:
        """Run the load and the faults."""
        load = self._scenario.load
        for fault in self._scenario.faults:
            self._clock.call_later(fault.at, self._start_fault, fault)
        weights = numpy.array([each.weight for each in self._scenario.kinds])
        at = 0.0
        while True:
            at += float(self._numbers.exponential(1.0 / load.rate))
            if at >= load.seconds:
                break
            kind = self._scenario.kinds[
                int(
                    self._numbers.choice(len(weights), p=weights / sum(weights))
                )
            ]
            first_vm = int(self._numbers.integers(len(self.engines)))
            outcome = Outcome(kind=kind, sent_at=at)
            self.outcomes.append(outcome)
            self._clock.call_later(
                at, self._send, outcome, first_vm, load.retries
            )
        self._clock.advance(load.seconds + _DRAIN_S)

    def _send(self, outcome: Outcome, vm: int, retries: int) -> None:
        """Send one attempt of a request to a VM."""
        time_left_s = (
            outcome.kind.deadline_s - self._elapsed_s() + outcome.sent_at
        )
        client = http1.HttpClient(
            reactor=self._net,
            clock=self._clock,
            host=f"10.0.0.{vm}",
            port=_CALLER_PORT,
        )
        client.send_request(
            b"GET",
            f"/{outcome.kind.name}/1".encode(),
            headers=[
                (b"host", b"lab"),
                *opaque_caller.attempt_headers(
                    b"%016x" % self._rng.getrandbits(64), time_left_s
                ),
            ],
            timeout_s=time_left_s,
        ).addCallback(self._handle_answer, outcome, vm, retries, client)

    def _elapsed_s(self) -> float:
        return self._clock.monotonic() - self._start

    def _handle_answer(
        self,
        answer: http1.ResponseReceived | http1.RequestFailed,
        outcome: Outcome,
        vm: int,
        retries: int,
        client: http1.HttpClient,
    ) -> None:
        """Record the answer of an attempt, and try again if it failed."""
        client.close()
        outcome.took_s = self._elapsed_s() - outcome.sent_at
        outcome.status = 0
        retry_after_s = 0.0
        if isinstance(answer, http1.ResponseReceived):
            response = answer.response
            outcome.status = response.status
            retry_after_s = opaque_caller.retry_after_s(response)
            outcome.refused += response.status == 503
            if 200 <= response.status < 300:
                missing = opaque_caller.missing_shards(response)
                shards = self._scenario.deployment.shards
                outcome.coverage = 1.0 - missing / shards
                return
        if not retries:
            return
        time_left_s = outcome.kind.deadline_s - outcome.took_s
        if time_left_s <= 0:
            return
        next_vm = (vm + 1) % len(self.engines)
        self._clock.call_later(
            min(retry_after_s, time_left_s / 3),
            self._send,
            outcome,
            next_vm,
            retries - 1,
        )

    def _start_fault(self, fault: scenarios.Fault) -> None:
        affected = self._affected_leaves(fault)
        for leaf in affected:
            _set_fault(leaf, fault)
        self._clock.call_later(fault.seconds, self._end_fault, fault, affected)

    def _affected_leaves(
        self, fault: scenarios.Fault
    ) -> list[opaque_leaf.OpaqueLeaf]:
        if fault.shard >= 0:
            row = self.leaves[fault.shard % len(self.leaves)]
            return row[: max(1, round(fault.share * len(row)))]
        every = [leaf for row in self.leaves for leaf in row]
        count = max(1, round(fault.share * len(every)))
        return random.Random(f"{fault.name}|{fault.at}").sample(every, count)

    def _end_fault(
        self, fault: scenarios.Fault, leaves: list[opaque_leaf.OpaqueLeaf]
    ) -> None:
        for leaf in leaves:
            _clear_fault(leaf, fault)


def _set_fault(leaf: opaque_leaf.OpaqueLeaf, fault: scenarios.Fault) -> None:
    faults = leaf.faults
    if fault.kind == "slow":
        faults.slow_factor = fault.factor
    elif fault.kind == "shed":
        faults.shed_share = fault.factor
    elif fault.kind == "lose":
        faults.lose_share = fault.factor
    else:
        faults.stopped = True


def _clear_fault(leaf: opaque_leaf.OpaqueLeaf, fault: scenarios.Fault) -> None:
    faults = leaf.faults
    if fault.kind == "slow":
        faults.slow_factor = 1.0
    elif fault.kind == "shed":
        faults.shed_share = 0.0
    elif fault.kind == "lose":
        faults.lose_share = 0.0
    else:
        faults.stopped = False
        leaf.resume()
