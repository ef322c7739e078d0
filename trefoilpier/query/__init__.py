"""Request execution on the entry VM and on the gatherers that it queries."""

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
