"""Admission control for callers, and limits on the calls sent to leaves."""

from trefoilpier.limits.admission import (
    Admission,
    FairShare,
    longest_queue_wait,
)
from trefoilpier.limits.budget import ExtraCallBudget
from trefoilpier.limits.concurrency import ConcurrencyLimit
from trefoilpier.limits.leaf_queue import LeafQueue, QueuedCall

__all__ = [
    "Admission",
    "ConcurrencyLimit",
    "FairShare",
    "LeafQueue",
    "QueuedCall",
    "ExtraCallBudget",
    "longest_queue_wait",
]
