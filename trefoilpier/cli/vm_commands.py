"""Commands that query entry VMs: status, query and explain."""

import urllib.parse
from dataclasses import dataclass
from typing import Any

import expression
import orjson
from cleo.helpers import argument, option
from twisted.internet import defer

from trefoilpier import base, http1, metadata
from trefoilpier.cli import common

_RESPONSE_TIMEOUT_S = 5.0
_HTTP_OK = 200


@dataclass(slots=True, kw_only=True, frozen=True)
class VmStatus:
    """The status of one entry VM.

    Attributes:
        id: ID of the VM.
        reachable: Whether it returned a status.
        config_version: Configuration version in force; 0 if unreachable.
        report: The JSON object returned by the VM; empty if unreachable.
    """

    id: str
    reachable: bool
    config_version: int
    report: dict[str, Any]


def sleep(clock: base.Clock, seconds: float) -> "defer.Deferred[None]":
    """Return a Deferred that fires after ``seconds``."""
    deferred: defer.Deferred[None] = defer.Deferred()
    clock.call_later(seconds, deferred.callback, None)
    return deferred


async def send_vm_request(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any] | None:
    """Send a request to an entry VM.

    Returns:
        The HTTP status and the parsed JSON body; None if the VM did not respond
        or the body is not JSON.
    """
    from twisted.internet import reactor

    client = http1.HttpClient(
        reactor=reactor,
        clock=base.ReactorClock(reactor=reactor),
        host=host,
        port=port,
    )
    outcome = await client.send_request(
        method.encode(),
        path.encode(),
        headers=[
            (name.lower().encode(), value.encode())
            for name, value in (headers or {}).items()
        ],
        body=body or b"",
        timeout_s=_RESPONSE_TIMEOUT_S,
    )
    client.close()
    if isinstance(outcome, http1.RequestFailed):
        return None
    try:
        document = orjson.loads(outcome.response.body)
    except orjson.JSONDecodeError:
        return None
    return outcome.response.status, document


async def fetch_statuses(
    store: metadata.Store,
) -> expression.Result[list[VmStatus], base.Failure]:
    """Fetch the status of every entry VM on the membership list."""
    membership = await store.members()
    if membership.is_error():
        return expression.Error(membership.error)
    records = [r for r in membership.ok if r.role == "entry" and r.caller_port]
    statuses = []
    for record in sorted(records, key=lambda each: each.id):
        vm_response = await send_vm_request(
            record.host, record.caller_port, "GET", "/v1/status"
        )
        report = vm_response[1] if vm_response is not None else {}
        statuses.append(
            VmStatus(
                id=record.id,
                reachable=vm_response is not None,
                config_version=report.get("config_version", 0),
                report=report,
            )
        )
    return expression.Ok(statuses)


class StatusCommand(common.BaseCommand):
    """The command that shows the status of all entry VMs."""

    name = "status"
    description = (
        "Show the version, age, drain state and leaves of each entry VM."
    )
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier status --platform 10.0.0.5:7000

A VM whose version is older than the newest one is marked with '*'.
Exit status: 0 printed, 6 the store is unavailable."""

    async def run_async(self) -> int:
        """Fetch the statuses and print them."""
        result = await fetch_statuses(self.open_store())
        if result.is_error():
            return self.report_store_unavailable(result.error)
        if self.option("json"):
            self.print_json(
                [
                    {"id": vm.id, "reachable": vm.reachable, **vm.report}
                    for vm in result.ok
                ]
            )
            return common.EXIT_OK
        newest = max((vm.config_version for vm in result.ok), default=0)
        self.print_table(
            ("vm", "ready", "draining", "version", "age s", "up", "other"),
            (_vm_table_row(vm, newest) for vm in result.ok),
        )
        return common.EXIT_OK


def _vm_table_row(vm: VmStatus, newest: int) -> tuple[str, ...]:
    """Return one row of the status table."""
    if not vm.reachable:
        return (vm.id, "unreachable", "-", "-", "-", "-", "-")
    leaves = vm.report["leaves"]
    lag_mark = "" if vm.config_version == newest else " *"
    return (
        vm.id,
        "yes" if vm.report["ready"] else "no",
        "yes" if vm.report["draining"] else "no",
        f"{vm.config_version}{lag_mark}",
        str(vm.report["config_age_s"]),
        str(leaves["up"]),
        str(sum(leaves.values()) - leaves["up"]),
    )


class QueryCommand(common.BaseCommand):
    """The command that sends one request to an entry VM."""

    name = "query"
    description = "Send one request to an entry VM."
    arguments = [
        argument("service", "Name of the service."),
        argument("body", "The request body, a JSON object."),
    ]
    options = [
        option("vm", None, "IP:PORT of the entry VM.", flag=False),
        option("deadline-ms", None, "Deadline.", flag=False),
        option("key", None, "Idempotency key.", flag=False),
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier query gown-search '{{"text": "silk"}}' --vm 10.0.0.7:8080
  trefoilpier query reserve '{{"route": "gown-7"}}' --vm 10.0.0.7:8080 --key k1

Exit status: 0 answered, 2 invalid arguments, 7 rejected or no response."""

    async def run_async(self) -> int:
        """Send the request and print the response."""
        host, port = common.parse_address(self.option("vm") or "")
        headers = {"content-type": "application/json"}
        if self.option("deadline-ms"):
            headers["trefoilpier-deadline-ms"] = self.option("deadline-ms")
        if self.option("key"):
            headers["idempotency-key"] = self.option("key")
        service = urllib.parse.quote(self.argument("service"), safe="")
        vm_response = await send_vm_request(
            host,
            port,
            "POST",
            f"/v1/services/{service}/requests",
            self.argument("body").encode(),
            headers,
        )
        if vm_response is None:
            self.line_error(f"<error>{host}:{port} does not respond</error>")
            return common.EXIT_REQUEST_FAILED
        status, row = vm_response
        if self.option("json"):
            self.print_json(row)
        else:
            self._print_response(row)
        return (
            common.EXIT_OK if status == _HTTP_OK else common.EXIT_REQUEST_FAILED
        )

    def _print_response(self, row: dict[str, Any]) -> None:
        self.line(f"{row['code']} ran={row['ran']} {row.get('detail', '')}")
        coverage = row.get("coverage")
        if coverage:
            self.line(f"coverage {coverage['answered']}/{coverage['total']}")
        if row.get("retry_after_ms"):
            self.line(f"retry after {row['retry_after_ms']} ms")
        if row["result"] is not None:
            self.print_json(row["result"])


class ExplainCommand(common.BaseCommand):
    """The command that shows how a request would be routed now."""

    name = "explain"
    description = "Show how a request would be routed, without running it."
    arguments = [argument("service", "Name of the service.")]
    options = [
        option("vm", None, "IP:PORT of the entry VM.", flag=False),
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier explain gown-search --vm 10.0.0.7:8080

Exit status: 0 printed, 7 unknown service or no response."""

    async def run_async(self) -> int:
        """Fetch the routing explanation from the entry VM and print it."""
        host, port = common.parse_address(self.option("vm") or "")
        service = urllib.parse.quote(self.argument("service"), safe="")
        vm_response = await send_vm_request(
            host, port, "GET", f"/v1/explain/{service}"
        )
        if vm_response is None or vm_response[0] != _HTTP_OK:
            self.line_error(
                "<error>unknown service, or no response from the VM</error>"
            )
            return common.EXIT_REQUEST_FAILED
        row = vm_response[1]
        if self.option("json"):
            self.print_json(row)
            return common.EXIT_OK
        self.line(
            f"{row['service']}: group {row['shard_group']} epoch "
            f"{row['epoch']}, {row['shards']} shards, policy {row['policy']} "
            f"({row['mode']}), version {row['config_version']}"
        )
        for block in row["blocks"]:
            gatherers = ", ".join(block["gatherers"])
            self.line(f"block {block['block']}: gatherers {gatherers}")
            self.print_table(
                ("leaf", "phase", "mean ms", "p98 ms", "in flight", "limit"),
                (_leaf_table_row(leaf) for leaf in block["leaves"]),
            )
        return common.EXIT_OK


def _leaf_table_row(row: dict[str, Any]) -> tuple[str, ...]:
    if "mean_ms" not in row:
        return (row["leaf"], row["phase"], "-", "-", "-", "-")
    return (
        row["leaf"],
        row["phase"],
        str(row["mean_ms"]),
        str(row["quantile_ms"]),
        str(row["in_flight"]),
        str(row["limit"]),
    )


COMMANDS = (StatusCommand, QueryCommand, ExplainCommand)
