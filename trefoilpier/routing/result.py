"""The merged partial answer of some shards."""

from typing import Any

from trefoilpier import base
from trefoilpier.routing import spec


class GatherResult:
    """The merged partial answer of some shards.

    Attributes:
        answered: Shards whose result is in ``result``.
        reason_by_missing: Why each other shard is not.
        result: The merged result, or None.
        ran: Whether anything ran at a leaf.
        calls: Leaf calls made, extra ones included.
        extra: Hedges and retries among them.
        retry_after: Seconds after which to ask again; 0 if unknown.
        leaf_by_shard: The leaf whose answer was taken, for the log.
    """

    __slots__ = (
        "answered",
        "calls",
        "extra",
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
        self.extra = 0
        self.retry_after = 0.0
        self.leaf_by_shard: dict[int, str] = {}

    def choices(self) -> str:
        """Returns each leaf with the shards it answered for, compressed."""
        shards_by_leaf: dict[str, list[str]] = {}
        for shard, leaf_id in self.leaf_by_shard.items():
            shards_by_leaf.setdefault(leaf_id, []).append(str(shard))
        return " ".join(
            f"{leaf_id}:{','.join(shards)}"
            for leaf_id, shards in shards_by_leaf.items()
        )
