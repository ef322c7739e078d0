"""Tells other VMs which routes are in force here, as soon as they change."""

import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass

import expression
import orjson

from trefoilpier import base, http1
from trefoilpier.fleet import directory

# A page without news is answered after this time; its absence shows that the
# VM is frozen, cut off or gone.
HOLD_S = 1.0
PATH = b"/state"


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetState:
    """What one VM tells another.

    Attributes:
        version: Version of the routes in force; 0 for none.
        leaving: Whether the VM is shutting down.
        limits: What callers may send.
        generation: Generation of the list of VMs.
        vms: The VMs that gather.
    """

    version: int
    leaving: bool
    limits: http1.CallerLimits
    generation: int
    vms: list[directory.VmRecord]

    def encode(self) -> bytes:
        """Returns the state as JSON."""
        return orjson.dumps(self)


def decode_state(data: bytes) -> expression.Result[FleetState, str]:
    """Reads a state; the error says what is wrong."""
    try:
        row = orjson.loads(data)
        vms = [directory.decode_vm(each) for each in row["vms"]]
        return expression.Ok(
            FleetState(
                version=int(row["version"]),
                leaving=bool(row["leaving"]),
                limits=http1.CallerLimits(**row["limits"]),
                generation=int(row["generation"]),
                vms=[each.ok for each in vms if each.is_ok()],
            )
        )
    except (ValueError, KeyError, TypeError) as problem:
        return expression.Error(f"{type(problem).__name__}: {problem}")


class StatePages(http1.RequestHandler):
    """Answers a request for the state when it differs from what is known."""

    __slots__ = ("_clock", "_make_state", "_waiting")

    def __init__(
        self, *, clock: base.Clock, make_state: Callable[[], FleetState]
    ) -> None:
        self._clock = clock
        self._make_state = make_state
        self._waiting: dict[http1.Exchange, base.Timer] = {}

    def handle(self, exchange: http1.Exchange) -> None:
        """Answers at once if there is news, later otherwise."""
        path, _, query = exchange.request.target.partition(b"?")
        if path != PATH:
            exchange.respond(http1.HttpResponse(status=404))
            return
        known = urllib.parse.parse_qs(query.decode("latin-1"))
        state = self._make_state()
        now = [f"{state.version}.{state.generation}.{int(state.leaving)}"]
        if known.get("known") != now:
            self._answer(exchange, state)
            return
        self._waiting[exchange] = self._clock.call_later(
            HOLD_S, self._answer_later, exchange
        )
        exchange.on_gone = lambda: self._forget(exchange)

    def _forget(self, exchange: http1.Exchange) -> None:
        timer = self._waiting.pop(exchange, None)
        if timer is not None:
            timer.cancel()

    def _answer_later(self, exchange: http1.Exchange) -> None:
        self._forget(exchange)
        self._answer(exchange, self._make_state())

    def _answer(self, exchange: http1.Exchange, state: FleetState) -> None:
        exchange.respond(
            http1.HttpResponse(
                status=200,
                headers=[(b"content-type", b"application/json")],
                body=state.encode(),
            )
        )

    def changed(self) -> None:
        """Tells everyone who waits."""
        for exchange in list(self._waiting):
            self._answer_later(exchange)

    def rejected(self, status: int, reason: str) -> None:
        """Ignores malformed input; nothing of a caller depends on it."""
