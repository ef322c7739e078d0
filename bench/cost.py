"""Processor time and memory of one entry VM, with real processes."""

import os
import time
from collections.abc import Iterator

import numpy

from bench import figures
from standins import fleet, rig

_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_QUERIES_BY_LEAVES = {30: 400, 100: 200, 1000: 30}
_WARM_UP_QUERIES = 10


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def _resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


def _measure(leaves: int) -> tuple[float, float, float, int]:
    """Measure queries to a given number of leaves.

    Returns:
        Processor seconds per query, wall-clock milliseconds per query,
        resident bytes and open connections.
    """
    objects = fleet.simple_objects(
        shards=leaves,
        replicas=1,
        vms=1,
        deadline="10s",
        mode="coverage",
        block_size=1000,
    )
    with rig.Rig(
        objects=objects,
        nodes=1,
        leaf_processes=4,
        leaf_options=("--median-ms=0.5", "--queue=64"),
    ) as target:
        target.start()
        process = target.nodes[0].process
        assert process is not None
        for _ in range(_WARM_UP_QUERIES):
            target.request("search", {"text": "warm"})
        count = _QUERIES_BY_LEAVES[leaves]
        cpu_before = cpu_seconds(process.pid)
        started_at = time.monotonic()
        for index in range(count):
            answer = target.request("search", {"text": f"t{index}"})
            assert answer.row()["coverage"]["answered"] == leaves
        wall = (time.monotonic() - started_at) / count * 1000
        cpu = (cpu_seconds(process.pid) - cpu_before) / count
        rows = target.leaf_counts()
        connections = sum(row["open"] for row in rows.values())
        return cpu, wall, _resident_bytes(process.pid), connections


def run() -> Iterator[figures.Figure]:
    """Measure 30, 100 and 1,000 leaves and fit the cost per leaf call."""
    counts, costs, sizes, connections = [], [], [], []
    for leaves in _QUERIES_BY_LEAVES:
        cpu, wall, resident, connection_count = _measure(leaves)
        counts.append(leaves)
        costs.append(cpu * 1e6)
        sizes.append(resident)
        connections.append(connection_count)
        name = f"cost {leaves} leaves"
        yield _figure(f"{name}/processor a query", cpu * 1e6, "us")
        yield _figure(f"{name}/processor a leaf call", cpu * 1e6 / leaves, "us")
        yield _figure(f"{name}/wall a query", wall, "ms")
        yield _figure(f"{name}/resident", resident / 1e6, "MB")
    call_cost_us, query_cost_us = numpy.polyfit(counts, costs, 1)
    yield _figure("cost/slope a leaf call", float(call_cost_us), "us")
    yield _figure("cost/start a query", float(query_cost_us), "us")
    connection_bytes, base_bytes = numpy.polyfit(connections, sizes, 1)
    yield _figure(
        "cost/memory a connection", float(connection_bytes) / 1e3, "kB"
    )
    yield _figure(
        "cost/memory without connections", float(base_bytes) / 1e6, "MB"
    )


def _figure(name: str, value: float, unit: str) -> figures.Figure:
    return figures.Figure(name=name, value=value, unit=unit, kind="process")


def messages(leaves: int, limit: int) -> Iterator[figures.Figure]:
    """Count messages and leaf calls per query at a given connection limit."""
    objects = fleet.simple_objects(
        shards=leaves,
        replicas=2,
        connection_limit=limit,
        block_size=max(4, leaves // 10),
        deadline="2s",
    )
    sim_fleet = fleet.Fleet(objects=objects, seed=3)
    sim_fleet.start()
    queries = 20
    sent_before = sum(sim_fleet.network.messages_by_node.values())
    bytes_before = sum(sim_fleet.network.bytes_by_node.values())
    calls_before = sum(host.calls for host in sim_fleet.host_by_leaf.values())
    started_at = sim_fleet.clock.monotonic()
    answered = 0
    for index in range(queries):
        outcome = sim_fleet.request_and_wait(f"vm-{index % 7 + 1}", "search")
        answered += outcome.coverage.answered if outcome.coverage else 0
    seconds = sim_fleet.clock.monotonic() - started_at
    sent = sum(sim_fleet.network.messages_by_node.values()) - sent_before
    size = sum(sim_fleet.network.bytes_by_node.values()) - bytes_before
    calls = sum(host.calls for host in sim_fleet.host_by_leaf.values())
    name = f"limit {limit} at {leaves} leaves"
    # Subtracts the probes, two messages per second and node.
    sent -= round(2 * 7 * seconds)
    yield figures.Figure(
        name=f"{name}/messages a query", value=sent / queries, unit="count"
    )
    yield figures.Figure(
        name=f"{name}/bytes a query", value=size / queries, unit="B"
    )
    yield figures.Figure(
        name=f"{name}/leaf calls a query",
        value=(calls - calls_before) / queries,
        unit="count",
    )
    yield figures.Figure(
        name=f"{name}/coverage",
        value=answered / queries / leaves,
        unit="share",
        lower_bound=1.0,
    )
    peak = max(host.peak for host in sim_fleet.host_by_leaf.values())
    yield figures.Figure(
        name=f"{name}/peak connections of a leaf",
        value=peak,
        unit="count",
        upper_bound=limit,
    )


def jobs() -> list[tuple]:
    """Return the experiments that may run in parallel."""
    return [
        (messages, leaves, limit)
        for limit in (2, 25)
        for leaves in (30, 100, 1000)
    ]


def process_jobs() -> list[tuple]:
    """Return the experiments that measure processes."""
    return [(run,)]
