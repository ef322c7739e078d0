"""Request execution on the entry VM and on the gatherers that it queries."""

from trefoilpier.query.outcome import Coverage, Outcome, Request
from trefoilpier.query.peer_client import PeerClient
from trefoilpier.query.request_runner import RequestRunner
from trefoilpier.query.sub_query_server import SubQueryServer

__all__ = [
    "Coverage",
    "RequestRunner",
    "Outcome",
    "PeerClient",
    "Request",
    "SubQueryServer",
]
