"""Routes from callers' requests to services."""

from trefoilpier.routes.table import (
    Gather,
    Route,
    RouteTable,
    ServiceSpec,
    WeightedService,
)

__all__ = [
    "Gather",
    "Route",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
]
