"""The HTTP interface for callers and operators."""

from trefoilpier.caller.bounds import BoundedRequest, BoundedSite, CallerBounds
from trefoilpier.caller.metrics import NodeMetrics
from trefoilpier.caller.pages import make_root_resource
from trefoilpier.caller.parse import parse_request

__all__ = [
    "BoundedRequest",
    "BoundedSite",
    "CallerBounds",
    "NodeMetrics",
    "make_root_resource",
    "parse_request",
]
