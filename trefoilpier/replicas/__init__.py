"""Leaf registry, statistics, connection pools and load balancing."""

from trefoilpier.replicas.call import (
    CallEnd,
    CallResult,
    LeafCall,
    RequestIdentity,
    ReusePolicy,
)
from trefoilpier.replicas.choice import LeafChooser
from trefoilpier.replicas.ends import (
    LeafEndDetector,
    LeafEndObserver,
    NullLeafEndObserver,
    RunningCall,
)
from trefoilpier.replicas.entry import LeafEntry, LeafPhase
from trefoilpier.replicas.limit_news import LimitNews, decode_limits
from trefoilpier.replicas.loss import CallLoss, LossCause
from trefoilpier.replicas.policy import LeafPolicy
from trefoilpier.replicas.pool import LeafPool
from trefoilpier.replicas.registry import LeafRegistry
from trefoilpier.replicas.state import LeafLoad, LeafStats
from trefoilpier.replicas.survey import LeafSurvey
from trefoilpier.replicas.warm_up import ColdBounds, ColdService

__all__ = [
    "CallEnd",
    "CallLoss",
    "CallResult",
    "ColdBounds",
    "ColdService",
    "LeafCall",
    "LeafChooser",
    "LeafEndDetector",
    "LeafEndObserver",
    "LeafEntry",
    "LeafLoad",
    "LeafPhase",
    "LeafPolicy",
    "LeafPool",
    "LeafRegistry",
    "LeafStats",
    "LeafSurvey",
    "LimitNews",
    "LossCause",
    "NullLeafEndObserver",
    "RequestIdentity",
    "ReusePolicy",
    "RunningCall",
    "decode_limits",
]
