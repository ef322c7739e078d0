"""The merged partial answer of a gather."""

from typing import Any

from trefoilpier import base
from trefoilpier.routing import spec


class GatherResult:
    """The merged partial answer of a gather.

    Attributes:
        answered: Shards whose result is merged into ``result``.
        reason_by_missing: The reason for each missing shard.
        result: The merged result, or None.
        ran: Whether any leaf ran the query.
        calls: Number of leaf calls sent, including extra calls.
        extra_calls: Number of extra calls: hedges and retries.
        retry_after: Seconds after which to retry; 0 if unknown.
        leaf_by_shard: The id of the leaf that answered for each shard, for
            the log.
    """

    __slots__ = (
        "answered",
        "calls",
        "extra_calls",
        "leaf_by_shard",
        "ran",
        "reason_by_missing",
        "result",
        "retry_after",
    )

    def __init__(self) -> None:
        self.answered: list[int] = []
        self.reason_by_missing: dict[int, spec.MissReason] = {}
        self.result: Any = None
        self.ran = base.Ran.NO
        self.calls = 0
        self.extra_calls = 0
        self.retry_after = 0.0
        self.leaf_by_shard: dict[int, str] = {}

    def format_shards_by_leaf(self) -> str:
        """Return the shards answered by each leaf, as compact text."""
        shards_by_leaf: dict[str, list[str]] = {}
        for shard, leaf_id in self.leaf_by_shard.items():
            shards_by_leaf.setdefault(leaf_id, []).append(str(shard))
        return " ".join(
            f"{leaf_id}:{','.join(shards)}"
            for leaf_id, shards in shards_by_leaf.items()
        )
