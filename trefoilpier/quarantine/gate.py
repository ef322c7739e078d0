"""Admission of requests by the evidence against them."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from trefoilpier import replicas
from trefoilpier.quarantine import canary, evidence
from trefoilpier.quarantine import cases as suspicion_cases
from trefoilpier.quarantine import early as earlies
from trefoilpier.quarantine import ledger as ledgers

# A released request that is being tried is decided on within about this time.
_TRIAL_S = 2.0
# The wait for the end of a bar is rounded up.
_RETRY_AFTER_MIN_S = 0.05
# A request that is suspected is decided on within a shorter time.
_DECISION_WAIT_MAX_S = 0.3
_UNDECIDED_RETRY_S = 0.2


@dataclass(slots=True, kw_only=True, frozen=True)
class Admission:
    """Decision on a request that arrives.

    Attributes:
        refused: Whether it is refused without being run.
        suspect: Whether it is sent to one leaf at a time.
        canary: Whether it is sent to one shard first, as nothing is known
            about it.
        waits: Whether it waits until it is decided whether it crashes leaves.
        on_trial: Whether it is the one trial after a bar; `end_trial` must
            follow.
        retry_after_s: If refused, seconds until it may be sent again.
    """

    refused: bool = False
    suspect: bool = False
    canary: bool = False
    waits: bool = False
    on_trial: bool = False
    retry_after_s: float = 0.0


_ADMITTED = Admission()
_SUSPECT = Admission(suspect=True)
_CANARY = Admission(canary=True)
_WAITS = Admission(waits=True)


class QuarantineGate:
    """Admission of the requests of one VM.

    Attributes:
        canary_count: Requests that were sent to one shard first, as nothing
            was known about them.
        cases: Suspicions of this VM; None if there are none.
        early: Suspicions of all VMs; None if there are none.
        owns_trial: Returns whether this VM, and no other, may try a request
            before the end of its bar, so many seconds after others could.
        refused_count: Requests that were refused.
    """

    __slots__ = (
        "_ledger",
        "_on_trial",
        "_rng",
        "canary_count",
        "cases",
        "early",
        "owns_trial",
        "refused_count",
    )

    def __init__(
        self,
        *,
        ledger: ledgers.QuarantineLedger,
        early: earlies.EarlySuspicions | None = None,
        cases: suspicion_cases.SuspicionCases | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create the gate.

        Args:
            ledger: Ledger of the evidence.
            early: Suspicions of gathered requests; None for none.
            cases: Those of this VM among them; None for none.
            rng: Source of the choice between equal shards.
        """
        self._rng = rng or random.Random()
        self._ledger = ledger
        self.early = early
        self.cases = cases
        self.canary_count = 0
        self._on_trial: set[str] = set()
        self.owns_trial: Callable[[str, float], bool] = (
            lambda fingerprint, since_s: False
        )
        self.refused_count = 0

    def admit(
        self,
        identity: replicas.RequestIdentity,
        *,
        now: float = 0.0,
        gathered: bool = False,
        waited_s: float = 0.0,
    ) -> Admission:
        """Decide on a request that arrives.

        Args:
            identity: Identity of the request.
            now: Monotonic time.
            gathered: Whether it is gathered over several shards.
            waited_s: Seconds since it arrived.
        """
        fingerprint = identity.fingerprint
        verdict = self._ledger.judge(fingerprint)
        if verdict.standing in (
            evidence.Standing.CLEAR,
            evidence.Standing.SUSPECT,
        ):
            if gathered and self.early is not None:
                admitted = self._admit_early(
                    self.early, fingerprint, now=now, waited_s=waited_s
                )
                if admitted is not None:
                    return admitted
            if verdict.standing is evidence.Standing.SUSPECT:
                return _SUSPECT
            return self._admit_unsuspected(fingerprint, now, gathered)
        if verdict.standing is evidence.Standing.BARRED and not (
            self._may_try(fingerprint, verdict)
            and self.owns_trial(fingerprint, self._tried_for_s(verdict))
        ):
            return self._refuse(self._barred_for_s(fingerprint, verdict))
        if fingerprint in self._on_trial:
            return self._refuse(_TRIAL_S)
        self._on_trial.add(fingerprint)
        return Admission(suspect=True, on_trial=True)

    def _may_try(self, fingerprint: str, verdict: evidence.Verdict) -> bool:
        """Return whether a barred request may be tried by one VM."""
        if self._ledger.now_ms() < verdict.trial_from_ms:
            return False
        return self._ledger.is_doubtful(fingerprint)

    def _tried_for_s(self, verdict: evidence.Verdict) -> float:
        """Return the seconds for which a barred request may have been tried."""
        return (self._ledger.now_ms() - verdict.trial_from_ms) / 1000

    def _barred_for_s(
        self, fingerprint: str, verdict: evidence.Verdict
    ) -> float:
        """Return the seconds until a barred request may run again."""
        if self._may_try(fingerprint, verdict):
            return _TRIAL_S  # Another VM may be trying it.
        next_ms = verdict.until_ms
        if self._ledger.is_doubtful(fingerprint):
            next_ms = min(next_ms, verdict.trial_from_ms)
        left_s = (next_ms - self._ledger.now_ms()) / 1000
        return max(_RETRY_AFTER_MIN_S, left_s)

    def _admit_early(
        self,
        early: earlies.EarlySuspicions,
        fingerprint: str,
        *,
        now: float,
        waited_s: float,
    ) -> Admission | None:
        """Decide by the suspicions of a gathered request, if there are any.

        Callers repeat a request that has crashed leaves within some ten
        milliseconds. The repeat waits for the decision on the first one.
        """
        standing = early.standing(fingerprint)
        if standing is earlies.EarlyStanding.NONE:
            return None
        if standing is earlies.EarlyStanding.HELD:
            return self._refuse(
                max(_RETRY_AFTER_MIN_S, early.hold_left_s(fingerprint))
            )
        if standing is earlies.EarlyStanding.UNDECIDED:
            if waited_s < _DECISION_WAIT_MAX_S:
                return _WAITS
            return self._refuse(_UNDECIDED_RETRY_S)
        return _SUSPECT

    def _admit_unsuspected(
        self, fingerprint: str, now: float, gathered: bool
    ) -> Admission:
        if not gathered or self.early is None:
            return _ADMITTED
        if not self.early.mode.needs_canary(fingerprint, now):
            return _ADMITTED
        self.canary_count += 1
        return _CANARY

    def _refuse(self, retry_after_s: float) -> Admission:
        self.refused_count += 1
        return Admission(refused=True, retry_after_s=retry_after_s)

    def end_trial(self, identity: replicas.RequestIdentity) -> None:
        """Note that the trial of a released request has ended."""
        self._on_trial.discard(identity.fingerprint)

    def is_held_back(
        self,
        identity: replicas.RequestIdentity,
        resume: Callable[[], None] | None = None,
    ) -> bool:
        """Return whether it is undecided if an admitted request crashes leaves.

        Args:
            identity: Identity of the request.
            resume: Called once that is decided.
        """
        early = self.early
        if early is None:
            return False
        standing = early.standing(identity.fingerprint)
        if standing is not earlies.EarlyStanding.UNDECIDED:
            return False
        if resume is not None:
            early.wait(identity.fingerprint, resume)
        return True

    def is_refused_early(
        self, identity: replicas.RequestIdentity, *, lost: bool
    ) -> bool:
        """Return whether suspicion forbids to send an admitted request on.

        Args:
            identity: Identity of the request.
            lost: Whether it has lost leaves itself, and none has answered it.
        """
        if self.early is None:
            return False
        standing = self.early.standing(identity.fingerprint)
        if standing is earlies.EarlyStanding.SUSPECT:
            return lost
        return standing is earlies.EarlyStanding.HELD

    def is_barred(
        self, identity: replicas.RequestIdentity, *, on_trial: bool = False
    ) -> bool:
        """Return whether an admitted request may not be sent any more.

        Args:
            identity: Identity of the request.
            on_trial: Whether it was admitted as the one trial.
        """
        verdict = self._ledger.judge(identity.fingerprint)
        if verdict.standing is not evidence.Standing.BARRED:
            return False
        return not (on_trial and self._may_try(identity.fingerprint, verdict))

    def record_answer(
        self, identity: replicas.RequestIdentity, service: str
    ) -> None:
        """Record that a leaf of a service has run a request and answered."""
        self._ledger.clear_service(identity.fingerprint, service)

    def order_shards(self, shards: Iterable[canary.ShardState]) -> list[str]:
        """Return the services in the order in which a request tries them."""
        return canary.order_shards(shards, self._rng.random)

    def suspected_services(
        self, identity: replicas.RequestIdentity
    ) -> frozenset[str]:
        """Return the services whose leaves have ended under a request."""
        record = self._ledger.record_by_fingerprint.get(identity.fingerprint)
        if record is None:
            return frozenset()
        return frozenset(end.service for end in record.counting_ends)
