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
STATE_PATH = b"/state"
SNAPSHOT_PATH = b"/snapshot"


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetState:
    """What one VM tells another.

    Attributes:
        version: Version of the routes in force; 0 for none.
        current: Whether the VM follows the store at present.
        leaving: Whether the VM is shutting down.
        limits: What callers may send.
        vm_generation: Generation of the list of VMs.
        leaf_generation: Generation of the list of leafs.
        vms: The VMs that gather.
    """

    version: int
    current: bool
    leaving: bool
    limits: http1.CallerLimits
    vm_generation: int
    leaf_generation: int
    vms: list[directory.VmRecord]

    def tag(self, *, leafs: bool) -> str:
        """Differs between any two states of one process.

        Args:
            leafs: Whether a change of leafs counts.
        """
        flags = f"{int(self.current)}{int(self.leaving)}"
        leaf_tag = str(self.leaf_generation) if leafs else "-"
        return f"{self.version}.{flags}.{self.vm_generation}.{leaf_tag}"

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
                current=bool(row["current"]),
                leaving=bool(row["leaving"]),
                limits=http1.CallerLimits(**row["limits"]),
                vm_generation=int(row["vm_generation"]),
                leaf_generation=int(row["leaf_generation"]),
                vms=[each.ok for each in vms if each.is_ok()],
            )
        )
    except (ValueError, KeyError, TypeError) as problem:
        return expression.Error(f"{type(problem).__name__}: {problem}")


class StatePages(http1.RequestHandler):
    """Answers a request for the state when it differs from what is known."""

    __slots__ = ("_clock", "_make_snapshot", "_make_state", "_waiting")

    def __init__(
        self,
        *,
        clock: base.Clock,
        make_state: Callable[[], FleetState],
        make_snapshot: Callable[[], bytes],
    ) -> None:
        """Serves the pages.

        Args:
            clock: The clock.
            make_state: Returns the state of this VM.
            make_snapshot: Returns the store's items as this VM has them.
        """
        self._clock = clock
        self._make_state = make_state
        self._make_snapshot = make_snapshot
        self._waiting: dict[http1.Exchange, tuple[str, base.Timer]] = {}

    def handle(self, exchange: http1.Exchange) -> None:
        """Answers at once if there is news, later otherwise."""
        path, _, query = exchange.request.target.partition(b"?")
        if path == SNAPSHOT_PATH:
            _answer(exchange, self._make_snapshot())
            return
        if path != STATE_PATH:
            exchange.respond(http1.HttpResponse(status=404))
            return
        asked = urllib.parse.parse_qs(query.decode("latin-1"))
        known = asked.get("known", [""])[0]
        state = self._make_state()
        if known != _same_kind_of_tag(state, known):
            _answer(exchange, state.encode())
            return
        timer = self._clock.call_later(HOLD_S, self._no_news, exchange)
        self._waiting[exchange] = (known, timer)
        exchange.on_gone = lambda: self._forget(exchange)

    def _forget(self, exchange: http1.Exchange) -> None:
        waiting = self._waiting.pop(exchange, None)
        if waiting is not None:
            waiting[1].cancel()

    def _no_news(self, exchange: http1.Exchange) -> None:
        self._forget(exchange)
        exchange.respond(http1.HttpResponse(status=204))

    def changed(self) -> None:
        """Tells everyone for whom it is news."""
        if not self._waiting:
            return
        state = self._make_state()
        for exchange, (known, _) in list(self._waiting.items()):
            if known != _same_kind_of_tag(state, known):
                self._forget(exchange)
                _answer(exchange, state.encode())

    def rejected(self, status: int, reason: str) -> None:
        """Ignores malformed input; nothing of a caller depends on it."""


def _same_kind_of_tag(state: FleetState, known: str) -> str:
    return state.tag(leafs=not known.endswith("-"))


def _answer(exchange: http1.Exchange, data: bytes) -> None:
    exchange.respond(
        http1.HttpResponse(
            status=200,
            headers=[(b"content-type", b"application/json")],
            body=data,
        )
    )
