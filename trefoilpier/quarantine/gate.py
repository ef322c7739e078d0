"""Admission of requests by the evidence against them."""

from dataclasses import dataclass

from trefoilpier import replicas
from trefoilpier.quarantine import evidence
from trefoilpier.quarantine import ledger as ledgers

# A released request that is being tried is decided on within about this time.
_TRIAL_S = 2.0
# The wait for the end of a bar is rounded up.
_RETRY_AFTER_MIN_S = 0.05


@dataclass(slots=True, kw_only=True, frozen=True)
class Admission:
    """Decision on a request that arrives.

    Attributes:
        refused: Whether it is refused without being run.
        suspect: Whether it is sent to one leaf at a time.
        on_trial: Whether it is the one trial after a bar; `end_trial` must
            follow.
        retry_after_s: If refused, seconds until it may be sent again.
    """

    refused: bool = False
    suspect: bool = False
    on_trial: bool = False
    retry_after_s: float = 0.0


_ADMITTED = Admission()
_SUSPECT = Admission(suspect=True)


class QuarantineGate:
    """Admission of the requests of one VM.

    Attributes:
        refused_count: Requests that were refused.
    """

    __slots__ = ("_ledger", "_on_trial", "refused_count")

    def __init__(self, *, ledger: ledgers.QuarantineLedger) -> None:
        """Create the gate.

        Args:
            ledger: Ledger of the evidence.
        """
        self._ledger = ledger
        self._on_trial: set[str] = set()
        self.refused_count = 0

    def admit(self, identity: replicas.RequestIdentity) -> Admission:
        """Decide on a request that arrives."""
        fingerprint = identity.fingerprint
        verdict = self._ledger.judge(fingerprint)
        if verdict.standing is evidence.Standing.CLEAR:
            return _ADMITTED
        if verdict.standing is evidence.Standing.SUSPECT:
            return _SUSPECT
        if verdict.standing is evidence.Standing.BARRED:
            left_s = (verdict.until_ms - self._ledger.now_ms()) / 1000
            return self._refuse(max(_RETRY_AFTER_MIN_S, left_s))
        if fingerprint in self._on_trial:
            return self._refuse(_TRIAL_S)
        self._on_trial.add(fingerprint)
        return Admission(suspect=True, on_trial=True)

    def _refuse(self, retry_after_s: float) -> Admission:
        self.refused_count += 1
        return Admission(refused=True, retry_after_s=retry_after_s)

    def end_trial(self, identity: replicas.RequestIdentity) -> None:
        """Note that the trial of a released request has ended."""
        self._on_trial.discard(identity.fingerprint)

    def is_barred(self, identity: replicas.RequestIdentity) -> bool:
        """Return whether an admitted request may not be sent any more."""
        verdict = self._ledger.judge(identity.fingerprint)
        return verdict.standing is evidence.Standing.BARRED

    def record_answer(
        self, identity: replicas.RequestIdentity, service: str
    ) -> None:
        """Record that a leaf of a service has run a request and answered."""
        self._ledger.clear_service(identity.fingerprint, service)

    def suspected_services(
        self, identity: replicas.RequestIdentity
    ) -> frozenset[str]:
        """Return the services whose leaves have ended under a request."""
        record = self._ledger.record_by_fingerprint.get(identity.fingerprint)
        if record is None:
            return frozenset()
        return frozenset(end.service for end in record.counting_ends)
