"""Client for the leaves of backend servers."""

from trefoilpier.leaf.api import (
    CallStatus,
    LeafCall,
    LeafReply,
    LeafReport,
    LeafTransport,
)
from trefoilpier.leaf.http_transport import HttpLeafTransport

__all__ = [
    "CallStatus",
    "HttpLeafTransport",
    "LeafCall",
    "LeafReply",
    "LeafReport",
    "LeafTransport",
]
