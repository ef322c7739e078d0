"""Long polling of the state of a gatherer."""

import abc
from collections.abc import Callable

from twisted.internet import defer

from trefoilpier import http1
from trefoilpier.fleet import directory, state_handler

# A gatherer without a change responds after LONG_POLL_S. If no response arrives
# by this timeout, the VM is frozen, unreachable or dead, and the requests sent
# to it are lost.
_POLL_TIMEOUT_S = state_handler.LONG_POLL_S + 0.6
_RETRY_PAUSE_S = 0.3  # Between two polls of an unavailable gatherer.
_STATUS_NO_CONTENT = 204


class PollObserver(abc.ABC):
    """Receives what polls of gatherers find.

    Attributes:
        reads_suspicions: Whether new suspicions of requests end a long poll.
        reads_reports: Whether polls ask for reports of slow leaves.
        tracks_leaves: Returns whether a change of a gatherer's leaves ends a
            long poll.
    """

    __slots__ = ()

    reads_suspicions: bool
    reads_reports: bool
    tracks_leaves: Callable[[], bool]

    @abc.abstractmethod
    def make_client(self, record: directory.VmRecord) -> http1.HttpClient:
        """Return an HTTP client for the state port of a gatherer."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Return a Deferred that fires after a number of seconds."""

    @abc.abstractmethod
    def handle_state(
        self, poller: "StatePoller", state: state_handler.GathererState
    ) -> None:
        """Process a state received from a gatherer."""

    @abc.abstractmethod
    def handle_confirmation(
        self,
        poller: "StatePoller",
        outcome: http1.ResponseReceived | http1.RequestFailed,
        sent_at: float,
    ) -> None:
        """Process what an answer says about the gatherer's accounts."""

    @abc.abstractmethod
    def handle_down(self, poller: "StatePoller", *, leaving: bool) -> None:
        """Process a poll failure or the shutdown of a gatherer."""


class StatePoller:
    """Long polling of the state of one gatherer.

    Attributes:
        active: Whether polling goes on.
        leaving: Whether it answers and is shutting down.
        lost_count: Services that the gatherer has lost contact with.
        record: Record of the gatherer.
        up: Whether it answers and is not shutting down.
        version: Version of its routes.
        vms: Gatherers that it has reported.
    """

    __slots__ = (
        "_client",
        "_known_suspicions",
        "_known_reports",
        "_known_tag",
        "_tracked",
        "_watch",
        "active",
        "leaving",
        "lost_count",
        "record",
        "up",
        "version",
        "vms",
    )

    def __init__(
        self, *, watch: PollObserver, record: directory.VmRecord
    ) -> None:
        """Create the poller; `run` begins to poll.

        Args:
            watch: Receives what the polls find.
            record: Record of the gatherer.
        """
        self._watch = watch
        self._client = watch.make_client(record)
        self._known_tag = ""
        self._known_suspicions = 0
        self._known_reports = 0
        self.record = record
        self._tracked = False
        self.active = True
        self.leaving = False
        self.up = False
        self.lost_count = 0
        self.version = 0
        self.vms: list[directory.VmRecord] = []

    async def run(self) -> None:
        """Poll until `active` is cleared."""
        while self.active:
            target = b"%b?known=%b&%b=1" % (
                state_handler.STATE_PATH,
                self._known_tag_for_poll().encode(),
                state_handler.OMIT_KNOWN_PARAMETER.encode(),
            )
            if self._watch.reads_reports:
                target += b"&%b=%d" % (
                    state_handler.REPORTS_PARAMETER.encode(),
                    self._known_reports,
                )
            sent_at = self._watch.now()
            if self._watch.reads_suspicions:
                target += b"&%b=%d" % (
                    state_handler.SUSPICIONS_PARAMETER.encode(),
                    self._known_suspicions,
                )
            outcome = await self._client.send_request(
                b"GET", target, timeout_s=_POLL_TIMEOUT_S
            )
            if not self.active:
                return
            if _is_unchanged(outcome) and self.up:
                self._watch.handle_confirmation(self, outcome, sent_at)
                continue
            state = _decode_outcome(outcome)
            if state is None or state.leaving:
                leaving = state is not None
                self._watch.handle_down(self, leaving=leaving)
                self._known_tag = ""
                self._known_suspicions = 0
                self._known_reports = 0
                await self._watch.sleep(_RETRY_PAUSE_S)
                continue
            self._known_tag = state.tag(include_leaves=True)
            if state.leaf_reports is not None:
                self._known_reports = state.leaf_reports["generation"]
            self.version = state.version
            self._known_suspicions = state.suspicion_generation
            self._watch.handle_state(self, state)
            self._watch.handle_confirmation(self, outcome, sent_at)

    def _known_tag_for_poll(self) -> str:
        """Return the known tag, without the leaves if they do not matter.

        Once they begin to matter, the state is asked for at once.
        """
        tracked, self._tracked = self._tracked, self._watch.tracks_leaves()
        if not self._tracked:
            return state_handler.tag_without_leaves(self._known_tag)
        return self._known_tag if tracked else ""


def _is_unchanged(
    outcome: http1.ResponseReceived | http1.RequestFailed,
) -> bool:
    return (
        isinstance(outcome, http1.ResponseReceived)
        and outcome.response.status == _STATUS_NO_CONTENT
    )


def _decode_outcome(
    outcome: http1.ResponseReceived | http1.RequestFailed,
) -> state_handler.GathererState | None:
    if isinstance(outcome, http1.RequestFailed):
        return None
    decoded = state_handler.decode_state(outcome.response.body)
    return decoded.ok if decoded.is_ok() else None
