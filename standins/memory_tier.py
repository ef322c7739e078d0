"""Request forwarding of one VM to in-memory leaves, on a virtual clock."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from standins import memory_net, opaque_caller, opaque_leaf
from trefoilpier import (
    accounts,
    base,
    forward,
    http1,
    platform,
    replicas,
    routes,
)

_LEAF_HOST = "10.0.0.1"
_CALLER_ADDRESS = ("10.9.0.1", 80)
_DEFAULT_BUDGET = forward.RetryBudgetLimits(
    share=0.2, window_s=10.0, allowance=54.0
)


class RecordingLog(base.EventLog):
    """Event log that records events for inspection by tests."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: list[tuple[base.Event, dict]] = []

    def emit(self, event: base.Event, **fields: object) -> None:
        """Record one event."""
        self.rows.append((event, fields))


@dataclass(slots=True, kw_only=True)
class Answer:
    """Response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection closed without a response.
        took_s: Seconds from the request to the response.
        headers: Response headers.
        body: Response body.
    """

    status: int
    took_s: float
    headers: http1.Headers
    body: bytes


class MemoryTier:
    """A VM with its leaves and callers.

    Attributes:
        answers: Responses that callers received, by request id.
        leaf_by_id: Leaves by id.
        vms: All VMs that use these leaves, this one included.
    """

    __slots__ = (
        "_http_client",
        "_rng",
        "answers",
        "clock",
        "engine",
        "leaf_by_id",
        "log",
        "net",
        "registry",
        "server",
        "vms",
    )

    def __init__(
        self,
        *,
        seed: int = 1,
        budget: forward.RetryBudgetLimits = _DEFAULT_BUDGET,
        policy: forward.ForwardPolicy | None = None,
        delay_s: float = 0.0005,
        beside: "MemoryTier | None" = None,
        engine_type: type[forward.ForwardEngine] = forward.ForwardEngine,
    ) -> None:
        """Create a VM without leaves.

        Args:
            seed: Seed of the random numbers.
            budget: Limits on retries and hedges.
            policy: Settings of the decisions.
            delay_s: Delay of the links in one direction, in seconds.
            beside: A VM whose clock, network and leaves this one shares;
                leaves are added when all VMs are there.
            engine_type: Class of the engine.
        """
        policy = policy or forward.ForwardPolicy()
        self._rng = random.Random(seed)
        self.clock = base.VirtualClock(start=100.0)
        self.net = memory_net.MemoryReactor(clock=self.clock, delay_s=delay_s)
        self.leaf_by_id: dict[str, opaque_leaf.OpaqueLeaf] = {}
        self.vms: list[MemoryTier] = []
        if beside is not None:
            self.clock, self.net = beside.clock, beside.net
            self.leaf_by_id, self.vms = beside.leaf_by_id, beside.vms
        caller_address = (
            _CALLER_ADDRESS[0],
            _CALLER_ADDRESS[1] + len(self.vms),
        )
        self.vms.append(self)
        self.log = RecordingLog()
        wire = platform.PlatformWire()
        self.engine = engine_type(
            clock=self.clock,
            log=self.log,
            wire=wire,
            chooser=replicas.LeafChooser(
                rng=self._rng, zone="z1", policy=policy.leaves
            ),
            budget_limits=budget,
            forward_policy=policy,
        )
        self.registry = replicas.LeafRegistry(
            clock=self.clock,
            log=self.log,
            reactor=self.net,
            id_header=wire.id_header,
            on_capacity=self.engine.start_queued_calls,
            read_warm_up_s=wire.read_warm_up_s,
            policy=policy.leaves,
        )
        self.engine.registry = self.registry
        for vm in self.vms:
            vm.engine.set_vm_count(len(self.vms))
            vm.registry.set_vm_count(len(self.vms))
        self.server = http1.ServerFactory(
            clock=self.clock,
            handler=self.engine,
            limits=http1.CallerLimits(),
        )
        self.net.listen(*caller_address, self.server)
        self._http_client = http1.HttpClient(
            reactor=self.net,
            clock=self.clock,
            host=caller_address[0],
            port=caller_address[1],
        )
        self.answers: dict[str, Answer] = {}

    def add_leaf(
        self, service: str, name: str, **options: float
    ) -> opaque_leaf.OpaqueLeaf:
        """Start a leaf and register it at all VMs."""
        new_leaf = opaque_leaf.OpaqueLeaf(
            clock=self.clock, rng=self._rng, leaf_id=name, **options
        )
        port = 8000 + len(self.leaf_by_id)
        self.leaf_by_id[name] = new_leaf
        self.net.listen(_LEAF_HOST, port, new_leaf.factory())
        entry = replicas.LeafEntry(
            id=name,
            incarnation=0,
            service=service,
            host=_LEAF_HOST,
            port=port,
            zone="z1",
            slots=new_leaf.slots,
            phase=replicas.LeafPhase.READY,
        )
        for vm in self.vms:
            vm.registry.put(entry)
        return new_leaf

    def leaves_of(self, service: str) -> list[opaque_leaf.OpaqueLeaf]:
        """Return the leaves of a service."""
        return [
            self.leaf_by_id[pool.entry.id]
            for pool in self.registry.pool_by_id.values()
            if pool.entry.service == service
        ]

    def set_routes(
        self,
        *new_routes: routes.Route,
        connections: int = 26,
        account_table: accounts.AccountTable | None = None,
    ) -> None:
        """Set the routes, the accounts and the services' connection limit."""
        names = {name for route in new_routes for name in route.service_names}
        version = self.engine.table.version + 1 if self.engine.table else 1
        self.engine.table = routes.RouteTable(
            version=version, routes=new_routes, account_table=account_table
        )
        self.registry.set_connection_limits(dict.fromkeys(names, connections))

    def send_request(
        self,
        request_id: str,
        target: str = "/s/1",
        *,
        method: str = "GET",
        wait_s: float = 1.0,
        body: bytes = b"",
        headers: http1.Headers | None = None,
        on_answer: Callable[[Answer], None] = lambda answer: None,
    ) -> None:
        """Send a caller's request; its response is stored in `answers`."""
        sent_at = self.clock.monotonic()
        all_headers = [
            *opaque_caller.attempt_headers(request_id.encode(), wait_s),
            *(headers or ()),
        ]

        def on_outcome(
            outcome: http1.ResponseReceived | http1.RequestFailed,
        ) -> None:
            took_s = self.clock.monotonic() - sent_at
            if isinstance(outcome, http1.RequestFailed):
                answer = Answer(status=0, took_s=took_s, headers=[], body=b"")
            else:
                response = outcome.response
                answer = Answer(
                    status=response.status,
                    took_s=took_s,
                    headers=response.headers,
                    body=response.body,
                )
            self.answers[request_id] = answer
            on_answer(answer)

        self._http_client.send_request(
            method.encode(),
            target.encode(),
            headers=all_headers,
            body=body,
            timeout_s=wait_s + 1.0,
        ).addCallback(on_outcome)

    def run_load(self, name: str, *, seconds: float, rate: float) -> None:
        """Send requests at a constant rate for some seconds.

        Args:
            name: First part of the requests' ids.
            seconds: Length of the load.
            rate: Requests a second.
        """
        for k in range(int(seconds * rate)):
            self.send_request(f"{name}-{k}")
            self.clock.advance(1 / rate)

    def runs_of(self, request_id: str) -> int:
        """Return how often the leaves executed a request."""
        return sum(
            leaf.runs.count(request_id.encode())
            for leaf in self.leaf_by_id.values()
        )


def make_route(**changes: object) -> routes.Route:
    """Return a route to the service ``s``, with ``changes`` to its fields."""
    fields: dict = {
        "name": "r",
        "host": _CALLER_ADDRESS[0].encode(),
        "prefix": b"/s/",
        "repeatable": True,
        "timeout_s": 1.0,
        "objective_s": 0.12,
        "attempts_max": 2,
        "priority": 1,
        "targets": (routes.WeightedService(name="s", weight=1.0),),
    }
    fields.update(changes)
    return routes.Route(**fields)


def make_gather_route(
    shards: int, least: float = 0.89, **changes: object
) -> routes.Route:
    """Return a route that gathers from ``shards`` shards."""
    gather = routes.Gather(
        services=tuple(f"shard{k}" for k in range(shards)),
        records_max=5,
        min_coverage=least,
    )
    return make_route(targets=(), gather=gather, **changes)


def make_with_one_service(leaves: int) -> MemoryTier:
    """Return a VM with a route to one service of some leaves."""
    tier = MemoryTier()
    tier.set_routes(make_route())
    for k in range(leaves):
        tier.add_leaf("s", f"leaf{k}")
    return tier
