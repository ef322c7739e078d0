"""A fleet of nodes on a virtual clock, for tests and benchmarks.

The nodes run the production code; leaves, platform and network are simulated.
"""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from standins import (
    leaf_model,
    memory_leaves,
    memory_peers,
    memory_store,
    platform_model,
)
from trefoilpier import base, board, config, membership, node, peer, query

_CONNECT_DELAY_S = 0.005


class RecordingLog(base.EventLog):
    """Event log that records events for inspection by tests."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: list[tuple[base.Event, dict[str, Any]]] = []

    def emit(self, event: base.Event, **fields: Any) -> None:
        """Record one event."""
        self.rows.append((event, fields))


class Fleet:
    """Nodes, simulated leaves, network and platform on one virtual clock.

    Attributes:
        clock: The virtual clock.
        rng: Seeded random number generator.
        objects: Configuration objects that `start` publishes.
        host_by_leaf: Simulated leaf hosts by leaf id.
        network: Simulated network between the nodes.
        platform: Simulated platform.
        node_by_id: Running nodes by id.
    """

    def __init__(
        self,
        *,
        objects: list[config.RawObject],
        nodes: int = 7,
        seed: int = 1,
        median_s: float = 0.005,
        sigma: float = 0.3,
        queue: int = 4,
        regions: int = 1,
        log: base.EventLog | None = None,
        timing: membership.MembershipTiming | None = None,
        queries_max: int = 500,
    ) -> None:
        """Prepare a fleet; no node runs before `start`."""
        self.clock = base.VirtualClock(start=100.0)
        self.rng = random.Random(seed)
        self.objects = objects
        self.log = log or base.NullEventLog()
        self.timing = timing or membership.MembershipTiming()
        self.queries_max = queries_max
        self.network = memory_peers.MemoryNetwork(
            clock=self.clock, rng=random.Random(seed + 1)
        )
        self.platform = platform_model.PlatformModel(clock=self.clock)
        self.store = memory_store.MemoryStore(
            clock=self.clock, model=self.platform
        )
        built_config = config.build_config_set(version=0, objects=objects).ok
        self.config_set = built_config
        self.zones = sorted(
            {each.zone for each in built_config.leaf_by_id.values()}
        )
        self.host_by_leaf = {
            leaf_id: self._make_host(leaf_id, seed, median_s, sigma, queue)
            for leaf_id in built_config.group_by_leaf_id
        }
        self.node_by_id: dict[str, node.Node] = {}
        self._region_count = regions
        self._initial_node_count = nodes
        self._ports = iter(range(1000, 1_000_000))
        self._incarnation = 1

    def _make_host(
        self, leaf_id: str, seed: int, median_s: float, sigma: float, queue: int
    ) -> memory_leaves.LeafHost:
        group = self.config_set.group_by_leaf_id[leaf_id]
        setup = leaf_model.LeafSetup(
            id=leaf_id,
            shards={
                shard
                for shard, ids in enumerate(group.leaf_ids_by_shard)
                if leaf_id in ids
            },
            epoch=group.epoch,
            slots=group.slots,
            queue=queue,
            connections=group.connection_limit,
            median_s=median_s,
            sigma=sigma,
        )
        model = leaf_model.LeafModel(
            setup=setup,
            clock=self.clock,
            rng=random.Random(f"{seed}|{leaf_id}"),
        )
        zone = self.config_set.leaf_by_id[leaf_id].zone
        return memory_leaves.LeafHost(
            model=model, zone=zone, connect_s=_CONNECT_DELAY_S
        )

    def start(self, settle: float = 3.0) -> None:
        """Publish the objects, start the nodes and let them converge.

        Args:
            settle: Seconds by which the clock advances after the start.
        """
        self.publish(self.objects)
        for index in range(self._initial_node_count):
            self.add_node(f"vm-{index + 1}", index)
        self.clock.advance(settle)

    def publish(
        self, objects: list[config.RawObject], token: str = ""
    ) -> config.PublishOutcome:
        """Publish objects and advance the clock until the outcome is known."""
        outcomes: list[config.PublishOutcome] = []
        publisher = config.Publisher(store=self.store, clock=self.clock)
        token = token or f"token-{self.rng.random()}"
        publication = publisher.publish(objects, token=token)
        defer.ensureDeferred(publication).addCallback(outcomes.append)
        while not outcomes:
            self.clock.advance(0.01)
        return outcomes[0]

    def add_node(
        self,
        node_id: str,
        index: int = 0,
        seeds: tuple[peer.PeerAddress, ...] = (),
    ) -> node.Node:
        """Start a node, or restart a killed one, with a new incarnation."""
        self._incarnation += 1
        zone = self.zones[index % len(self.zones)] if self.zones else "zone"
        region = f"region-{index % self._region_count}"
        address = peer.PeerAddress(host="10.0.0.1", port=next(self._ports))
        endpoint = self.network.join(node_id, address, zone)
        endpoint.address = address
        own_record = board.NodeRecord(
            id=node_id,
            host=address.host,
            peer_port=address.port,
            caller_port=0,
            region=region,
            zone=zone,
            incarnation=self._incarnation * 1000,
        )
        dependencies = node.NodeDependencies(
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            log=self.log,
            leaf_transport=memory_leaves.MemoryLeafTransport(
                clock=self.clock, host_by_leaf=self.host_by_leaf, zone=zone
            ),
            network=endpoint,
            store=self.store,
            membership_timing=self.timing,
            queries_max=self.queries_max,
            seeds=seeds,
        )
        new_node = node.Node(own_record=own_record, dependencies=dependencies)
        self.node_by_id[node_id] = new_node
        self._update_members()
        new_node.start()
        return new_node

    def kill_node(self, node_id: str) -> None:
        """Stop a node abruptly, without notice to its peers or the platform."""
        killed_node = self.node_by_id.pop(node_id)
        self.network.remove(node_id)
        killed_node.stop()

    def _update_members(self) -> None:
        """Replace the platform's membership list by the running nodes."""
        rows = []
        for member in self.node_by_id.values():
            own_record = member.own_record
            rows.append(
                {
                    "id": own_record.id,
                    "host": own_record.host,
                    "port": own_record.peer_port,
                    "region": own_record.region,
                    "zone": own_record.zone,
                    "state": "live",
                    "role": "entry",
                }
            )
        self.platform.set_members(rows)

    def request(
        self,
        node_id: str,
        service: str,
        body: bytes = b'{"text":"silk"}',
        *,
        route: str = "r",
        key: str = "",
        deadline: float | None = None,
        caller: str = "caller",
        account_key_digest: str = "",
        on_done: Callable[[query.Outcome], None],
    ) -> None:
        """Submit a request to a node's query runner.

        Args:
            node_id: Node that receives the request.
            service: Name of the service.
            body: Query body.
            route: Routing key.
            key: Idempotency key, or an empty string.
            deadline: Seconds until the deadline, or None for the default.
            caller: Name of the caller.
            account_key_digest: Digest of the key of a client account, or an
                empty string.
            on_done: Called with the outcome.
        """
        request = query.Request(
            service=service,
            query=body,
            route=route,
            limit=10,
            caller=caller,
            deadline=None
            if deadline is None
            else self.clock.monotonic() + deadline,
            key=key,
            account_key_digest=account_key_digest,
        )
        self.node_by_id[node_id].runner.run(request, on_done)

    def request_and_wait(
        self, node_id: str, service: str, wait: float = 5.0, **options: Any
    ) -> query.Outcome:
        """Submit a request and advance the clock until its outcome is known.

        Raises:
            IndexError: If there is no outcome within ``wait`` seconds.
        """
        outcomes: list[query.Outcome] = []
        self.request(node_id, service, on_done=outcomes.append, **options)
        end = self.clock.monotonic() + wait
        while not outcomes and self.clock.monotonic() < end:
            self.clock.advance(0.001)
        return outcomes[0]


def simple_objects(
    *,
    shards: int = 4,
    replicas: int = 2,
    zones: int = 2,
    vms: int = 7,
    connection_limit: int = 25,
    slots: int = 2,
    block_size: int = 100,
    gatherers: int = 0,
    mode: str = "coverage",
    soft_deadline: str = "100ms",
    deadline: str = "320ms",
    hedge_budget: float = 0.05,
    minimum_coverage: float = 0.5,
) -> list[config.RawObject]:
    """Return a small configuration: a shard group, a search and a reservation.

    Each replica set of ``replicas`` leaves holds ``replicas`` shards, so that
    a query over all shards makes one call per leaf.
    """
    replica_set_count = -(-shards // replicas)
    lines_by_zone: dict[str, list[str]] = {}
    group = {
        "epoch": "1",
        "connection_limit": str(connection_limit),
        "slots": str(slots),
        "block_size": str(block_size),
    }
    if gatherers:
        group["gatherers"] = str(gatherers)
    port = 20000
    for replica_set in range(replica_set_count):
        ids = [f"leaf-{replica_set}-{replica}" for replica in range(replicas)]
        for index, leaf_id in enumerate(ids):
            zone = f"zone-{(replica_set + index) % zones}"
            lines_by_zone.setdefault(zone, []).append(
                f"{leaf_id} 127.0.0.1:{port}"
            )
            port += 1
        for shard in range(
            replica_set * replicas, min(shards, (replica_set + 1) * replicas)
        ):
            group[f"shard.{shard}"] = " ".join(ids)
    places = [
        config.RawObject(
            kind="place",
            name=zone,
            text_by_key={
                "region": "region-0",
                "availability_zone": zone,
                "leaves": "\n".join(lines),
            },
        )
        for zone, lines in lines_by_zone.items()
    ]
    policy = {
        "mode": mode,
        "soft_deadline": soft_deadline,
        "hedge_budget": str(hedge_budget),
        "retry_budget": str(hedge_budget),
        "minimum_coverage": str(minimum_coverage),
    }
    search = {
        "repeatable": "yes",
        "merge": "top",
        "shard_group": "items",
        "policy": "usual",
        "deadline": deadline,
    }
    reserve = {
        **search,
        "repeatable": "no",
        "merge": "single",
        "deadline": "2s",
    }
    fleet = {"vms": str(vms), "spare": "1"}
    return [
        config.RawObject(kind="fleet", name="entry", text_by_key=fleet),
        *places,
        config.RawObject(kind="shard_group", name="items", text_by_key=group),
        config.RawObject(kind="policy", name="usual", text_by_key=policy),
        config.RawObject(kind="service", name="search", text_by_key=search),
        config.RawObject(kind="service", name="reserve", text_by_key=reserve),
    ]
