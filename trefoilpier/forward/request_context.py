"""State that all calls of one request share."""

from dataclasses import dataclass

from trefoilpier import http1, routes
from trefoilpier.forward import wire as wires


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """State shared by all calls of one request.

    Attributes:
        request: The caller's request.
        template: The request as it is forwarded to leaves.
        metadata: Request id and timeout stated by the caller.
        route: Route of the request, fixed when it was received.
        deadline: Monotonic time at which the caller stops waiting.
        objective_deadline: Monotonic time after which the answer misses the
            route's latency objective.
    """

    request: http1.HttpRequest
    template: http1.RequestTemplate
    metadata: wires.RequestMetadata
    route: routes.Route
    deadline: float
    objective_deadline: float
