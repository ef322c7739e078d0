"""One version of the operators' routes, and how a request finds its own."""

from dataclasses import dataclass, field

from trefoilpier import http1


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    name: str
    weight: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Gather:
    """How parts are put together.

    Attributes:
        services: One service for each shard.
        records_max: Records of the merged answer.
        coverage_least: Share of the shards without which there is no answer.
    """

    services: tuple[str, ...]
    records_max: int
    coverage_least: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        repeatable: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer has its full value.
        attempts_max: Leafs to which one request may be sent, for each shard.
        rank: 0 is the most urgent.
        targets: Services by weight; empty if the route gathers.
        gather: The shards, if the route gathers.
    """

    name: str
    host: bytes
    prefix: bytes
    repeatable: bool
    timeout_s: float
    objective_s: float
    attempts_max: int
    rank: int
    targets: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def service_names(self) -> tuple[str, ...]:
        """All services that the route names."""
        if self.gather is not None:
            return self.gather.services
        return tuple(target.name for target in self.targets)


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSpec:
    """What the operators say of a service.

    Attributes:
        health_path: Path of its leafs' health check.
        connections_max: Connections that one leaf takes from all callers.
    """

    name: str
    health_path: str
    connections_max: int


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """One version of the routes.

    >>> table = RouteTable(version=1)
    >>> table.match(b"a.example", b"/x/") is None
    True
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    limits: http1.CallerLimits = field(default_factory=http1.CallerLimits)
    _route_by_prefix_by_host: dict[bytes, dict[bytes, Route]] = field(
        init=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.prefix] = route

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Finds the route with the longest prefix that begins the path."""
        by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while True:
            # Every prefix ends with a slash.
            end = path.rfind(b"/", 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route

    @property
    def used_services(self) -> frozenset[str]:
        """The services that any route names."""
        return frozenset(
            name for route in self.routes for name in route.service_names
        )
