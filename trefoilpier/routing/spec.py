"""What a query is, once it has been pinned."""

import enum
from dataclasses import dataclass

from trefoilpier import config


class MissReason(enum.StrEnum):
    """Why a shard is not in an answer."""

    LATE = "late"
    NO_REPLICA = "no_replica"
    VERSION_GONE = "version_gone"
    MOVED = "moved"
    SHED = "shed"
    FAILED = "failed"
    NO_GATHERER = "no_gatherer"


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """What every partial answer of a query must have been made from.

    Attributes:
        config_version: The configuration whose shard map counts.
        group: The shard group.
        epoch: The partitioning.
        index_version: The version of the index.
    """

    config_version: int
    group: str
    epoch: int
    index_version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class QuerySpec:
    """One pinned query, as entry and gatherers see it.

    Attributes:
        id: Unique to the process incarnation and the request.
        service: The service.
        group: Its shard group in the pinned configuration.
        policy: Its routing policy.
        snapshot: What partial answers must have been made from.
        deadline: Monotonic instant after which no answer is of use.
        soft_deadline: Monotonic instant at which a ``tail`` query answers.
        query: The caller's query as JSON text.
        key: The caller's idempotency key, or empty.
        limit: Number of hits that a ``top`` merge keeps.
        extra_share: Part of the policy's extra load that this node may use.
    """

    id: str
    service: config.Service
    group: config.ShardGroup
    policy: config.Policy
    snapshot: Snapshot
    deadline: float
    soft_deadline: float
    query: bytes
    key: str = ""
    limit: int = 10
    extra_share: float = 1.0
