"""Commands on entry VMs: status, query and explain."""

import urllib.parse
from dataclasses import dataclass
from typing import Any

import expression
import orjson
from cleo.helpers import argument, option
from twisted.internet import defer

from trefoilpier import base, http1, metadata
from trefoilpier.cli import common

_ANSWER_TIMEOUT_S = 5.0
_OK = 200


@dataclass(slots=True, kw_only=True, frozen=True)
class VmStatus:
    """What one entry VM says of itself."""

    id: str
    reachable: bool
    config_version: int
    row: dict[str, Any]


def sleep(clock: base.Clock, seconds: float) -> "defer.Deferred[None]":
    """Returns a Deferred that fires after ``seconds``."""
    waiting: defer.Deferred[None] = defer.Deferred()
    clock.call_later(seconds, waiting.callback, None)
    return waiting


async def ask_vm(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any] | None:
    """Asks an entry VM; None when it cannot be reached."""
    from twisted.internet import reactor

    asker = http1.Asker(
        reactor=reactor,
        clock=base.ReactorClock(reactor=reactor),
        host=host,
        port=port,
    )
    outcome = await asker.ask(
        method.encode(),
        path.encode(),
        headers=[
            (name.lower().encode(), text.encode())
            for name, text in (headers or {}).items()
        ],
        body=body or b"",
        timeout_s=_ANSWER_TIMEOUT_S,
    )
    asker.close()
    if isinstance(outcome, http1.Lost):
        return None
    try:
        row = orjson.loads(outcome.response.body)
    except orjson.JSONDecodeError:
        return None
    return outcome.response.status, row


async def fetch_statuses(
    store: metadata.Store,
) -> expression.Result[list[VmStatus], base.Failure]:
    """Asks every entry VM on the membership list for its status."""
    listed = await store.members()
    if listed.is_error():
        return expression.Error(listed.error)
    records = [r for r in listed.ok if r.role == "entry" and r.caller_port]
    rows = []
    for record in sorted(records, key=lambda each: each.id):
        answer = await ask_vm(
            record.host, record.caller_port, "GET", "/v1/status"
        )
        row = answer[1] if answer is not None else {}
        rows.append(
            VmStatus(
                id=record.id,
                reachable=answer is not None,
                config_version=row.get("config_version", 0),
                row=row,
            )
        )
    return expression.Ok(rows)


class StatusCommand(common.BaseCommand):
    """Shows the entry VMs."""

    name = "status"
    description = "Show each entry VM: version, age, drain state, leaves."
    options = [common.PLATFORM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier status --platform 10.0.0.5:7000

A VM that lags behind the others in its version is marked with '*'.
Exit status: 0 printed, 6 the store is down."""

    async def work(self) -> int:
        """Asks and prints."""
        read = await fetch_statuses(self.store())
        if read.is_error():
            return self.store_down(read.error)
        if self.option("json"):
            self.print_json(
                [
                    {"id": vm.id, "reachable": vm.reachable, **vm.row}
                    for vm in read.ok
                ]
            )
            return common.EXIT_OK
        newest = max((vm.config_version for vm in read.ok), default=0)
        self.print_table(
            ("vm", "ready", "draining", "version", "age s", "up", "other"),
            (_status_row(vm, newest) for vm in read.ok),
        )
        return common.EXIT_OK


def _status_row(vm: VmStatus, newest: int) -> tuple[str, ...]:
    """Makes one line of the table."""
    if not vm.reachable:
        return (vm.id, "unreachable", "-", "-", "-", "-", "-")
    leaves = vm.row["leaves"]
    mark = "" if vm.config_version == newest else " *"
    return (
        vm.id,
        "yes" if vm.row["ready"] else "no",
        "yes" if vm.row["draining"] else "no",
        f"{vm.config_version}{mark}",
        str(vm.row["config_age_s"]),
        str(leaves["up"]),
        str(sum(leaves.values()) - leaves["up"]),
    )


class QueryCommand(common.BaseCommand):
    """Sends one request as a caller would."""

    name = "query"
    description = "Send one request to an entry VM."
    arguments = [
        argument("service", "Name of the service."),
        argument("body", "The JSON body."),
    ]
    options = [
        option("vm", None, "IP:PORT of the entry VM.", flag=False),
        option("deadline-ms", None, "Deadline.", flag=False),
        option("key", None, "Idempotency key.", flag=False),
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier query gown-search '{"text": "silk"}' --vm 10.0.0.7:8080
  trefoilpier query reserve '{"route": "gown-7"}' --vm 10.0.0.7:8080 --key k1

Exit status: 0 answered, 2 wrong usage, 7 refused or not reached."""

    async def work(self) -> int:
        """Sends the request and prints the answer."""
        host, port = common.parse_address(self.option("vm") or "")
        headers = {"content-type": "application/json"}
        if self.option("deadline-ms"):
            headers["trefoilpier-deadline-ms"] = self.option("deadline-ms")
        if self.option("key"):
            headers["idempotency-key"] = self.option("key")
        service = urllib.parse.quote(self.argument("service"), safe="")
        answer = await ask_vm(
            host,
            port,
            "POST",
            f"/v1/services/{service}/requests",
            self.argument("body").encode(),
            headers,
        )
        if answer is None:
            self.line_error(f"<error>{host}:{port} does not answer</error>")
            return common.EXIT_REFUSED
        status, row = answer
        if self.option("json"):
            self.print_json(row)
        else:
            self._print(row)
        return common.EXIT_OK if status == _OK else common.EXIT_REFUSED

    def _print(self, row: dict[str, Any]) -> None:
        self.line(f"{row['code']} ran={row['ran']} {row.get('detail', '')}")
        coverage = row.get("coverage")
        if coverage:
            self.line(f"coverage {coverage['answered']}/{coverage['total']}")
        if row.get("retry_after_ms"):
            self.line(f"ask again after {row['retry_after_ms']} ms")
        if row["result"] is not None:
            self.print_json(row["result"])


class ExplainCommand(common.BaseCommand):
    """Shows how a request would be routed now."""

    name = "explain"
    description = "Show how a request would be routed, without running it."
    arguments = [argument("service", "Name of the service.")]
    options = [
        option("vm", None, "IP:PORT of the entry VM.", flag=False),
        common.JSON_OPTION,
    ]
    help = """Examples:
  trefoilpier explain gown-search --vm 10.0.0.7:8080

Exit status: 0 printed, 7 there is no such service or VM."""

    async def work(self) -> int:
        """Asks the entry VM and prints its decision."""
        host, port = common.parse_address(self.option("vm") or "")
        service = urllib.parse.quote(self.argument("service"), safe="")
        answer = await ask_vm(host, port, "GET", f"/v1/explain/{service}")
        if answer is None or answer[0] != _OK:
            self.line_error("<error>no such service or entry VM</error>")
            return common.EXIT_REFUSED
        row = answer[1]
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
                (_leaf_row(each) for each in block["leaves"]),
            )
        return common.EXIT_OK


def _leaf_row(row: dict[str, Any]) -> tuple[str, ...]:
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
