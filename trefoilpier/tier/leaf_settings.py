"""What a version of the routes says about the leaves of services."""

from trefoilpier import http1, replicas, routes


def apply_routes(
    registry: replicas.LeafRegistry, table: routes.RouteTable
) -> None:
    """Apply limits, warm-up and health checks of services to their leaves.

    Args:
        registry: Registry of the leaves.
        table: The version of the routes that comes into force.
    """
    registry.set_connection_limits(
        {
            service.name: service.connections_max
            for service in table.service_by_name.values()
        }
    )
    registry.set_cold_services(
        {
            service.name: replicas.ColdService(
                rate=service.cold_rate, cold_s=service.cold_s
            )
            for service in table.service_by_name.values()
        }
    )
    registry.set_health_requests(
        {
            service.name: http1.encode_request(
                b"GET",
                service.health_path.encode(),
                headers=[(b"host", service.name.encode())],
                body=b"",
            )
            for service in table.service_by_name.values()
        }
    )
