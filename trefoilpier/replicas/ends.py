"""Whether a leaf has ended, and which calls it was running then.

A lost connection alone does not tell: it may have been reset while the leaf
runs on. The leaf has ended if it refuses the next connection, or if its entry
is removed or replaced soon after. It runs on if other connections to it stay
open, if it accepts another one, or if it answers another request.
"""

import abc
from dataclasses import dataclass, replace

from trefoilpier.replicas import call as calls
from trefoilpier.replicas import entry as entries
from trefoilpier.replicas import loss as losses

# A leaf of which connections were lost is connected to at once.
_REFUSED_WITHIN_S = 0.5
# The entry of a leaf that has ended is removed after three missed heartbeats.
_REMOVED_WITHIN_S = 5.0
# A leaf may run a cancelled call to its end.
_CANCELLED_MAX_S = 1.0
_CANCELLED_KEPT = 8  # Cancelled calls remembered for each leaf.


@dataclass(slots=True, kw_only=True, frozen=True)
class RunningCall:
    """A call that a leaf was running, or may have been, when it ended.

    Attributes:
        identity: What the request has in common with each repeat of it.
        request_id: Id of the caller's attempt.
        sent_at: Monotonic time of sending.
        ended_at: Monotonic time at which its connection was lost, or of a
            cancelled call, at which it was cancelled.
    """

    identity: calls.RequestIdentity
    request_id: bytes
    sent_at: float
    ended_at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class _Lost:
    """A lost call of which the reason is not known yet.

    Attributes:
        loss: The loss, as the request sees it.
        lost_at: Monotonic time at which its connection was lost.
        running: The call as evidence; None if it may not have arrived.
    """

    loss: losses.CallLoss
    lost_at: float
    running: RunningCall | None


class LeafEndObserver(abc.ABC):
    """Receives which calls were running when leaves ended."""

    __slots__ = ()

    @abc.abstractmethod
    def handle_end(
        self,
        ended: entries.LeafEntry,
        running: list[RunningCall],
        evidence: str,
    ) -> None:
        """Handle the end of a leaf.

        Args:
            ended: Entry of the leaf.
            running: Calls that it was running.
            evidence: How its end was noticed.
        """

    @abc.abstractmethod
    def handle_alive(self, alive: entries.LeafEntry) -> None:
        """Handle an answer of a leaf that was reported as ended."""


class NullLeafEndObserver(LeafEndObserver):
    """Ignores the ends of leaves."""

    __slots__ = ()

    def handle_end(
        self,
        ended: entries.LeafEntry,
        running: list[RunningCall],
        evidence: str,
    ) -> None:
        """Do nothing."""

    def handle_alive(self, alive: entries.LeafEntry) -> None:
        """Do nothing."""


class LeafEndDetector:
    """Decides whether one leaf has ended while it was running calls."""

    __slots__ = (
        "_accepted_since_loss",
        "_cancelled",
        "_lost",
        "_observer",
        "_reported_at",
        "entry",
    )

    def __init__(
        self, *, entry: entries.LeafEntry, observer: LeafEndObserver
    ) -> None:
        """Create a detector for a leaf that runs.

        Args:
            entry: Entry of the leaf; may be replaced by a newer one.
            observer: Receives the calls that it was running when it ended.
        """
        self.entry = entry
        self._observer = observer
        self._lost: list[_Lost] = []
        self._accepted_since_loss = False
        self._cancelled: list[RunningCall] = []
        # Monotonic time of the last report; None while the leaf runs.
        self._reported_at: float | None = None

    @property
    def undecided(self) -> bool:
        """Whether calls were lost of which the reason is not known yet."""
        return bool(self._lost)

    def record_lost(
        self, call: calls.LeafCall, now: float, *, leaving: bool
    ) -> None:
        """Record a call whose connection was closed before its answer.

        A leaf that is known to leave may end at any time. If calls before this
        one have failed and none was answered since, it may not have arrived.

        Args:
            call: The call.
            now: Monotonic time.
            leaving: Whether the leaf is known to leave.
        """
        call.loss = losses.CallLoss(service=self.entry.service)
        if call.identity is None or leaving:
            call.loss.set_cause(losses.LossCause.CONNECTION)
            return
        running = None
        if call.sent_in_contact:
            running = _running(call, call.identity, now)
            self._accepted_since_loss = False
        # Older ones are no evidence. A leaf that resets all answers would add
        # to them without end.
        self._lost = [
            each
            for each in self._lost
            if now - each.lost_at < _REMOVED_WITHIN_S
        ]
        self._lost.append(_Lost(loss=call.loss, lost_at=now, running=running))

    def record_others_open(self) -> None:
        """Record that other connections have outlived the lost ones."""
        self._set_cause(losses.LossCause.CONNECTION)

    def _set_cause(self, cause: losses.LossCause) -> None:
        for each in self._lost:
            each.loss.set_cause(cause)

    def record_cancelled(self, call: calls.LeafCall, now: float) -> None:
        """Record a call that was cancelled while it was in flight."""
        if call.identity is not None:
            self._cancelled.append(_running(call, call.identity, now))
            del self._cancelled[:-_CANCELLED_KEPT]

    def record_refused(self, now: float) -> None:
        """Record that the leaf refused a connection."""
        self._report("connection refused", now, within_s=_REFUSED_WITHIN_S)

    def record_accepted(self) -> None:
        """Record that the leaf's address accepted a connection."""
        self._accepted_since_loss = True
        self._set_cause(losses.LossCause.CONNECTION)

    def record_removed(
        self, reason: str, now: float, *, replaced: bool
    ) -> None:
        """Record that the leaf's entry was removed or replaced.

        Args:
            reason: Why it was removed.
            now: Monotonic time.
            replaced: Whether another process is in its place.
        """
        if replaced or not self._accepted_since_loss:
            self._report(reason, now, within_s=_REMOVED_WITHIN_S)

    def record_answer(self, sent_at: float) -> None:
        """Record the leaf's answer to a request, which shows that it runs.

        Args:
            sent_at: Monotonic time at which the request was sent.
        """
        if self._lost:
            lost, self._lost = self._lost, []
            for each in lost:
                if each.lost_at > sent_at:
                    self._lost.append(each)
                else:
                    each.loss.set_cause(losses.LossCause.CONNECTION)
        if self._reported_at is not None and sent_at > self._reported_at:
            self._reported_at = None
            self._observer.handle_alive(self.entry)

    def _report(self, evidence: str, now: float, *, within_s: float) -> None:
        recent = [each for each in self._lost if now - each.lost_at < within_s]
        self._lost = []
        for each in recent:
            each.loss.set_cause(losses.LossCause.LEAF_ENDED)
        running = [each.running for each in recent if each.running is not None]
        if not running:
            return
        ended_at = min(each.ended_at for each in running)
        # The leaf may have run them until its end. With the times of their
        # cancellation, one crash of many leaves would look like several.
        running += [
            replace(each, ended_at=ended_at)
            for each in self._cancelled
            if abs(ended_at - each.ended_at) < _CANCELLED_MAX_S
        ]
        self._cancelled = []
        self._reported_at = now
        self._observer.handle_end(self.entry, running, evidence)


def _running(
    call: calls.LeafCall, identity: calls.RequestIdentity, now: float
) -> RunningCall:
    return RunningCall(
        identity=identity,
        request_id=call.request_id,
        sent_at=call.sent_at,
        ended_at=now,
    )
