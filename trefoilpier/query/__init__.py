"""Running a request: on the entry VM, and at the gatherers it asks."""

from trefoilpier.query.entry import EntryRunner
from trefoilpier.query.gatherer import SubQueryServer
from trefoilpier.query.outcome import Coverage, Outcome, Request
from trefoilpier.query.peers import PeerRequests

__all__ = [
    "Coverage",
    "EntryRunner",
    "Outcome",
    "PeerRequests",
    "Request",
    "SubQueryServer",
]
