"""Memory and processor time of the control plane at design size.

The production code runs in one process with tables of the design size;
nothing is simulated.
"""

import dataclasses
import time
import tracemalloc
from collections.abc import Iterator

from bench import figures
from standins import fleet
from trefoilpier import board, config, routing

_NODES = 5900
_LEAVES = 27_000
_LEAVES_PER_BLOCK = 100


def _figure(name: str, value: float, unit: str) -> figures.Figure:
    return figures.Figure(
        name=f"capacity {name}", value=value, unit=unit, kind="process"
    )


def _objects(leaves: int) -> list[config.RawObject]:
    return fleet.simple_objects(
        shards=leaves,
        replicas=2,
        zones=8,
        vms=_NODES,
        block_size=_LEAVES_PER_BLOCK,
    )


def _changed(raw: config.RawObject) -> config.RawObject:
    """Return the service with one key changed."""
    keys = {**raw.text_by_key, "deadline": "900ms"}
    return dataclasses.replace(raw, text_by_key=keys)


def configuration() -> Iterator[figures.Figure]:
    """Measure building configuration sets of different numbers of leaves."""
    for leaves in (1000, 9000, _LEAVES):
        objects = _objects(leaves)
        tracemalloc.start()
        cpu_before = time.process_time()
        config_set = config.build_config_set(version=1, objects=objects).ok
        cpu_used = time.process_time() - cpu_before
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        blocks = len(config_set.shard_group_by_name["items"].blocks)
        yield _figure(f"set of {leaves} leaves/memory", size / 1e6, "MB")
        yield _figure(f"set of {leaves} leaves/blocks", blocks, "count")
        cpu_before = time.process_time()
        config.build_config_set(version=1, objects=objects)
        cpu_used = time.process_time() - cpu_before
        yield _figure(f"set of {leaves} leaves/build", cpu_used * 1e3, "ms")
        changed = [*objects[:-1], _changed(objects[-1])]
        cpu_before = time.process_time()
        config.build_config_set(version=2, objects=changed, previous=config_set)
        cpu_used = time.process_time() - cpu_before
        yield _figure(
            f"set of {leaves} leaves/build after one change",
            cpu_used * 1e3,
            "ms",
        )
        stored = config.Bundle.from_objects(objects)
        largest = max(len(data) for data in stored.data_by_hash.values())
        total = sum(len(data) for data in stored.data_by_hash.values())
        yield _figure(f"set of {leaves} leaves/largest object", largest, "B")
        yield _figure(f"set of {leaves} leaves/all objects", total, "B")


def _record(index: int) -> board.NodeRecord:
    return board.NodeRecord(
        id=f"vm-{index}",
        host=f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}",
        peer_port=7001,
        caller_port=8080,
        region=f"region-{index % 4}",
        zone=f"zone-{index % 8}",
        incarnation=1_796_330_570_177 + index,
    )


def nodes() -> Iterator[figures.Figure]:
    """Measure the membership table and the cost of one membership change."""
    tracemalloc.start()
    section = board.NodeSection(self_id="vm-0")
    for index in range(_NODES):
        section.node_by_id[f"vm-{index}"] = _record(index)
    section.refresh()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _figure("node table/memory", size / 1e6, "MB")
    config_set = config.build_config_set(
        version=1, objects=_objects(_LEAVES)
    ).ok
    group = config_set.shard_group_by_name["items"]
    placement = routing.Placement(nodes=section)
    cpu_before = time.process_time()
    for block in group.blocks:
        placement.gatherers(block, group)
    cpu_used = time.process_time() - cpu_before
    yield _figure("placement/first ranking", cpu_used * 1e3, "ms")
    cpu_before = time.process_time()
    changes = 20
    for index in range(changes):
        del section.node_by_id[f"vm-{index + 1}"]
        section.refresh()
        for block in group.blocks:
            placement.is_gatherer(block, group)
    cpu_used = (time.process_time() - cpu_before) / changes
    yield _figure("placement/one change of a node", cpu_used * 1e3, "ms")


def jobs() -> list[tuple]:
    """Return the experiments, which run one at a time."""
    return [(configuration,), (nodes,)]
