"""Texts of the published protocol, as operators, leaves and callers write them.

Tests and the soak test use these functions, so that they do not depend on the
names of the protocol.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

import orjson

from trefoilpier import http1, platform

BOOT_VARIABLE = platform.BOOT_VARIABLE
ROUTES_KEY = platform.ROUTES_KEY
LEAF_PREFIX = platform.LEAF_PREFIX
EVACUATION_PREFIX = platform.EVACUATION_PREFIX
# Entries that another writer may leave among those of leaves and VMs.
ODD_VALUES = (
    "[" * 5000,
    '{"service":"shard0","address":"10.2.0.0:99999","zone":"z0"}',
    '{"service":"shard0","address":"10.2.0.0:8000","zone":"z0",'
    '"state":"ready","max-concurrency":1e400}',
    '{"id":"odd","zone":"z0","host":"10.1.0.1","relay_port":1e308,'
    '"state_port":91,"started_ms":1}',
)


@dataclass(slots=True, kw_only=True, frozen=True)
class VmPorts:
    """IP address and ports on which one VM listens.

    Attributes:
        host: IP address, different for each VM.
        caller_port: Port for callers.
        readiness_port: Port of the readiness check.
        first_internal_port: First port of the range for internal use.
    """

    host: str
    caller_port: int
    readiness_port: int
    first_internal_port: int


def settings_text(
    *,
    name: str,
    zone: str,
    ports: VmPorts,
    store: str,
    cores: float = 1.5,
    revoke_ms: int | None = None,
    cold_bounds: tuple[float, float] | None = None,
    quotas: bool = False,
) -> str:
    """Return the contents of the settings file of one VM.

    Args:
        name: Name of the VM.
        zone: Its availability zone.
        ports: Where it listens.
        store: Address of the store.
        cores: Its size.
        revoke_ms: Time after which accounts that are not confirmed must not be
            used; None if they may be.
        cold_bounds: Factor and slack of the bound on requests to cold leaves;
            None to state none.
        quotas: Whether the bounds of quotas are stated.
    """
    row = {
        "node-name": name,
        "zone": zone,
        "listen-addrs.frontend": f"{ports.host}:{ports.caller_port}",
        "listen-addrs.ready": f"{ports.host}:{ports.readiness_port}",
        "port-range": (
            f"{ports.first_internal_port},{ports.first_internal_port + 15}"
        ),
        "limits.cpu-share": cores,
        "limits.cores": 1,
        "limits.link-mbps": 1000,
        "bounds.contact-ms": 4000,
        "bounds.drain-ms": 3000,
        "bounds.grace-s": 6,
        "bounds.retry-ratio": 0.2,
        "bounds.budget-window-s": 10,
        "bounds.retry-extra": 54,
        "platform.address": store,
        "platform.ttl-min-ms": 1000,
    }
    if revoke_ms is not None:
        row["bounds.strict-revoke"] = "true"
        row["bounds.revoke-ms"] = revoke_ms
    if cold_bounds is not None:
        row["bounds.cold-excess"], row["bounds.cold-slack"] = cold_bounds
    if quotas:
        row |= {
            "bounds.quota-window-s": 5,
            "bounds.quota-excess": 0.1,
            "bounds.quota-slack": 20,
        }
    return "".join(f"{key}={value}\n" for key, value in row.items())


def leaf_value(
    *,
    service: str,
    address: str,
    zone: str,
    slots: int,
    leaving: bool,
    warm_up_left_s: float = 0.0,
) -> str:
    """Return the value of a leaf's entry in the store."""
    row = {
        "service": service,
        "address": address,
        "zone": zone,
        "max-concurrency": slots,
        "state": "draining" if leaving else "ready",
        "warmup-left-ms": round(1000 * warm_up_left_s),
        "born": 1,
    }
    return orjson.dumps(row).decode()


def routes_value(
    *,
    version: int,
    shards: list[str],
    single: str,
    accounts: list[dict[str, Any]] | None = None,
    anonymous: Collection[str] = (),
    cold_rate: float = 0.0,
    cold_s: float = 0.0,
) -> str:
    """Return a configuration with a gather, a read and a write route.

    Args:
        version: Its version.
        shards: Services of the gather route.
        single: Service of the other routes.
        accounts: Client accounts; None for a configuration without.
        anonymous: Names of the routes that need no key.
        cold_rate: Requests a second that a cold leaf tolerates; 0 to state
            nothing about cold leaves.
        cold_s: Seconds for which a leaf is cold after its start.
    """
    cold = {"cold-per-s": cold_rate, "warmup-s": cold_s} if cold_rate else {}
    common = {"host": "soak.example", "max-attempts": 2, "priority": 1}
    rows = [
        {
            **common,
            "name": "gather",
            "prefix": "/g/",
            "type": "safe",
            "timeout-ms": 1500,
            "target-latency-ms": 300,
            "gather": shards,
            "top-k": 5,
            "min-coverage": 0.7,
        },
        {
            **common,
            "name": "read",
            "prefix": "/r/",
            "type": "safe",
            "timeout-ms": 1500,
            "target-latency-ms": 300,
            "service": single,
        },
        {
            **common,
            "name": "write",
            "prefix": "/w/",
            "type": "unsafe",
            "timeout-ms": 1500,
            "target-latency-ms": 300,
            "service": single,
        },
    ]
    for route in rows:
        if route["name"] in anonymous:
            route["anonymous"] = True
    services = [
        {"name": name, "health-path": "/health", "max-conns": 60, **cold}
        for name in [*shards, single]
    ]
    row = {
        "version": version,
        "routes": rows,
        "services": services,
        "limits": {},
    }
    if accounts is not None:
        row["tenants"] = accounts
    return orjson.dumps(row).decode()


def credentials(key: str) -> http1.Headers:
    """Return the header in which a caller sends the key of an account."""
    return [(b"authorization", b"Bearer " + key.encode())]


def account_header(name: str) -> http1.Headers:
    """Return the header in which a leaf is told the name of an account."""
    return [(b"x-tenant", name.encode())]


def request_headers(request_id: str, wait_ms: int) -> http1.Headers:
    """Return the headers of a caller's request."""
    return [
        (b"x-request-id", request_id.encode()),
        (b"x-deadline-ms", b"%d" % wait_ms),
    ]


def seal_of(headers: http1.Headers) -> bytes | None:
    """Return the signature of a leaf's response."""
    return http1.find_header(headers, b"x-server-seal")


def gathered_parts(headers: http1.Headers) -> tuple[list[bytes], int]:
    """Return the signatures and the missing part count of a response."""
    seals = http1.find_header(headers, b"x-part-stamps") or b""
    missing = http1.find_header(headers, b"x-missing-parts") or b"0"
    return [seal.strip() for seal in seals.split(b",") if seal], int(missing)
