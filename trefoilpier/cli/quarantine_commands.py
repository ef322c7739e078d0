"""Commands that list requests barred for crashing leaves, and lift bars."""

import urllib.parse
from typing import Any

from cleo.helpers import argument, option

from trefoilpier.cli import common, vm_commands

_HTTP_OK = 200
_VM_OPTION = option(
    "vm", None, "IP:PORT of the metrics page of any VM.", flag=False
)


class QuarantineListCommand(common.BaseCommand):
    """The command that lists requests under which leaves have ended."""

    name = "quarantine list"
    description = "List requests that are suspected of crashing leaves."
    options = [_VM_OPTION, common.JSON_OPTION]
    help = """Examples:
  trefoilpier quarantine list --vm 10.0.0.7:9464

A request that is 'barred' is refused, one that is 'released' is tried once at a
time, and a 'suspect' one is sent to one leaf at a time.
Exit status: 0 printed, 2 invalid arguments, 7 no response."""

    async def run_async(self) -> int:
        """Fetch the list from the VM and print it."""
        host, port = common.parse_address(self.option("vm") or "")
        response = await vm_commands.send_vm_request(
            host, port, "GET", "/quarantine"
        )
        if response is None or response[0] != _HTTP_OK:
            self.line_error(f"<error>no list from {host}:{port}</error>")
            return common.EXIT_REQUEST_FAILED
        rows = response[1]["requests"]
        if self.option("json"):
            self.print_json(rows)
            return common.EXIT_OK
        self.print_table(
            (
                "fingerprint",
                "request",
                "standing",
                "leaves",
                "last end",
                "for s",
            ),
            (_table_row(row) for row in rows),
        )
        return common.EXIT_OK


def _table_row(row: dict[str, Any]) -> tuple[str, ...]:
    return (
        row["fingerprint"],
        row["request"],
        row["standing"],
        str(len(row["leaves"])),
        f"{row['last_end_age_s']} s ago",
        str(row["ends_in_s"]),
    )


class QuarantineLiftCommand(common.BaseCommand):
    """The command that lifts the bar of one request on all VMs."""

    name = "quarantine lift"
    description = "Let a request run again, on all VMs."
    arguments = [argument("fingerprint", "As 'quarantine list' shows it.")]
    options = [_VM_OPTION]
    help = """Examples:
  trefoilpier quarantine lift 8dc4334952fca59ae668ed71c9ed4b7a --vm 10.0.0.7:80

Exit status: 0 lifted, 2 invalid arguments, 7 not known to the VM or no
response."""

    async def run_async(self) -> int:
        """Send the request to the VM, which tells the others."""
        host, port = common.parse_address(self.option("vm") or "")
        query = urllib.parse.urlencode(
            {"fingerprint": self.argument("fingerprint")}
        )
        response = await vm_commands.send_vm_request(
            host, port, "POST", f"/quarantine/lift?{query}"
        )
        if response is None:
            self.line_error(f"<error>{host}:{port} does not respond</error>")
            return common.EXIT_REQUEST_FAILED
        status, row = response
        if status != _HTTP_OK:
            self.line_error(f"<error>{row.get('error', status)}</error>")
            return common.EXIT_REQUEST_FAILED
        self.line(f"lifted {row['lifted']}")
        return common.EXIT_OK


COMMANDS = (QuarantineListCommand, QuarantineLiftCommand)
