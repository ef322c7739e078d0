"""The operators' objects, typed and resolved."""

import datetime
import enum
from dataclasses import dataclass

from trefoilpier import base
from trefoilpier.config import bundle


class Mode(enum.StrEnum):
    """When an answer is sent.

    ``TAIL`` answers at the soft deadline with what is there; ``COVERAGE``
    waits for every shard up to the deadline.
    """

    TAIL = "tail"
    COVERAGE = "coverage"


class Merge(enum.StrEnum):
    """How the results of shards become one result."""

    TOP = "top"
    CONCAT = "concat"
    SUM = "sum"
    SINGLE = "single"


@dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """The entry VMs that connection limits are shared over.

    Attributes:
        name: The object's name.
        vms: How many entry VMs run.
        spare: How many more may run during a replacement.
    """

    name: str
    vms: int
    spare: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Leaf:
    """One backend server process that holds replicas of shards."""

    id: str
    host: str
    port: int
    region: str
    zone: str
    place: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Policy:
    """How a query treats stragglers.

    Attributes:
        name: The object's name.
        mode: When an answer is sent.
        soft_deadline: When a ``tail`` query answers with what is there.
        hedge_budget: Hedges and retries allowed, as a share of first calls.
        retry_budget: Retries allowed, as a share of first calls.
        minimum_coverage: Below this share of shards an answer is refused.
    """

    name: str
    mode: Mode
    soft_deadline: datetime.timedelta
    hedge_budget: float
    retry_budget: float
    minimum_coverage: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Block:
    """A run of shards whose leaves the same gatherers connect to."""

    id: str
    group: str
    shards: tuple[int, ...]
    leaf_ids: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardGroup:
    """A partitioned index and the leaves that hold it.

    Attributes:
        name: The object's name.
        epoch: Number of the partitioning; a repartition raises it.
        leaf_ids_by_shard: The replicas of each shard.
        connection_limit: Connections that one leaf accepts in total.
        slots: Calls that one leaf runs at a time.
        slot_share: Calls that one gatherer may have out at a leaf.
        gatherers: Nodes that connect to a leaf, not counting spares.
        connection_share: Connections to one leaf that one node may hold.
        blocks: The shards in runs that are placed together.
        block_by_shard: The block that holds each shard.
    """

    name: str
    epoch: int
    leaf_ids_by_shard: tuple[tuple[str, ...], ...]
    connection_limit: int
    slots: int
    slot_share: int
    gatherers: int
    connection_share: int
    blocks: tuple[Block, ...]
    block_by_shard: tuple[Block, ...]

    @property
    def shard_count(self) -> int:
        """Number of shards, over which coverage is counted."""
        return len(self.leaf_ids_by_shard)


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """What callers ask for by name.

    Attributes:
        name: The object's name, part of the URL.
        repeatable: Whether a call may be sent twice.
        merge: How results of shards are joined.
        shard_group: The index it searches.
        policy: How stragglers are treated.
        deadline: The longest time a caller can ask for.
    """

    name: str
    repeatable: bool
    merge: Merge
    shard_group: str
    policy: str
    deadline: datetime.timedelta

    def shard_of(self, key: str, shard_count: int) -> int:
        """Returns the shard that a routing key belongs to."""
        return base.stable_hash(key) % shard_count


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigSet:
    """One checked version of all objects. Never changed once built.

    Attributes:
        version: The number it is published under.
        fleet: The entry VMs that limits are shared over.
        service_by_name: Services.
        shard_group_by_name: Shard groups.
        policy_by_name: Routing policies.
        leaf_by_id: Leaves of all places.
        group_by_leaf_id: The shard group that each leaf belongs to.
        raw_by_section: The objects it was built from, so that the next set
            builds only what has changed.
    """

    version: int
    fleet: Fleet
    service_by_name: dict[str, Service]
    shard_group_by_name: dict[str, ShardGroup]
    policy_by_name: dict[str, Policy]
    leaf_by_id: dict[str, Leaf]
    group_by_leaf_id: dict[str, ShardGroup]
    raw_by_section: dict[str, bundle.RawObject]
