"""Admission control for callers, and limits on the calls sent to leaves."""

from trefoilpier.limits.admission import Admission, FairShare, longest_wait
from trefoilpier.limits.budget import LoadBudget
from trefoilpier.limits.concurrency import ConcurrencyLimit
from trefoilpier.limits.lane import Lane, QueuedCall

__all__ = [
    "Admission",
    "ConcurrencyLimit",
    "FairShare",
    "Lane",
    "QueuedCall",
    "LoadBudget",
    "longest_wait",
]
