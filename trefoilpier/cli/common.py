"""What the commands share: options, exit statuses and the event loop."""

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
EXIT_LOST = 4
EXIT_UNKNOWN = 5
EXIT_STORE_DOWN = 6
EXIT_REFUSED = 7

PLATFORM_OPTION = option(
    "platform",
    None,
    "IP:PORT of the platform's service.",
    flag=False,
    default="127.0.0.1:7000",
)
JSON_OPTION = option("json", None, "Print JSON for scripts.")


class UsageError(Exception):
    """An argument that cannot be used; the text says which and why."""


class BaseCommand(Command):
    """A command that runs a coroutine on the reactor."""

    def handle(self) -> int:
        """Runs the command and returns its exit status."""
        statuses: list[int] = []
        problems: list[str] = []

        async def work() -> None:
            try:
                statuses.append(await self.work())
            except UsageError as bad:
                problems.append(str(bad))

        def main(reactor: Any) -> "defer.Deferred[None]":
            return defer.ensureDeferred(work())

        try:
            task.react(main)
        except SystemExit as ended:
            if ended.code:
                return int(ended.code)
        if problems:
            self.line_error(f"<error>{problems[0]}</error>")
            return EXIT_USAGE
        return statuses[0]

    async def work(self) -> int:
        """Does the command's work; returns the exit status."""
        raise NotImplementedError

    def store(self) -> metadata.Store:
        """Returns the platform's store named by ``--platform``."""
        from twisted.internet import reactor

        host, port = parse_address(self.option("platform"))
        return metadata.KeyedStore(
            shared_store=platform.PlatformStore(
                reactor=reactor, clock=self.clock(), host=host, port=port
            )
        )

    def clock(self) -> base.Clock:
        """Returns the clock."""
        from twisted.internet import reactor

        return base.ReactorClock(reactor=reactor)

    def print_json(self, row: Any) -> None:
        """Prints one JSON document."""
        data = orjson.dumps(row, option=orjson.OPT_INDENT_2)
        self.line(data.decode())

    def print_table(
        self, headers: Iterable[str], rows: Iterable[Iterable[str]]
    ) -> None:
        """Prints a table for a person."""
        table = self.table(list(headers), [list(row) for row in rows])
        table.set_style("compact")
        table.render()

    def store_down(self, failure: base.Failure) -> int:
        """Says that the store could not be read."""
        self.line_error(
            f"<error>{failure.code} the platform's store cannot be read: "
            f"{failure.detail}</error>"
        )
        return EXIT_STORE_DOWN


def parse_address(text: str) -> tuple[str, int]:
    """Reads ``IP:PORT``; raises `UsageError` if it is none.

    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as bad:
        raise UsageError(f"{text!r} is no IP:PORT") from bad
    return host.strip("[]"), number
