"""Long-polling endpoint for the state of a gatherer."""

import math
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from typing import Any

import expression
import orjson

from trefoilpier import base, http1, replicas
from trefoilpier.fleet import directory, leaf_reports, snapshot

# A poll without a change is answered after this time. A missing response shows
# that the VM is frozen, unreachable or dead.
LONG_POLL_S = 1.0
STATE_PATH = b"/state"
# Parameter of polls that can read an answer without the known gatherers.
OMIT_KNOWN_PARAMETER = "omit"
# Parameter of polls that can read suspicions, with the generation of those that
# the poll knows. Others are neither sent any nor answered for them.
SUSPICIONS_PARAMETER = "suspicions"
# Parameter of polls that read reports of slow leaves: the generation of those
# that the poll knows.
REPORTS_PARAMETER = "reports"
# In answers to polls while revocation of keys is strict: milliseconds from the
# moment at which the VM's accounts were known to be current to the arrival of
# the poll; negative if that moment came while the poll was held.
_CONFIRMATION_HEADER = b"trefoilpier-confirmed-ms"
_JSON_HEADER = (b"content-type", b"application/json")
# Fields of a state that are left out if there is nothing to say.
_OPTIONAL_FIELDS = ("evacuations", "leaf_reports", "rate_limits")


@dataclass(slots=True, kw_only=True, frozen=True)
class GathererState:
    """State of a gatherer, as reported to other VMs.

    Attributes:
        version: Version of the routes in force; 0 for none.
        current: Whether the VM's copy of the store is up to date.
        leaving: Whether the VM is shutting down.
        era: Era of the store in which the VM's copy was read, if known.
        lost_count: Services of whose leaves the VM reaches none.
        limits: Limits on callers' requests.
        vm_generation: Change counter of the list of VMs.
        leaf_generation: Change counter of the list of leaves and of evidence.
        vms: Records of the gatherers; None if the poll knows them.
        unsent_evidence: Evidence against requests that the VM could not write
            to the store, as `quarantine.to_document` returns it.
        unsent_generation: Change counter of that evidence, of the evacuated
            zones and of the limits that leaves have named.
        evacuations: The evacuated zones, each with the store's revision in
            which that began, and the revision up to which the VM knows the
            store; None if it has never known of any.
        suspicions: Suspicions of gathered requests, as JSON objects.
        suspicion_generation: Change counter of them; 0 if there were none.
        leaf_reports: Observations of slow leaves, as
            `leaf_reports.LeafReports.encode` returns them; None if no leaf is
            slow or the poll does not ask for them.
        rate_limits: Limits on the rate of requests that leaves have named, as
            `replicas.LimitNews.encode` returns them; None if there are none.
    """

    version: int
    current: bool
    leaving: bool
    limits: http1.CallerLimits
    vm_generation: int
    leaf_generation: int
    vms: list[directory.VmRecord] | None
    era: int | None = None
    lost_count: int = 0
    unsent_evidence: dict[str, Any] = field(default_factory=dict)
    unsent_generation: int = 0
    evacuations: dict[str, Any] | None = None
    suspicions: list[dict[str, Any]] = field(default_factory=list)
    suspicion_generation: int = 0
    leaf_reports: dict[str, Any] | None = None
    rate_limits: dict[str, Any] | None = None

    @property
    def store_revision(self) -> int:
        """Revision up to which the VM knows the store; 0 if it does not say."""
        return self.evacuations["revision"] if self.evacuations else 0

    def tag(self, *, include_leaves: bool) -> str:
        """Return a tag that differs between different states of one process.

        Args:
            include_leaves: Whether a change of the leaves changes the tag.
        """
        flags = (
            f"{int(self.current)}{int(self.leaving)}{self.lost_count}"
            f"-{self.unsent_generation}"
        )
        leaf_tag = str(self.leaf_generation) if include_leaves else "-"
        era = "" if self.era is None else f"{self.era}."
        return f"{era}{self.version}.{flags}.{self.vm_generation}.{leaf_tag}"

    def knows_vms(self, known_tag: str) -> bool:
        """Return whether a poll with this tag knows the gatherers."""
        return known_tag.split(".")[-2:-1] == [str(self.vm_generation)]

    def encode(self) -> bytes:
        """Encode the state as JSON, without optional fields that are empty."""
        omitted = {
            name for name in _OPTIONAL_FIELDS if getattr(self, name) is None
        }
        if not self.suspicion_generation:
            omitted |= {"suspicions", "suspicion_generation"}
        return orjson.dumps(
            {
                each.name: getattr(self, each.name)
                for each in fields(self)
                if each.name not in omitted
            }
        )


def tag_without_leaves(tag: str) -> str:
    """Return a tag that a change of the leaves does not change.

    >>> tag_without_leaves("7.10.3.52"), tag_without_leaves("")
    ('7.10.3.-', '')
    """
    head, separator, _ = tag.rpartition(".")
    return f"{head}.-" if separator else ""


def decode_state(data: bytes) -> expression.Result[GathererState, str]:
    """Decode a state; the error describes what is invalid."""
    try:
        row = orjson.loads(data)
        vms = None
        if row["vms"] is not None:
            decoded = [directory.decode_vm_record(each) for each in row["vms"]]
            vms = [each.ok for each in decoded if each.is_ok()]
        return expression.Ok(
            GathererState(
                version=int(row["version"]),
                current=bool(row["current"]),
                leaving=bool(row["leaving"]),
                limits=http1.CallerLimits(**row["limits"]),
                vm_generation=int(row["vm_generation"]),
                leaf_generation=int(row["leaf_generation"]),
                vms=vms,
                era=_decode_era(row.get("era")),
                # VMs of earlier releases state none.
                lost_count=int(row.get("lost_count", 0)),
                unsent_evidence=dict(row.get("unsent_evidence", {})),
                unsent_generation=int(row.get("unsent_generation", 0)),
                evacuations=_decode_evacuations(row.get("evacuations")),
                suspicions=list(row.get("suspicions", ())),
                suspicion_generation=int(row.get("suspicion_generation", 0)),
                leaf_reports=leaf_reports.decode(row.get("leaf_reports")),
                rate_limits=replicas.decode_limits(row.get("rate_limits")),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return expression.Error(f"{type(error).__name__}: {error}")


def _read_number(values: list[str] | None) -> int | None:
    """Return the number in a parameter of a poll, if there is one."""
    if values is None or not values[0].isdecimal():
        return None
    return int(values[0])


def _decode_era(value: object) -> int | None:
    """Return the era of a state; VMs of earlier releases state none."""
    return value if isinstance(value, int) else None


def _decode_evacuations(row: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return the evacuations of a state; VMs of earlier releases state none."""
    if row is None:
        return None
    return {
        "revision": int(row["revision"]),
        "zones": {
            str(zone): int(revision)
            for zone, revision in dict(row["zones"]).items()
        },
    }


@dataclass(slots=True, kw_only=True, frozen=True)
class _Poll:
    """A poll of the state.

    Attributes:
        known_tag: Tag of the state that the poll knows; empty for none.
        omits_known: Whether the answer may omit gatherers that the poll knows.
        known_suspicions: Generation of the suspicions that the poll knows; None
            if it reads none.
        known_reports: Generation of the reports of slow leaves that the poll
            knows; None if it does not read them.
    """

    known_tag: str
    omits_known: bool
    known_suspicions: int | None = None
    known_reports: int | None = None

    def differs_from(self, state: GathererState) -> bool:
        """Return whether the poll knows another state."""
        if self.known_suspicions not in (None, state.suspicion_generation):
            return True
        if self._lacks_reports(state):
            return True
        include_leaves = not self.known_tag.endswith("-")
        return self.known_tag != state.tag(include_leaves=include_leaves)

    def _lacks_reports(self, state: GathererState) -> bool:
        """Return whether the state has reports that the poll does not know."""
        reports = state.leaf_reports
        if self.known_reports is None or reports is None:
            return False
        return reports["generation"] != self.known_reports

    def encode_answer(self, state: GathererState) -> bytes:
        """Encode the state for this poll."""
        if state.leaf_reports is not None and not self._lacks_reports(state):
            state = replace(state, leaf_reports=None)
        if self.omits_known and state.knows_vms(self.known_tag):
            state = replace(state, vms=None)
        if self.known_suspicions is None and state.suspicion_generation:
            state = replace(state, suspicions=[], suspicion_generation=0)
        return state.encode()


class StateHandler(http1.RequestHandler):
    """Handler of polls for the state and of requests for a snapshot.

    Attributes:
        get_confirmed_at: Returns the monotonic time at which the VM's accounts
            were last known to be current; None to tell nothing.
        handler_by_path: Handlers of further paths on the same port.
    """

    __slots__ = (
        "_clock",
        "_make_snapshot",
        "_make_state",
        "_waiting",
        "get_confirmed_at",
        "handler_by_path",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        make_state: Callable[[], GathererState],
        make_snapshot: Callable[[], snapshot.Snapshot],
    ) -> None:
        """Initialize the handler.

        Args:
            clock: Source of timers.
            make_state: Returns the state of this VM.
            make_snapshot: Returns this VM's copy of the store's items.
        """
        self._clock = clock
        self._make_state = make_state
        self._make_snapshot = make_snapshot
        self._waiting: dict[http1.Exchange, tuple[_Poll, base.Timer]] = {}
        self.get_confirmed_at: Callable[[], float | None] = lambda: None
        self.handler_by_path: dict[bytes, http1.RequestHandler] = {}

    def handle(self, exchange: http1.Exchange) -> None:
        """Answer a poll at once if the state differs, otherwise later."""
        path, _, query = exchange.request.target.partition(b"?")
        if path == snapshot.SNAPSHOT_PATH:
            snapshot.respond_snapshot(exchange, self._make_snapshot())
            return
        handler = self.handler_by_path.get(path)
        if handler is not None:
            handler.handle(exchange)
            return
        if path != STATE_PATH:
            exchange.respond(http1.HttpResponse(status=404))
            return
        parameters = urllib.parse.parse_qs(query.decode("latin-1"))
        poll = _Poll(
            known_tag=parameters.get("known", [""])[0],
            omits_known=OMIT_KNOWN_PARAMETER in parameters,
            known_suspicions=_read_number(parameters.get(SUSPICIONS_PARAMETER)),
            known_reports=_read_number(parameters.get(REPORTS_PARAMETER)),
        )
        state = self._make_state()
        if poll.differs_from(state):
            self._respond(exchange, 200, poll.encode_answer(state))
            return
        timer = self._clock.call_later(
            LONG_POLL_S, self._respond_unchanged, exchange
        )
        self._waiting[exchange] = (poll, timer)
        exchange.on_disconnect = lambda: self._stop_waiting(exchange)

    def _stop_waiting(self, exchange: http1.Exchange) -> None:
        waiting_poll = self._waiting.pop(exchange, None)
        if waiting_poll is not None:
            waiting_poll[1].cancel()

    def _respond_unchanged(self, exchange: http1.Exchange) -> None:
        self._stop_waiting(exchange)
        self._respond(exchange, 204)

    def notify_waiting(self) -> None:
        """Answer the waiting polls whose known state is out of date."""
        if not self._waiting:
            return
        state = self._make_state()
        for exchange, (poll, _) in list(self._waiting.items()):
            if poll.differs_from(state):
                self._stop_waiting(exchange)
                self._respond(exchange, 200, poll.encode_answer(state))

    def _respond(
        self, exchange: http1.Exchange, status: int, data: bytes = b""
    ) -> None:
        """Answer a poll."""
        headers = [_JSON_HEADER] if data else []
        confirmed_at = self.get_confirmed_at()
        if confirmed_at is not None:
            age_ms = math.ceil((exchange.received_at - confirmed_at) * 1000)
            headers.append((_CONFIRMATION_HEADER, b"%d" % age_ms))
        exchange.respond(
            http1.HttpResponse(status=status, headers=headers, body=data)
        )

    def rejected(self, status: int, reason: str) -> None:
        """Ignore a malformed request; no caller's request depends on it."""


def read_confirmed_at(
    response: http1.HttpResponse, sent_at: float
) -> float | None:
    """Return when the accounts of the VM that answered were current.

    The result is too early by the time that the poll took to arrive, and never
    too late.

    Args:
        response: Answer to a poll.
        sent_at: Monotonic time at which the poll was sent.

    Returns:
        Monotonic time of the VM that polled; None if the answer does not tell.

    >>> headers = [(_CONFIRMATION_HEADER, b"-250")]
    >>> response = http1.HttpResponse(status=204, headers=headers)
    >>> read_confirmed_at(response, 7.0)
    7.25
    """
    value = http1.find_header(response.headers, _CONFIRMATION_HEADER) or b""
    if not value.removeprefix(b"-").isdigit():
        return None
    return sent_at - int(value) / 1000
