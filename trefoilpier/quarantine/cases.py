"""What one VM does about a gathered request that may have ended leaves."""

from dataclasses import dataclass, field

from trefoilpier import base, replicas
from trefoilpier.quarantine import early as earlies
from trefoilpier.quarantine import suspicion as suspicions

# Leaves lost this long before a request's are lost at the same time as these.
_SAME_TIME_S = 0.1
# Leaves lost after a suspicion was told are told this much later.
_LEAVES_DELAY_S = 0.015
# Losses of one request count together for this time. It is longer than a
# request takes, and the decision on it.
_CASE_S = 5.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Loss:
    """A call of a gathered request whose leaf closed the connection.

    Attributes:
        identity: Identity of the request.
        service: Service of the leaf.
        leaf: Id of the leaf.
        call_loss: The lost call, and why it was lost once that is known.
        services: Services of all shards of the request.
        one_first: Whether the request was sent to one shard first.
        answered: Calls of the request that were answered.
        patience_s: Seconds in which other shards should answer, if they do.
    """

    identity: replicas.RequestIdentity
    service: str
    leaf: str
    call_loss: replicas.CallLoss
    services: tuple[str, ...]
    one_first: bool
    answered: int
    patience_s: float


@dataclass(slots=True, kw_only=True)
class _Case:
    """What this VM does about a suspicion of its own.

    Attributes:
        suspicion: The suspicion.
        description: The request in short.
        opened_at: Monotonic time of the first loss.
        services: Services of all its shards.
        service_by_leaf: Services of the leaves that were lost under it, but for
            those that are known to run on.
        ended_services: Services whose leaves have ended under it.
        shards_needed: Shards whose leaves must have ended.
    """

    suspicion: suspicions.Suspicion
    description: str
    opened_at: float
    services: tuple[str, ...]
    shards_needed: int
    service_by_leaf: dict[str, str] = field(default_factory=dict)
    ended_services: set[str] = field(default_factory=set)

    @property
    def lost_services(self) -> set[str]:
        """Services of the lost leaves that may have ended."""
        return set(self.service_by_leaf.values())


class SuspicionCases:
    """Suspicions of this VM, from the first lost call to the decision.

    Attributes:
        suspected_count: Suspicions so far that other VMs were told.
    """

    __slots__ = (
        "_case_by_fingerprint",
        "_clock",
        "_early",
        "_id_prefix",
        "_log",
        "_next_id",
        "_survey",
        "suspected_count",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        early: earlies.EarlySuspicions,
        survey: replicas.LeafSurvey,
        vm_id: str,
    ) -> None:
        """Start without cases.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            early: The suspicions of all VMs.
            survey: Tells which leaves are lost.
            vm_id: Name of this VM.
        """
        self._clock = clock
        self._log = log
        self._early = early
        self._survey = survey
        # Another process of this VM has other ids.
        started_ms = int(clock.utc_now().timestamp() * 1000)
        self._id_prefix = f"{vm_id}/{started_ms}/"
        self._next_id = 0
        self._case_by_fingerprint: dict[str, _Case] = {}
        self.suspected_count = 0

    def record_lost(self, loss: Loss) -> None:
        """Record a call that was lost by disconnection.

        A request answered lately is left to the complete evidence: most such
        calls ran beside another request that has ended the leaf.
        """
        # One answer shows that a leaf survives the request. Without this rule,
        # resets of a tenth of the connections raised 900 suspicions in 4 s.
        if loss.answered and not loss.one_first:
            return
        fingerprint = loss.identity.fingerprint
        now = self._clock.monotonic()
        if not loss.one_first and self._early.mode.was_answered(
            fingerprint, now
        ):
            return
        case = self._case_by_fingerprint.get(fingerprint)
        if case is None or self._is_over(case, now):
            case = self._open_case(loss)
        case.service_by_leaf[loss.leaf] = loss.service
        self._count_leaves(case)
        if loss.one_first:
            case.shards_needed = 1
        loss.call_loss.on_cause = lambda cause: self._handle_cause(
            case, loss.leaf, cause
        )
        if case.suspicion.stage is suspicions.Stage.WATCHED:
            self.record_answer(fingerprint, loss.answered)

    def _count_leaves(self, case: _Case) -> None:
        case.suspicion.leaves = set(case.service_by_leaf)
        case.suspicion.shard_count = len(case.lost_services)

    def _handle_cause(
        self, case: _Case, leaf: str, cause: replicas.LossCause
    ) -> None:
        """Drop a leaf that runs on, and the case with its last leaf.

        Resets of many connections end no leaf. They would hold back, or send
        to one shard first, requests that have nothing to do with them.
        """
        if cause is not replicas.LossCause.CONNECTION:
            return
        if case.suspicion.stage is not suspicions.Stage.WATCHED:
            return
        case.service_by_leaf.pop(leaf, None)
        self._count_leaves(case)
        if not case.service_by_leaf:
            self._clear(case)

    def _is_over(self, case: _Case, now: float) -> bool:
        """Return whether a further loss is news, since repeats are sent."""
        suspicion = case.suspicion
        if suspicion.stage is suspicions.Stage.CONFIRMED:
            return now - suspicion.since >= suspicions.HOLD_S
        return suspicion.lapsed and (
            suspicion.stage is suspicions.Stage.SUSPECTED
        )

    def _open_case(self, loss: Loss) -> _Case:
        self._next_id += 1
        suspicion = suspicions.Suspicion(
            id=f"{self._id_prefix}{self._next_id}",
            fingerprint=loss.identity.fingerprint,
            since=self._clock.monotonic(),
        )
        case = _Case(
            suspicion=suspicion,
            description=loss.identity.description,
            opened_at=suspicion.since,
            services=loss.services,
            shards_needed=min(2, len(loss.services)),
        )
        self._case_by_fingerprint[suspicion.fingerprint] = case
        self._early.add(suspicion)
        self._clock.call_later(loss.patience_s, self._end_watch, case)
        self._clock.call_later(_CASE_S, self._close, case)
        return case

    def _close(self, case: _Case) -> None:
        fingerprint = case.suspicion.fingerprint
        if self._case_by_fingerprint.get(fingerprint) is case:
            del self._case_by_fingerprint[fingerprint]

    def _end_watch(self, case: _Case) -> None:
        """Let a call be sent again whose request has lost one shard only."""
        if case.suspicion.stage is suspicions.Stage.WATCHED:
            case.suspicion.lapsed = True
            self._early.wake(case.suspicion.fingerprint)

    def _suspect(self, case: _Case) -> None:
        self.suspected_count += 1
        case.suspicion.lapsed = False
        self._set_stage(case, suspicions.Stage.SUSPECTED)
        call_later = self._clock.call_later
        call_later(_LEAVES_DELAY_S, self._tell_leaves, case.suspicion)
        call_later(
            suspicions.CHECK_AFTER_S,
            self._survey.check_unconnected,
            case.services,
        )
        call_later(suspicions.DECIDE_AFTER_S, self._decide, case)

    def _set_stage(self, case: _Case, stage: suspicions.Stage) -> None:
        suspicion = case.suspicion
        told = suspicion.stage is not suspicions.Stage.WATCHED
        suspicion.stage = stage
        suspicion.since = self._clock.monotonic()
        if told or stage is not suspicions.Stage.CLEARED:
            self._log.emit(
                base.Event.REQUEST_SUSPECTED,
                fingerprint=suspicion.fingerprint,
                request=case.description,
                stage=str(stage),
                services=sorted(case.lost_services),
                leaves=sorted(suspicion.leaves),
            )
            self._early.publish(suspicion)
            return
        self._early.remove(suspicion)

    def _tell_leaves(self, suspicion: suspicions.Suspicion) -> None:
        if len(suspicion.leaves) > 1:
            self._early.publish(suspicion)

    def _decide(self, case: _Case) -> None:
        suspicion = case.suspicion
        if suspicion.stage is not suspicions.Stage.SUSPECTED:
            return
        decision = suspicions.decide(
            suspicions.Findings(
                shards_needed=case.shards_needed,
                ended_shards=len(case.ended_services),
                lost_leaves=len(suspicion.leaves),
                connected_leaves=self._survey.count_connected(suspicion.leaves),
                unexplained=self._count_unexplained(case),
                age_s=self._clock.monotonic() - suspicion.since,
            )
        )
        if decision is suspicions.Decision.WAIT:
            self._clock.call_later(
                suspicions.DECIDE_PAUSE_S, self._decide, case
            )
        elif decision is suspicions.Decision.CONFIRM:
            self._set_stage(case, suspicions.Stage.CONFIRMED)
        elif decision is suspicions.Decision.CLEAR:
            self._clear(case)
        else:
            suspicion.lapsed = True
            self._early.wake(suspicion.fingerprint)

    def _count_unexplained(self, case: _Case) -> int:
        """Return how many leaves were lost that ran no suspected request."""
        return self._survey.count_lost(
            case.services,
            since=case.opened_at - _SAME_TIME_S,
            except_ids=self._early.explained_leaves,
        )

    def _clear(self, case: _Case) -> None:
        self._set_stage(case, suspicions.Stage.CLEARED)
        # A later loss is a new case.
        self._close(case)

    def record_answer(self, fingerprint: str, answered: int) -> None:
        """Record an answer to a request of which calls may have been lost.

        Args:
            fingerprint: Fingerprint of the request.
            answered: Calls of this request that were answered so far.
        """
        if not self._case_by_fingerprint:
            return
        case = self._case_by_fingerprint.get(fingerprint)
        if case is not None and suspicions.seems_innocent(
            lost_shards=len(case.lost_services), answered=answered
        ):
            self._clear(case)

    def record_end(self, fingerprint: str, service: str) -> None:
        """Record that a leaf has ended while it was running a request."""
        case = self._case_by_fingerprint.get(fingerprint)
        if case is None:
            return
        case.ended_services.add(service)
        if (
            case.suspicion.stage is suspicions.Stage.WATCHED
            and len(case.ended_services) >= case.shards_needed
        ):
            self._suspect(case)
