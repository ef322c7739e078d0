"""Decodes what operators and leafs write to the platform's store."""

import math
from typing import Any

import expression
import orjson

from trefoilpier import http1, replicas, routes

ROUTES_KEY = "op/config"
LEAF_PREFIX = "servers/"
_PHASE_BY_STATE = {
    "ready": replicas.LeafPhase.READY,
    "draining": replicas.LeafPhase.LEAVING,
}


def _object(value: bytes | None) -> dict[str, Any]:
    if value is None:
        raise ValueError("value is no base64 text")
    row = orjson.loads(value)
    if not isinstance(row, dict):
        raise ValueError("not a JSON object")
    return row


def _text(row: dict[str, Any], name: str) -> str:
    value = row.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is no text")
    return value


def _number(row: dict[str, Any], name: str, default: float | None) -> float:
    value = row.get(name, default)
    good = isinstance(value, int | float) and not isinstance(value, bool)
    if not good or not math.isfinite(value):
        raise ValueError(f"{name} is no number")
    return value


def decode_leaf(
    key: str, value: bytes | None
) -> expression.Result[replicas.LeafEntry, str]:
    """Reads a leaf's entry; the error says why it names no leaf.

    >>> decode_leaf("servers/a", b"[]").error
    'not a JSON object'
    """
    try:
        row = _object(value)
        host, _, port = _text(row, "address").rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError("address is malformed")
        phase = _PHASE_BY_STATE.get(_text(row, "state"))
        if phase is None:
            raise ValueError("state is unknown")
        slots = _number(row, "max-concurrency", None)
        if slots < 1:
            raise ValueError("max-concurrency is below 1")
        born = row.get("born", 0)
        if not isinstance(born, int) or isinstance(born, bool):
            raise ValueError("born is no whole number")
        entry = replicas.LeafEntry(
            id=key.removeprefix(LEAF_PREFIX),
            incarnation=born,
            service=_text(row, "service"),
            host=host,
            port=int(port),
            zone=_text(row, "zone"),
            slots=int(slots),
            phase=phase,
            warm_up_s=max(0.0, _number(row, "warmup-left-ms", 0) / 1000),
        )
    except ValueError as problem:
        return expression.Error(str(problem))
    return expression.Ok(entry)


def decode_routes(
    value: bytes | None,
) -> expression.Result[routes.RouteTable, str]:
    """Reads the operators' configuration; the error says what is wrong."""
    try:
        row = _object(value)
        limits = row.get("limits") or {}
        table = routes.RouteTable(
            version=int(_number(row, "version", None)),
            routes=tuple(_route(route) for route in row["routes"]),
            service_by_name={
                service["name"]: _service(service)
                for service in row["services"]
            },
            limits=http1.CallerLimits(
                header_bytes=int(_number(limits, "header-bytes", 16_384)),
                body_bytes=int(_number(limits, "body-bytes", 262_144)),
                header_timeout_s=_number(limits, "header-timeout-ms", 3000)
                / 1000,
                idle_timeout_s=_number(limits, "idle-timeout-ms", 15_000)
                / 1000,
            ),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        return expression.Error(f"{type(problem).__name__}: {problem}")
    return expression.Ok(table)


def _service(row: dict[str, Any]) -> routes.ServiceSpec:
    return routes.ServiceSpec(
        name=_text(row, "name"),
        health_path=_text(row, "health-path"),
        connections_max=int(_number(row, "max-conns", None)),
    )


def _route(row: dict[str, Any]) -> routes.Route:
    gather = None
    targets: tuple[routes.WeightedService, ...] = ()
    if row.get("gather"):
        gather = routes.Gather(
            services=tuple(row["gather"]),
            records_max=int(_number(row, "top-k", None)),
            coverage_least=_number(row, "min-coverage", 0),
        )
    elif row.get("split"):
        targets = tuple(
            routes.WeightedService(
                name=_text(part, "service"),
                weight=_number(part, "weight", None),
            )
            for part in row["split"]
        )
    else:
        targets = (
            routes.WeightedService(name=_text(row, "service"), weight=1),
        )
    timeout_ms = _number(row, "timeout-ms", 30_000)
    return routes.Route(
        name=_text(row, "name"),
        host=_text(row, "host").encode(),
        prefix=_text(row, "prefix").encode(),
        # The platform calls it the route's type.
        repeatable=row.get("type") == "safe",
        timeout_s=timeout_ms / 1000,
        objective_s=_number(row, "target-latency-ms", timeout_ms) / 1000,
        attempts_max=max(1, int(_number(row, "max-attempts", 1))),
        rank=int(_number(row, "priority", 0)),
        targets=targets,
        gather=gather,
    )
