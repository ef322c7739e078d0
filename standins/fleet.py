"""A whole fleet on a virtual clock, for tests and benchmarks.

The nodes are real; only leaves, platform and network are models.
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

_CONNECT_S = 0.005


class RecordingLog(base.EventLog):
    """Keeps events for a test to look at."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: list[tuple[base.Event, dict[str, Any]]] = []

    def emit(self, event: base.Event, **fields: Any) -> None:
        """Keeps one event."""
        self.rows.append((event, fields))


class Fleet:
    """Nodes, leaf hosts, a network and a platform on one virtual clock.

    Attributes:
        clock: The virtual clock.
        rng: Seeded random numbers.
        objects: The operators' objects.
        host_by_leaf: The leaf models.
        network: Carries peers' messages.
        platform: The platform model.
        node_by_id: Running nodes.
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
        """Plans a fleet; nothing runs before `start`."""
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
        built = config.build_config_set(version=0, objects=objects).ok
        self.set = built
        self.zones = sorted({each.zone for each in built.leaf_by_id.values()})
        self.host_by_leaf = {
            leaf_id: self._make_host(leaf_id, seed, median_s, sigma, queue)
            for leaf_id in built.group_by_leaf_id
        }
        self.node_by_id: dict[str, node.Node] = {}
        self._regions = regions
        self._planned = nodes
        self._ports = iter(range(1000, 1_000_000))
        self._incarnation = 1

    def _make_host(
        self, leaf_id: str, seed: int, median_s: float, sigma: float, queue: int
    ) -> memory_leaves.LeafHost:
        group = self.set.group_by_leaf_id[leaf_id]
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
        zone = self.set.leaf_by_id[leaf_id].zone
        return memory_leaves.LeafHost(
            model=model, zone=zone, connect_s=_CONNECT_S
        )

    def start(self, settle: float = 3.0) -> None:
        """Publishes the objects, starts the nodes and lets them settle."""
        self.publish(self.objects)
        for index in range(self._planned):
            self.add_node(f"vm-{index + 1}", index)
        self.clock.advance(settle)

    def publish(
        self, objects: list[config.RawObject], token: str = ""
    ) -> config.PublishOutcome:
        """Publishes objects and waits for the outcome."""
        outcomes: list[config.PublishOutcome] = []
        publisher = config.Publisher(store=self.store, clock=self.clock)
        token = token or f"token-{self.rng.random()}"
        work = publisher.publish(objects, token=token)
        defer.ensureDeferred(work).addCallback(outcomes.append)
        while not outcomes:
            self.clock.advance(0.01)
        return outcomes[0]

    def add_node(
        self,
        node_id: str,
        index: int = 0,
        seeds: tuple[peer.PeerAddress, ...] = (),
    ) -> node.Node:
        """Starts a node, or a new process of one that was killed."""
        self._incarnation += 1
        zone = self.zones[index % len(self.zones)] if self.zones else "zone"
        region = f"region-{index % self._regions}"
        address = peer.PeerAddress(host="10.0.0.1", port=next(self._ports))
        endpoint = self.network.join(node_id, address, zone)
        endpoint.address = address
        own = board.NodeRecord(
            id=node_id,
            host=address.host,
            peer_port=address.port,
            caller_port=0,
            region=region,
            zone=zone,
            incarnation=self._incarnation * 1000,
        )
        parts = node.NodeParts(
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            log=self.log,
            leaves=memory_leaves.MemoryLeafTransport(
                clock=self.clock, host_by_leaf=self.host_by_leaf, zone=zone
            ),
            network=endpoint,
            store=self.store,
            timing=self.timing,
            queries_max=self.queries_max,
            seeds=seeds,
        )
        made = node.Node(own=own, parts=parts)
        self.node_by_id[node_id] = made
        self._list_members()
        made.start()
        return made

    def kill_node(self, node_id: str) -> None:
        """Ends a node without a word."""
        killed = self.node_by_id.pop(node_id)
        self.network.remove(node_id)
        killed.stop()

    def _list_members(self) -> None:
        """Writes the nodes to the platform's membership list."""
        rows = []
        for made in self.node_by_id.values():
            own = made.own
            rows.append(
                {
                    "id": own.id,
                    "host": own.host,
                    "port": own.peer_port,
                    "region": own.region,
                    "zone": own.zone,
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
        on_done: Callable[[query.Outcome], None],
    ) -> None:
        """Sends a request to a node's runner."""
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
        )
        self.node_by_id[node_id].runner.run(request, on_done)

    def ask(
        self, node_id: str, service: str, wait: float = 5.0, **options: Any
    ) -> query.Outcome:
        """Sends a request and moves the clock until its outcome."""
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
    """Makes a small set: one searchable group, one search, one reservation.

    Each team of ``replicas`` leaves holds as many shards, so that a query
    over all shards makes one call for each leaf.
    """
    teams = -(-shards // replicas)
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
    for team in range(teams):
        ids = [f"leaf-{team}-{replica}" for replica in range(replicas)]
        for index, leaf_id in enumerate(ids):
            zone = f"zone-{(team + index) % zones}"
            lines_by_zone.setdefault(zone, []).append(
                f"{leaf_id} 127.0.0.1:{port}"
            )
            port += 1
        for shard in range(team * replicas, min(shards, (team + 1) * replicas)):
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
