"""Processor time and memory of one entry VM, with real processes."""

import os
import time
from collections.abc import Iterator

import numpy

from bench import figures
from standins import fleet, rig

_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_QUERIES_BY_LEAVES = {30: 400, 100: 200, 1000: 30}
_WARM_UP = 10


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def _resident_bytes(pid: int) -> int:
    """Returns the memory that a process holds."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


def _measure(leaves: int) -> tuple[float, float, float, int]:
    """Returns seconds a query, wall milliseconds, bytes and connections."""
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
        for _ in range(_WARM_UP):
            target.request("search", {"text": "warm"})
        count = _QUERIES_BY_LEAVES[leaves]
        before = cpu_seconds(process.pid)
        begin = time.monotonic()
        for index in range(count):
            answer = target.request("search", {"text": f"t{index}"})
            assert answer.row()["coverage"]["answered"] == leaves
        wall = (time.monotonic() - begin) / count * 1000
        cpu = (cpu_seconds(process.pid) - before) / count
        rows = target.leaf_rows()
        connections = sum(row["open"] for row in rows.values())
        return cpu, wall, _resident_bytes(process.pid), connections


def run() -> Iterator[figures.Figure]:
    """Measures 30, 100 and 1,000 leaves and fits the slopes."""
    counts, costs, sizes, connections = [], [], [], []
    for leaves in _QUERIES_BY_LEAVES:
        cpu, wall, resident, held = _measure(leaves)
        counts.append(leaves)
        costs.append(cpu * 1e6)
        sizes.append(resident)
        connections.append(held)
        name = f"cost {leaves} leaves"
        yield _figure(f"{name}/processor a query", cpu * 1e6, "us")
        yield _figure(f"{name}/processor a leaf call", cpu * 1e6 / leaves, "us")
        yield _figure(f"{name}/wall a query", wall, "ms")
        yield _figure(f"{name}/resident", resident / 1e6, "MB")
    slope, start = numpy.polyfit(counts, costs, 1)
    yield _figure("cost/slope a leaf call", float(slope), "us")
    yield _figure("cost/start a query", float(start), "us")
    memory, base = numpy.polyfit(connections, sizes, 1)
    yield _figure("cost/memory a connection", float(memory) / 1e3, "kB")
    yield _figure("cost/memory without connections", float(base) / 1e6, "MB")


def _figure(name: str, value: float, unit: str) -> figures.Figure:
    return figures.Figure(name=name, value=value, unit=unit, kind="process")


def messages(leaves: int, limit: int) -> Iterator[figures.Figure]:
    """Counts messages and leaf calls a query at a small connection limit."""
    objects = fleet.simple_objects(
        shards=leaves,
        replicas=2,
        connection_limit=limit,
        block_size=max(4, leaves // 10),
        deadline="2s",
    )
    made = fleet.Fleet(objects=objects, seed=3)
    made.start()
    queries = 20
    sent_before = sum(made.network.messages_by_node.values())
    bytes_before = sum(made.network.bytes_by_node.values())
    calls_before = sum(host.calls for host in made.host_by_leaf.values())
    begin = made.clock.monotonic()
    answered = 0
    for index in range(queries):
        final = made.ask(f"vm-{index % 7 + 1}", "search")
        answered += final.coverage.answered if final.coverage else 0
    seconds = made.clock.monotonic() - begin
    sent = sum(made.network.messages_by_node.values()) - sent_before
    size = sum(made.network.bytes_by_node.values()) - bytes_before
    calls = sum(host.calls for host in made.host_by_leaf.values())
    name = f"limit {limit} at {leaves} leaves"
    # Probes go on meanwhile: two messages a second and node.
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
        least=1.0,
    )
    peak = max(host.peak for host in made.host_by_leaf.values())
    yield figures.Figure(
        name=f"{name}/peak connections of a leaf",
        value=peak,
        unit="count",
        most=limit,
    )


def jobs() -> list[tuple]:
    """Returns the experiments that run side by side."""
    return [
        (messages, leaves, limit)
        for limit in (2, 25)
        for leaves in (30, 100, 1000)
    ]


def process_jobs() -> list[tuple]:
    """Returns the experiments that measure processes."""
    return [(run,)]
