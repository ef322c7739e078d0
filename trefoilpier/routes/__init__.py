"""Which service a caller's request goes to: routes and their versions."""

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
