"""Blackboard: shared state of a process, in sections for the controllers."""

from trefoilpier.board.board import (
    Board,
    ConfigSection,
    DrainSection,
    LeafSection,
    NodeSection,
    QuerySection,
)
from trefoilpier.board.leaves import (
    MEAN_HALF_LIFE_S,
    LatencyTracker,
    LeafPhase,
    LeafState,
)
from trefoilpier.board.nodes import NodeRecord, NodeState

__all__ = [
    "MEAN_HALF_LIFE_S",
    "Board",
    "ConfigSection",
    "DrainSection",
    "LatencyTracker",
    "LeafPhase",
    "LeafSection",
    "LeafState",
    "NodeRecord",
    "NodeSection",
    "NodeState",
    "QuerySection",
]
