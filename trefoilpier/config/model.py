"""Typed configuration objects with resolved references."""

import datetime
import enum
from dataclasses import dataclass

from trefoilpier import base
from trefoilpier.config import bundle


class Mode(enum.StrEnum):
    """The condition on which a response is sent.

    ``TAIL`` responds at the soft deadline with the results received so far;
    ``COVERAGE`` waits for every shard until the deadline.
    """

    TAIL = "tail"
    COVERAGE = "coverage"


class Merge(enum.StrEnum):
    """How the results of several shards are merged into one."""

    TOP = "top"
    CONCAT = "concat"
    SUM = "sum"
    SINGLE = "single"


@dataclass(slots=True, kw_only=True, frozen=True)
class Fleet:
    """The entry VMs that share the connection limits of the leaves.

    Attributes:
        name: Name of the object.
        vms: Number of entry VMs.
        spare: Number of additional VMs that may run during a replacement.
    """

    name: str
    vms: int
    spare: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Leaf:
    """One backend server process that holds replicas of shards.

    Attributes:
        id: Unique id of the leaf.
        host: IP address.
        port: TCP port.
        region: Region of the leaf.
        zone: Availability zone of the leaf.
        place: Name of the ``place`` object that lists the leaf.
    """

    id: str
    host: str
    port: int
    region: str
    zone: str
    place: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Policy:
    """How a query handles slow and failed leaf calls.

    Attributes:
        name: Name of the object.
        mode: The condition on which a response is sent.
        soft_deadline: Time after which a ``tail`` query responds with the
            results received so far.
        hedge_budget: Maximum hedges and retries, as a fraction of first
            attempts.
        retry_budget: Maximum retries, as a fraction of first attempts.
        minimum_coverage: Fraction of the shards below which the query fails
            instead of returning a partial result.
    """

    name: str
    mode: Mode
    soft_deadline: datetime.timedelta
    hedge_budget: float
    retry_budget: float
    minimum_coverage: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Block:
    """A set of shards whose leaves are connected to by the same gatherers.

    Attributes:
        id: Unique id of the block.
        group: Name of the shard group.
        shards: Sorted shard numbers.
        leaf_ids: Sorted ids of the leaves that hold the shards.
    """

    id: str
    group: str
    shards: tuple[int, ...]
    leaf_ids: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardGroup:
    """A partitioned index and the leaves that hold it.

    Attributes:
        name: Name of the object.
        epoch: Number of the partitioning, incremented by a repartition.
        leaf_ids_by_shard: The leaves that hold a replica of each shard.
        connection_limit: Connections that one leaf accepts in total.
        slots: Calls that one leaf runs concurrently.
        calls_per_gatherer: Calls that one gatherer may have in flight to a
            leaf.
        gatherers: Nodes that connect to a leaf, not counting spares.
        connections_per_node: Connections that one node may open to a leaf.
        blocks: The partition of the shards into blocks.
        block_by_shard: The block that contains each shard.
    """

    name: str
    epoch: int
    leaf_ids_by_shard: tuple[tuple[str, ...], ...]
    connection_limit: int
    slots: int
    calls_per_gatherer: int
    gatherers: int
    connections_per_node: int
    blocks: tuple[Block, ...]
    block_by_shard: tuple[Block, ...]

    @property
    def shard_count(self) -> int:
        """Number of shards, of which coverage is a fraction."""
        return len(self.leaf_ids_by_shard)


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A service that callers address by name.

    Attributes:
        name: Name of the object, part of the URL.
        repeatable: Whether a call may be sent more than once.
        merge: How the results of the shards are merged.
        shard_group: Name of the shard group that the service queries.
        policy: Name of the routing policy.
        deadline: Maximum deadline that a caller can request.
        anonymous: Whether requests need no key of a client account.
    """

    name: str
    repeatable: bool
    merge: Merge
    shard_group: str
    policy: str
    deadline: datetime.timedelta
    anonymous: bool = False

    def shard_of(self, key: str, shard_count: int) -> int:
        """Return the shard that a routing key maps to."""
        return base.stable_hash(key) % shard_count


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigSet:
    """One valid configuration version; immutable once built.

    Attributes:
        version: Version number under which it is published.
        fleet: The entry VMs that share the connection limits.
        service_by_name: Services.
        shard_group_by_name: Shard groups.
        policy_by_name: Routing policies.
        leaf_by_id: Leaves of all places.
        group_by_leaf_id: The shard group that each leaf belongs to.
        account_by_key_digest: Client accounts by the digests of their keys;
            None if no account is defined, so that requests need no key.
        raw_by_section: The objects it was built from; the next version
            rebuilds only those that have changed.
    """

    version: int
    fleet: Fleet
    service_by_name: dict[str, Service]
    shard_group_by_name: dict[str, ShardGroup]
    policy_by_name: dict[str, Policy]
    leaf_by_id: dict[str, Leaf]
    group_by_leaf_id: dict[str, ShardGroup]
    account_by_key_digest: dict[str, str] | None
    raw_by_section: dict[str, bundle.RawObject]
