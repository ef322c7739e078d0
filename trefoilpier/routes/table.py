"""Routing table."""

from dataclasses import dataclass, field

from trefoilpier import accounts, http1


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightedService:
    """A service that receives a weighted share of a route's requests."""

    name: str
    weight: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Gather:
    """Scatter-gather parameters of a route.

    Attributes:
        services: One service for each shard.
        records_max: Maximum number of records in the merged answer.
        min_coverage: Minimum share of the shards for an answer.
    """

    services: tuple[str, ...]
    records_max: int
    min_coverage: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Route of the requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host, compared without case.
        prefix: Path prefix; ends with a slash.
        repeatable: Whether a request may run more than once.
        timeout_s: Maximum time in seconds until the response.
        objective_s: Latency objective in seconds.
        attempts_max: Leaves to which one request may be sent, for each shard.
        priority: Priority; 0 is the most urgent.
        anonymous: Whether requests need no key of a client account.
        targets: Services and their weights; empty for scatter-gather.
        gather: Scatter-gather parameters, if the route has shards.
    """

    name: str
    host: bytes
    prefix: bytes
    repeatable: bool
    timeout_s: float
    objective_s: float
    attempts_max: int
    priority: int
    anonymous: bool = False
    targets: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def service_names(self) -> tuple[str, ...]:
        """All services of the route."""
        if self.gather is not None:
            return self.gather.services
        return tuple(target.name for target in self.targets)


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSpec:
    """Configuration of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of its leaves' health check.
        connections_max: Connections that one leaf accepts in total.
        cold_rate: Requests a second that one cold leaf tolerates from all VMs
            together; 0 for no limit.
        cold_s: Seconds for which a leaf is cold after its start.
    """

    name: str
    health_path: str
    connections_max: int
    cold_rate: float = 0.0
    cold_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """One version of the routing table.

    Attributes:
        version: Version of the configuration.
        routes: All routes.
        service_by_name: All services.
        limits: Limits on callers' connections and requests.
        account_table: Client accounts; None if requests need no key.

    >>> table = RouteTable(version=1)
    >>> table.match(b"a.example", b"/x/") is None
    True
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    limits: http1.CallerLimits = field(default_factory=http1.CallerLimits)
    account_table: accounts.AccountTable | None = None
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
        """Return the route with the longest prefix of the path, if any.

        Args:
            host: Host without the port.
            path: Path without the query.
        """
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
        """Services of all routes."""
        return frozenset(
            name for route in self.routes for name in route.service_names
        )
