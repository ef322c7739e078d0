"""Routing, hedging and limits at a virtual clock, at the brief's sizes."""

import pathlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bench import baselines, figures, virtual_load
from standins import fleet, rig
from trefoilpier import config, node

_SEED = 7
_LATENCY_MOST_MS = 320.0
_EXTRA_MOST = 0.05
_MEDIAN_S = 0.005


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """One of the users' deployments.

    Attributes:
        name: Whose it is.
        path: Its objects.
        service: The service that is measured.
        whole_service: The same index under the ``coverage`` policy.
        full_rate: Queries a second that the leaves' slots carry.
    """

    name: str
    path: pathlib.Path
    service: str
    full_rate: float


EXAMPLES = rig.ROOT / "examples"
DEPLOYMENTS = (
    # 30 calls a query over 30 leaves with 2 (or 5) slots of about 5.2 ms.
    Deployment(
        name="ulaanbaatar",
        path=EXAMPLES / "ulaanbaatar.ini",
        service="gown-search",
        full_rate=380.0,
    ),
    Deployment(
        name="hanoi",
        path=EXAMPLES / "hanoi.ini",
        service="inventory",
        full_rate=950.0,
    ),
)


def make_fleet(
    deployment: Deployment,
    *,
    seed: int = _SEED,
    change: Callable[[node.Node, random.Random], None] | None = None,
    edit: Callable[[config.RawObject], config.RawObject] | None = None,
    queue: int = 4,
) -> fleet.Fleet:
    """Starts a deployment's fleet with only the measured shard group."""
    objects = config.read_bundle(deployment.path).ok
    if edit is not None:
        objects = [edit(raw) for raw in objects]
    made = fleet.Fleet(
        objects=objects, seed=seed, median_s=_MEDIAN_S, queue=queue
    )
    made.start()
    if change is not None:
        for each in made.node_by_id.values():
            change(each, random.Random(seed))
    return made


def _leaves(made: fleet.Fleet, service: str) -> list[str]:
    group = made.set.service_by_name[service].shard_group
    rows = made.set.shard_group_by_name[group].leaf_ids_by_shard
    return sorted({leaf_id for row in rows for leaf_id in row})


POLICIES: tuple[
    tuple[str, Callable[[node.Node, random.Random], None] | None], ...
] = (
    ("own", None),
    ("no hedging", baselines.use_no_hedging),
    ("fixed hedging", baselines.use_fixed_hedging),
)


def straggler(deployment: Deployment) -> Iterator[figures.Figure]:
    """One leaf of the group 20 times slower, and 1 % of calls straggling."""
    p99_by_policy = {}
    for name, change in POLICIES:
        made = make_fleet(deployment, change=change)
        leaves = _leaves(made, deployment.service)
        made.host_by_leaf[leaves[0]].model.faults.slow_factor = 20.0
        for leaf_id in leaves:
            made.host_by_leaf[leaf_id].model.faults.straggle_share = 0.01
        load = virtual_load.VirtualLoad(
            target=made, service=deployment.service, seed=_SEED
        )
        load.run(rate=0.3 * deployment.full_rate, seconds=2.0)
        seen = load.run(rate=0.3 * deployment.full_rate, seconds=8.0)
        p99_by_policy[name] = seen.percentile_ms(99)
        yield from _straggler_rows(
            f"straggler {deployment.name} {name}", seen, own=name == "own"
        )
    ratio = p99_by_policy["own"] / p99_by_policy["no hedging"]
    yield figures.Figure(
        name=f"straggler {deployment.name}/p99 to no hedging",
        value=ratio,
        unit="ratio",
        most=0.5,
    )


def _straggler_rows(
    name: str, seen: virtual_load.LoadResult, *, own: bool
) -> Iterator[figures.Figure]:
    yield figures.Figure(
        name=f"{name}/p50", value=seen.percentile_ms(50), unit="ms"
    )
    yield figures.Figure(
        name=f"{name}/p99",
        value=seen.percentile_ms(99),
        unit="ms",
        most=_LATENCY_MOST_MS if own else None,
    )
    yield figures.Figure(
        name=f"{name}/p99.9", value=seen.percentile_ms(99.9), unit="ms"
    )
    yield figures.Figure(
        name=f"{name}/answered",
        value=seen.answered_share,
        unit="share",
        least=0.99 if own else None,
    )
    yield figures.Figure(
        name=f"{name}/coverage", value=seen.coverage, unit="share"
    )
    yield figures.Figure(
        name=f"{name}/extra load",
        value=seen.extra_load,
        unit="share",
        most=_EXTRA_MOST if own else None,
    )


def run() -> Iterator[figures.Figure]:
    """Yields every figure of the decisions."""
    for deployment in DEPLOYMENTS:
        yield from straggler(deployment)
