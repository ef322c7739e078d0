"""Options, exit statuses and the base class shared by all commands."""

import ipaddress
from collections.abc import Iterable
from typing import Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import option
from twisted.internet import defer, task

from trefoilpier import base, metadata, platform

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_PUBLISH_LOST = 4
EXIT_UNCONFIRMED = 5
EXIT_STORE_UNAVAILABLE = 6
EXIT_REQUEST_FAILED = 7

PLATFORM_OPTION = option(
    "platform",
    None,
    "IP:PORT of the platform service.",
    flag=False,
    default="127.0.0.1:7000",
)
JSON_OPTION = option("json", None, "Print JSON for use in scripts.")


class UsageError(Exception):
    """An invalid argument; the message names it and the reason."""


class BaseCommand(Command):
    """A command that runs as a coroutine on the Twisted reactor."""

    def handle(self) -> int:
        """Run the command and return its exit status."""
        statuses: list[int] = []
        usage_errors: list[str] = []

        async def run_and_collect() -> None:
            try:
                statuses.append(await self.run_async())
            except UsageError as usage_error:
                usage_errors.append(str(usage_error))

        def main(reactor: Any) -> "defer.Deferred[None]":
            return defer.ensureDeferred(run_and_collect())

        try:
            task.react(main)
        except SystemExit as exit_error:
            if exit_error.code:
                return int(exit_error.code)
        if usage_errors:
            self.line_error(f"<error>{usage_errors[0]}</error>")
            return EXIT_USAGE
        return statuses[0]

    async def run_async(self) -> int:
        """Execute the command and return its exit status."""
        raise NotImplementedError

    def open_store(self) -> metadata.Store:
        """Return a client of the platform store at ``--platform``."""
        from twisted.internet import reactor

        host, port = parse_address(self.option("platform"))
        return metadata.KeyValueStoreAdapter(
            shared_store=platform.PlatformStore(
                reactor=reactor, clock=self.clock(), host=host, port=port
            )
        )

    def clock(self) -> base.Clock:
        """Return the reactor's clock."""
        from twisted.internet import reactor

        return base.ReactorClock(reactor=reactor)

    def print_json(self, document: Any) -> None:
        """Print a value as indented JSON."""
        data = orjson.dumps(document, option=orjson.OPT_INDENT_2)
        self.line(data.decode())

    def print_table(
        self, headers: Iterable[str], rows: Iterable[Iterable[str]]
    ) -> None:
        """Print a human-readable table."""
        table = self.table(list(headers), [list(row) for row in rows])
        table.set_style("compact")
        table.render()

    def report_store_unavailable(self, failure: base.Failure) -> int:
        """Print that the store is unavailable; return the exit status."""
        self.line_error(
            f"<error>{failure.code} cannot read the platform store: "
            f"{failure.detail}</error>"
        )
        return EXIT_STORE_UNAVAILABLE


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT``.

    Raises:
        UsageError: If the text is not a valid address.

    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port_number = int(port)
    except ValueError as error:
        raise UsageError(f"{text!r} is not a valid IP:PORT") from error
    return host.strip("[]"), port_number
