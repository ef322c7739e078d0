"""Joins the results of shards, associatively."""

import heapq
from typing import Any

from trefoilpier import config


class Merger:
    """Collects results and joins them; partial results merge the same way.

    >>> merger = Merger(merge=config.Merge.TOP, limit=2)
    >>> merger.add([{"id": "a", "score": 1}, {"id": "b", "score": 5}])
    >>> merger.add([{"id": "c", "score": 3}])
    >>> [hit["id"] for hit in merger.result()]
    ['b', 'c']
    """

    __slots__ = ("_limit", "_merge", "_parts")

    def __init__(self, *, merge: config.Merge, limit: int) -> None:
        self._merge = merge
        self._limit = limit
        self._parts: list[Any] = []

    def check(self, part: Any) -> bool:
        """Tells whether a result has the form that this merge takes."""
        if self._merge == config.Merge.TOP:
            return isinstance(part, list) and all(
                isinstance(hit, dict)
                and isinstance(hit.get("score"), int | float)
                for hit in part
            )
        if self._merge == config.Merge.CONCAT:
            return isinstance(part, list)
        if self._merge == config.Merge.SUM:
            return isinstance(part, int | float)
        return True

    def add(self, part: Any) -> None:
        """Takes in the result of a shard, or of several merged ones."""
        self._parts.append(part)

    def result(self) -> Any:
        """Returns the joined result; None when nothing was added."""
        if not self._parts:
            return None
        if self._merge == config.Merge.TOP:
            hits = [hit for part in self._parts for hit in part]
            return heapq.nlargest(
                self._limit,
                hits,
                key=lambda hit: (hit["score"], str(hit.get("id"))),
            )
        if self._merge == config.Merge.CONCAT:
            return [row for part in self._parts for row in part]
        if self._merge == config.Merge.SUM:
            return sum(self._parts)
        return self._parts[0]
