"""Associative merging of shard results."""

import heapq
from typing import Any

from trefoilpier import config


class Merger:
    """Results of shards, merged on demand.

    The merge is associative, so merged results can be merged again.

    >>> merger = Merger(merge=config.Merge.TOP, limit=2)
    >>> merger.add([{"id": "a", "score": 1}, {"id": "b", "score": 5}])
    >>> merger.add([{"id": "c", "score": 3}])
    >>> [hit["id"] for hit in merger.result()]
    ['b', 'c']
    """

    __slots__ = ("_limit", "_merge", "_partials")

    def __init__(self, *, merge: config.Merge, limit: int) -> None:
        self._merge = merge
        self._limit = limit
        self._partials: list[Any] = []

    def accepts(self, partial: Any) -> bool:
        """Return whether a result has the type that this merge expects."""
        if self._merge == config.Merge.TOP:
            return isinstance(partial, list) and all(
                isinstance(hit, dict)
                and isinstance(hit.get("score"), int | float)
                for hit in partial
            )
        if self._merge == config.Merge.CONCAT:
            return isinstance(partial, list)
        if self._merge == config.Merge.SUM:
            return isinstance(partial, int | float)
        return True

    def add(self, partial: Any) -> None:
        """Add the result of one shard, or a merged result of several."""
        self._partials.append(partial)

    def result(self) -> Any:
        """Return the merged result, or None if no result was added."""
        if not self._partials:
            return None
        if self._merge == config.Merge.TOP:
            hits = [hit for partial in self._partials for hit in partial]
            return heapq.nlargest(
                self._limit,
                hits,
                key=lambda hit: (hit["score"], str(hit.get("id"))),
            )
        if self._merge == config.Merge.CONCAT:
            return [row for partial in self._partials for row in partial]
        if self._merge == config.Merge.SUM:
            return sum(self._partials)
        return self._partials[0]
