"""Decoding of the entries that operators and leaves write to the store."""

import math
from typing import Any

import expression
import orjson

from trefoilpier import base, http1, replicas, routes
from trefoilpier.platform import account_entries

ROUTES_KEY = "op/config"
LEAF_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
# Larger figures can only be a mistake of another writer.
_SLOTS_MAX = 1_000_000
_WARM_UP_MAX_MS = 86_400_000
_PHASE_BY_STATE = {
    "ready": replicas.LeafPhase.READY,
    "draining": replicas.LeafPhase.LEAVING,
}


def _parse_object(value: bytes | None) -> dict[str, Any]:
    if value is None:
        raise ValueError("value is not valid base64")
    fields = orjson.loads(value)
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    return fields


def _get_text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string")
    return value


def _get_number(
    fields: dict[str, Any], name: str, default: float | None
) -> float:
    value = fields.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value):
        raise ValueError(f"{name} is not a finite number")
    return value


def _is_token(text: str) -> bool:
    """Return whether a text is printable ASCII without spaces."""
    return text.isascii() and text.isprintable() and " " not in text


def _parse_address(text: str) -> tuple[str, int]:
    """Return host and port; nothing is looked up for a host name."""
    host, _, port_text = text.rpartition(":")
    if not port_text.isascii() or not port_text.isdigit():
        raise ValueError("address has no port")
    port = int(port_text)
    if not base.is_ipv4_address(host) or not base.is_port(port):
        raise ValueError("address is not an IPv4 address with a port")
    return host, port


def decode_leaf(
    key: str, value: bytes | None, *, revision: int = 0
) -> expression.Result[replicas.LeafEntry, str]:
    """Decode a leaf's entry; the error says why the entry is invalid.

    Args:
        key: Key of the entry.
        value: Its value.
        revision: Revision of the store in which it was written.

    >>> decode_leaf("servers/a", b"[]").error
    'not a JSON object'
    """
    try:
        fields = _parse_object(value)
        leaf_id = key.removeprefix(LEAF_PREFIX)
        # The id is sent to leaves in a header.
        if not _is_token(leaf_id):
            raise ValueError("id has a character that no header may have")
        host, port = _parse_address(_get_text(fields, "address"))
        phase = _PHASE_BY_STATE.get(_get_text(fields, "state"))
        if phase is None:
            raise ValueError("state is unknown")
        slots = _get_number(fields, "max-concurrency", None)
        if not 1 <= slots <= _SLOTS_MAX:
            raise ValueError(f"max-concurrency is not from 1 to {_SLOTS_MAX:,}")
        warm_up_ms = _get_number(fields, "warmup-left-ms", 0)
        if warm_up_ms > _WARM_UP_MAX_MS:
            raise ValueError(f"warmup-left-ms is above {_WARM_UP_MAX_MS:,}")
        started_at_ms = fields.get("born", 0)
        if not isinstance(started_at_ms, int) or isinstance(
            started_at_ms, bool
        ):
            raise ValueError("born is not an integer")
        entry = replicas.LeafEntry(
            id=leaf_id,
            incarnation=started_at_ms,
            service=_get_text(fields, "service"),
            host=host,
            port=port,
            zone=_get_text(fields, "zone"),
            slots=int(slots),
            phase=phase,
            warm_up_s=max(0.0, warm_up_ms / 1000),
            revision=revision,
        )
    except ValueError as error:
        return expression.Error(str(error))
    return expression.Ok(entry)


def decode_evacuation(key: str) -> expression.Result[str, str]:
    """Return the zone that a key evacuates; the value does not matter.

    >>> decode_evacuation("op/evacuate/z1").ok
    'z1'
    >>> decode_evacuation("op/evacuate/").error
    'zone name is empty'
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone:
        return expression.Error("zone name is empty")
    return expression.Ok(zone)


def decode_routes(
    value: bytes | None,
) -> expression.Result[routes.RouteTable, str]:
    """Decode the operators' configuration; the error says what is invalid."""
    try:
        fields = _parse_object(value)
        limits = fields.get("limits") or {}
        table = routes.RouteTable(
            version=int(_get_number(fields, "version", None)),
            routes=tuple(_parse_route(route) for route in fields["routes"]),
            service_by_name={
                service["name"]: _parse_service(service)
                for service in fields["services"]
            },
            limits=http1.CallerLimits(
                header_bytes=int(_get_number(limits, "header-bytes", 16_384)),
                body_bytes=int(_get_number(limits, "body-bytes", 262_144)),
                header_timeout_s=_get_number(limits, "header-timeout-ms", 3000)
                / 1000,
                idle_timeout_s=_get_number(limits, "idle-timeout-ms", 15_000)
                / 1000,
            ),
            account_table=(
                account_entries.parse_accounts(fields["tenants"])
                if "tenants" in fields
                else None
            ),
        )
    except orjson.JSONDecodeError as error:
        problem = account_entries.find_unreadable_account(value or b"")
        return expression.Error(problem or f"{type(error).__name__}: {error}")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return expression.Error(f"{type(error).__name__}: {error}")
    return expression.Ok(table)


def _parse_service(fields: dict[str, Any]) -> routes.ServiceSpec:
    return routes.ServiceSpec(
        name=_get_text(fields, "name"),
        health_path=_get_text(fields, "health-path"),
        connections_max=int(_get_number(fields, "max-conns", None)),
        cold_rate=max(0.0, _get_number(fields, "cold-per-s", 0)),
        cold_s=max(0.0, _get_number(fields, "warmup-s", 0)),
    )


def _parse_anonymous(fields: dict[str, Any]) -> bool:
    anonymous = fields.get("anonymous") or False
    if not isinstance(anonymous, bool):
        raise ValueError("anonymous is neither true nor false")
    return anonymous


def _parse_route(fields: dict[str, Any]) -> routes.Route:
    gather = None
    targets: tuple[routes.WeightedService, ...] = ()
    if fields.get("gather"):
        gather = routes.Gather(
            services=tuple(fields["gather"]),
            records_max=int(_get_number(fields, "top-k", None)),
            min_coverage=_get_number(fields, "min-coverage", 0),
        )
    elif fields.get("split"):
        targets = tuple(
            routes.WeightedService(
                name=_get_text(target, "service"),
                weight=_get_number(target, "weight", None),
            )
            for target in fields["split"]
        )
    else:
        targets = (
            routes.WeightedService(name=_get_text(fields, "service"), weight=1),
        )
    timeout_ms = _get_number(fields, "timeout-ms", 30_000)
    return routes.Route(
        name=_get_text(fields, "name"),
        host=_get_text(fields, "host").encode(),
        prefix=_get_text(fields, "prefix").encode(),
        # Only the route type "safe" permits a request to run more than once.
        repeatable=fields.get("type") == "safe",
        timeout_s=timeout_ms / 1000,
        objective_s=_get_number(fields, "target-latency-ms", timeout_ms) / 1000,
        attempts_max=max(1, int(_get_number(fields, "max-attempts", 1))),
        priority=int(_get_number(fields, "priority", 0)),
        anonymous=_parse_anonymous(fields),
        targets=targets,
        gather=gather,
    )
