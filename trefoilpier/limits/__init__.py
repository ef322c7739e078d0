"""Limits on what is sent to leaves and taken in from callers."""

from trefoilpier.limits.admission import Admission, FairShare, longest_wait
from trefoilpier.limits.budget import LoadBudget
from trefoilpier.limits.concurrency import ConcurrencyLimit
from trefoilpier.limits.lane import Lane, LaneItem

__all__ = [
    "Admission",
    "ConcurrencyLimit",
    "FairShare",
    "Lane",
    "LaneItem",
    "LoadBudget",
    "longest_wait",
]
