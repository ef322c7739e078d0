"""Discovery of gatherers from the VMs that the settings name as seeds.

A VM that starts while the store refuses it or is silent knows no other VM. The
seeds may have started long before it, and have found the gatherers since.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import expression
import orjson
from twisted.internet import defer

from trefoilpier import base, http1
from trefoilpier.fleet import directory

GATHERERS_PATH = b"/gatherers"
_TIMEOUT_S = 0.3  # Other seeds are asked without waiting for this one.
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404


def decode_records(
    data: bytes,
) -> expression.Result[list[directory.VmRecord], str]:
    """Decode records of gatherers; malformed ones are left out.

    >>> decode_records(b'[{"id": 1}]').ok
    []
    >>> decode_records(b"{}").error
    'not a JSON list'
    """
    try:
        rows = orjson.loads(data)
    except ValueError as error:
        return expression.Error(f"{type(error).__name__}: {error}")
    if not isinstance(rows, list):
        return expression.Error("not a JSON list")
    decoded = [directory.decode_vm_record(row) for row in rows]
    return expression.Ok([each.ok for each in decoded if each.is_ok()])


class SeedHandler(http1.RequestHandler):
    """Tells other VMs which gatherers this one knows."""

    __slots__ = ("_get_records",)

    def __init__(
        self, *, get_records: Callable[[], Iterable[directory.VmRecord]]
    ) -> None:
        """Create the handler.

        Args:
            get_records: Returns the known gatherers.
        """
        self._get_records = get_records

    def handle(self, exchange: http1.Exchange) -> None:
        """Respond with the records as a JSON list."""
        if exchange.request.target != GATHERERS_PATH:
            exchange.respond(http1.HttpResponse(status=_STATUS_NOT_FOUND))
            return
        body = orjson.dumps(list(self._get_records()))
        exchange.respond(http1.HttpResponse(status=_STATUS_OK, body=body))

    def rejected(self, status: int, reason: str) -> None:
        """Ignore a malformed request; no caller's request depends on it."""


class SeedClient:
    """Asks the seeds which gatherers they know."""

    __slots__ = ("_addresses", "_clock", "_reactor")

    def __init__(
        self,
        *,
        clock: base.Clock,
        reactor: Any,
        addresses: Sequence[tuple[str, int]] = (),
    ) -> None:
        """Create the client.

        Args:
            clock: Source of time and timers.
            reactor: Reactor that opens connections.
            addresses: Host and port of each seed.
        """
        self._clock = clock
        self._reactor = reactor
        self._addresses = addresses

    def ask(
        self, on_records: Callable[[list[directory.VmRecord]], None]
    ) -> None:
        """Ask all seeds; each answer that names gatherers is passed on."""
        for host, port in self._addresses:
            defer.ensureDeferred(self._ask_one(host, port, on_records))

    async def _ask_one(
        self,
        host: str,
        port: int,
        on_records: Callable[[list[directory.VmRecord]], None],
    ) -> None:
        client = http1.HttpClient(
            reactor=self._reactor, clock=self._clock, host=host, port=port
        )
        outcome = await client.send_request(
            b"GET", GATHERERS_PATH, timeout_s=_TIMEOUT_S
        )
        if isinstance(outcome, http1.RequestFailed):
            return  # Seeds may be stale or down.
        if outcome.response.status != _STATUS_OK:
            return
        decoded = decode_records(outcome.response.body)
        if decoded.is_ok() and decoded.ok:
            on_records(decoded.ok)
