"""Query routing: gatherers, replicas, index versions, retries and hedges."""

from trefoilpier.routing.context import GatherContext
from trefoilpier.routing.gather import Gather
from trefoilpier.routing.hedge import HedgePolicy
from trefoilpier.routing.merge import Merger
from trefoilpier.routing.placement import Placement
from trefoilpier.routing.replica import ReplicaChooser
from trefoilpier.routing.result import GatherResult
from trefoilpier.routing.snapshot import SnapshotTracker, choose_version
from trefoilpier.routing.spec import MissReason, QuerySpec, Snapshot

__all__ = [
    "Gather",
    "GatherContext",
    "GatherResult",
    "HedgePolicy",
    "Merger",
    "MissReason",
    "Placement",
    "QuerySpec",
    "ReplicaChooser",
    "Snapshot",
    "SnapshotTracker",
    "choose_version",
]
