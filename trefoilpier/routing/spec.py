"""The specification of a pinned query."""

import enum
from dataclasses import dataclass

from trefoilpier import config


class MissReason(enum.StrEnum):
    """Reason why a shard is missing from an answer."""

    LATE = "late"
    NO_REPLICA = "no_replica"
    VERSION_GONE = "version_gone"
    MOVED = "moved"
    SHED = "shed"
    FAILED = "failed"
    NO_GATHERER = "no_gatherer"


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """The versions that every partial answer of a query must match.

    Attributes:
        config_version: The configuration version whose shard map is used.
        group: The name of the shard group.
        epoch: The epoch of the partitioning.
        index_version: The index version.
    """

    config_version: int
    group: str
    epoch: int
    index_version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class QuerySpec:
    """A pinned query, as executed by the entry node and by gatherers.

    Attributes:
        id: The query id, unique to the process incarnation and the request.
        service: The service.
        group: The service's shard group in the pinned configuration.
        policy: The service's routing policy.
        snapshot: The versions that every partial answer must match.
        deadline: Monotonic instant after which an answer is of no use.
        soft_deadline: Monotonic instant at which a ``tail`` query ends if it
            has its minimum coverage.
        query: The caller's query as JSON text.
        idempotency_key: The caller's idempotency key, or empty.
        limit: Number of hits that a ``top`` merge keeps.
        extra_share: Fraction of the policy's extra-call budget that this node
            may use.
    """

    id: str
    service: config.Service
    group: config.ShardGroup
    policy: config.Policy
    snapshot: Snapshot
    deadline: float
    soft_deadline: float
    query: bytes
    idempotency_key: str = ""
    limit: int = 10
    extra_share: float = 1.0
