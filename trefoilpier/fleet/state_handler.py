"""Long-polling endpoint for the state of a gatherer."""

import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass

import expression
import orjson

from trefoilpier import base, http1
from trefoilpier.fleet import directory

# A poll without a change is answered after this time. A missing response shows
# that the VM is frozen, unreachable or dead.
LONG_POLL_S = 1.0
STATE_PATH = b"/state"
SNAPSHOT_PATH = b"/snapshot"


@dataclass(slots=True, kw_only=True, frozen=True)
class GathererState:
    """State of a gatherer, as reported to other VMs.

    Attributes:
        version: Version of the routes in force; 0 for none.
        current: Whether the VM's copy of the store is up to date.
        leaving: Whether the VM is shutting down.
        era: Era of the store in which the VM's copy was read, if known.
        limits: Limits on callers' requests.
        vm_generation: Change counter of the list of VMs.
        leaf_generation: Change counter of the list of leaves.
        vms: Records of the gatherers.
    """

    version: int
    current: bool
    leaving: bool
    limits: http1.CallerLimits
    vm_generation: int
    leaf_generation: int
    vms: list[directory.VmRecord]
    era: int | None = None

    def tag(self, *, include_leaves: bool) -> str:
        """Return a tag that differs between different states of one process.

        Args:
            include_leaves: Whether a change of the leaves changes the tag.
        """
        flags = f"{int(self.current)}{int(self.leaving)}"
        leaf_tag = str(self.leaf_generation) if include_leaves else "-"
        era = "" if self.era is None else f"{self.era}."
        return f"{era}{self.version}.{flags}.{self.vm_generation}.{leaf_tag}"

    def encode(self) -> bytes:
        """Encode the state as JSON."""
        return orjson.dumps(self)


def decode_state(data: bytes) -> expression.Result[GathererState, str]:
    """Decode a state; the error describes what is invalid."""
    try:
        row = orjson.loads(data)
        vms = [directory.decode_vm_record(each) for each in row["vms"]]
        return expression.Ok(
            GathererState(
                version=int(row["version"]),
                current=bool(row["current"]),
                leaving=bool(row["leaving"]),
                limits=http1.CallerLimits(**row["limits"]),
                vm_generation=int(row["vm_generation"]),
                leaf_generation=int(row["leaf_generation"]),
                vms=[each.ok for each in vms if each.is_ok()],
                era=_decode_era(row.get("era")),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return expression.Error(f"{type(error).__name__}: {error}")


def _decode_era(value: object) -> int | None:
    """Return the era of a state; VMs of earlier releases state none."""
    return value if isinstance(value, int) else None


class StateHandler(http1.RequestHandler):
    """Handler of polls for the state and of requests for a snapshot."""

    __slots__ = ("_clock", "_make_snapshot", "_make_state", "_waiting")

    def __init__(
        self,
        *,
        clock: base.Clock,
        make_state: Callable[[], GathererState],
        make_snapshot: Callable[[], bytes],
    ) -> None:
        """Initialize the handler.

        Args:
            clock: Source of timers.
            make_state: Returns the state of this VM.
            make_snapshot: Returns this VM's copy of the store's items, encoded
                as JSON.
        """
        self._clock = clock
        self._make_state = make_state
        self._make_snapshot = make_snapshot
        self._waiting: dict[http1.Exchange, tuple[str, base.Timer]] = {}

    def handle(self, exchange: http1.Exchange) -> None:
        """Answer a poll at once if the state differs, otherwise later."""
        path, _, query = exchange.request.target.partition(b"?")
        if path == SNAPSHOT_PATH:
            _respond_json(exchange, self._make_snapshot())
            return
        if path != STATE_PATH:
            exchange.respond(http1.HttpResponse(status=404))
            return
        parameters = urllib.parse.parse_qs(query.decode("latin-1"))
        known_tag = parameters.get("known", [""])[0]
        state = self._make_state()
        if known_tag != _comparable_tag(state, known_tag):
            _respond_json(exchange, state.encode())
            return
        timer = self._clock.call_later(
            LONG_POLL_S, self._respond_unchanged, exchange
        )
        self._waiting[exchange] = (known_tag, timer)
        exchange.on_disconnect = lambda: self._stop_waiting(exchange)

    def _stop_waiting(self, exchange: http1.Exchange) -> None:
        waiting_poll = self._waiting.pop(exchange, None)
        if waiting_poll is not None:
            waiting_poll[1].cancel()

    def _respond_unchanged(self, exchange: http1.Exchange) -> None:
        self._stop_waiting(exchange)
        exchange.respond(http1.HttpResponse(status=204))

    def notify_waiting(self) -> None:
        """Answer the waiting polls whose known state is out of date."""
        if not self._waiting:
            return
        state = self._make_state()
        for exchange, (known_tag, _) in list(self._waiting.items()):
            if known_tag != _comparable_tag(state, known_tag):
                self._stop_waiting(exchange)
                _respond_json(exchange, state.encode())

    def rejected(self, status: int, reason: str) -> None:
        """Ignore a malformed request; no caller's request depends on it."""


def _comparable_tag(state: GathererState, known_tag: str) -> str:
    return state.tag(include_leaves=not known_tag.endswith("-"))


def _respond_json(exchange: http1.Exchange, data: bytes) -> None:
    exchange.respond(
        http1.HttpResponse(
            status=200,
            headers=[(b"content-type", b"application/json")],
            body=data,
        )
    )
