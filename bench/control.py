"""Control traffic of the production protocol code at several fleet sizes."""

import dataclasses
import statistics
import time
from collections.abc import Iterator

from bench import figures
from standins import fleet
from trefoilpier import config

_BYTES_PER_S_MAX = 3000.0
_CPU_CORES_MAX = 0.017
_PROPAGATION_MAX_S = 19.0
_CHANGE_PERIOD_S = 9.4
_REPLACEMENTS_PER_DAY = 11_086
_DAY_S = 86_400
_DESIGN_NODES = 5900
_IDLE_S = 20.0
_SETTLE_PER_NODE_S = 1.8
_SHORT_SETTLE_S = 30.0


def make_fleet(
    nodes: int,
    *,
    loss: float = 0.0,
    seed: int = 5,
    services: int = 20,
    settle: float | None = None,
) -> fleet.Fleet:
    """Start nodes with a small set of objects and no load."""
    objects = fleet.simple_objects(shards=2, vms=nodes, connection_limit=25)
    search = objects[-2]
    objects += [
        dataclasses.replace(search, name=f"search-{index}")
        for index in range(services)
    ]
    sim_fleet = fleet.Fleet(objects=objects, nodes=nodes, seed=seed, regions=4)
    sim_fleet.network.loss = loss
    # All nodes start at once; waits until the membership updates that this
    # causes have been sent, so that they do not count.
    sim_fleet.start(
        settle=settle if settle is not None else _SETTLE_PER_NODE_S * nodes
    )
    return sim_fleet


def _change(
    objects: list[config.RawObject], count: int
) -> list[config.RawObject]:
    """Return the objects with one of them changed."""
    keys = {**objects[-1].text_by_key, "deadline": f"{400 + count}ms"}
    return [*objects[:-1], dataclasses.replace(objects[-1], text_by_key=keys)]


def _propagation_times_s(sim_fleet: fleet.Fleet, count: int) -> list[float]:
    """Publish a change and return the seconds until each node uses it."""
    outcome = sim_fleet.publish(_change(sim_fleet.objects, count))
    published_at = sim_fleet.clock.monotonic()
    sim_fleet.clock.advance(2 * _PROPAGATION_MAX_S)
    return [
        entry_node.board.config.in_force_at - published_at
        if entry_node.board.config.version >= outcome.version
        else 2 * _PROPAGATION_MAX_S
        for entry_node in sim_fleet.node_by_id.values()
    ]


def _traffic(sim_fleet: fleet.Fleet) -> tuple[int, int]:
    network = sim_fleet.network
    return (
        sum(network.bytes_by_node.values()),
        sum(network.messages_by_node.values()),
    )


def _measure(
    name: str, sim_fleet: fleet.Fleet, seconds: float, run: object = None
) -> Iterator[figures.Figure]:
    """Run a fleet and yield its control traffic and processor time."""
    bytes_before, messages_before = _traffic(sim_fleet)
    cpu_before = time.process_time()
    if callable(run):
        run()
    else:
        sim_fleet.clock.advance(seconds)
    cpu = time.process_time() - cpu_before
    bytes_after, messages_after = _traffic(sim_fleet)
    node_seconds = len(sim_fleet.node_by_id) * seconds
    yield figures.Figure(
        name=f"{name}/bytes sent",
        value=(bytes_after - bytes_before) / node_seconds,
        unit="B/s/node",
        upper_bound=_BYTES_PER_S_MAX,
    )
    yield figures.Figure(
        name=f"{name}/messages sent",
        value=(messages_after - messages_before) / node_seconds,
        unit="1/s/node",
    )
    yield figures.Figure(
        name=f"{name}/processor",
        value=cpu / node_seconds,
        unit="core/node",
        upper_bound=_CPU_CORES_MAX,
        kind="process",
    )


def idle(nodes: int) -> Iterator[figures.Figure]:
    """Measure a fleet without changes."""
    sim_fleet = make_fleet(nodes)
    yield from _measure(f"control {nodes} at rest", sim_fleet, _IDLE_S)


def under_changes(nodes: int) -> Iterator[figures.Figure]:
    """Measure a fleet with one configuration change every 9.4 s."""
    sim_fleet = make_fleet(nodes)
    rounds = 3

    def run_changes() -> None:
        for count in range(rounds):
            before = sim_fleet.clock.monotonic()
            sim_fleet.publish(_change(sim_fleet.objects, count))
            spent = sim_fleet.clock.monotonic() - before
            sim_fleet.clock.advance(_CHANGE_PERIOD_S - spent)

    name = f"control {nodes} under changes"
    yield from _measure(name, sim_fleet, rounds * _CHANGE_PERIOD_S, run_changes)


def under_replacement(nodes: int) -> Iterator[figures.Figure]:
    """Measure a fleet with nodes replaced at the design rate, scaled to it."""
    sim_fleet = make_fleet(nodes)
    replacements = 4
    rate = _REPLACEMENTS_PER_DAY / _DAY_S / _DESIGN_NODES * nodes
    seconds = replacements / rate
    pause = min(seconds, 60.0) / replacements

    def run_replacements() -> None:
        for count in range(replacements):
            node_id = sorted(sim_fleet.node_by_id)[count]
            sim_fleet.kill_node(node_id)
            sim_fleet.add_node(f"{node_id}-new", count)
            sim_fleet.clock.advance(pause)

    name = f"control {nodes} under replacement"
    yield from _measure(name, sim_fleet, pause * replacements, run_replacements)


def propagation(nodes: int, loss: float) -> Iterator[figures.Figure]:
    """Measure how long a change takes until all nodes use it."""
    sim_fleet = make_fleet(nodes, loss=loss, settle=_SHORT_SETTLE_S)
    times = [
        t for count in range(2) for t in _propagation_times_s(sim_fleet, count)
    ]
    name = f"in force {nodes} nodes {loss:.0%} loss"
    yield figures.Figure(
        name=f"{name}/median", value=statistics.median(times), unit="s"
    )
    yield figures.Figure(
        name=f"{name}/last node",
        value=max(times),
        unit="s",
        upper_bound=_PROPAGATION_MAX_S,
    )


def jobs() -> list[tuple]:
    """Return the experiments, each a function with its arguments."""
    experiments: list[tuple] = []
    for nodes in (1000, 200, 50, 7):
        experiments += [
            (propagation, nodes, loss) for loss in (0.0, 0.01, 0.05)
        ]
    for nodes in (200, 100, 50, 7):
        experiments.append((idle, nodes))
        experiments.append((under_changes, nodes))
        experiments.append((under_replacement, nodes))
    return experiments
