"""Assembly of what protects the leaves of one VM from crashing requests."""

import random
from collections.abc import Callable

import expression

from trefoilpier import base, fleet, quarantine, replicas


class CrashGuard:
    """Evidence against requests, early suspicions and the gate that uses both.

    Attributes:
        early: Suspicions of gathered requests of all VMs.
        end_observer: Receives the calls that leaves were running at their end.
        gate: Admission of requests.
        ledger: Evidence against requests.
    """

    __slots__ = (
        "_cases",
        "_clock",
        "_survey",
        "early",
        "end_observer",
        "gate",
        "ledger",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        rng: random.Random,
        vm_id: str,
    ) -> None:
        """Create the components; `set_registry` must follow.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            rng: Source of the choice between equal shards.
            vm_id: Name of the VM.
        """
        self._clock = clock
        self._survey = replicas.LeafSurvey(clock=clock)
        self.ledger = quarantine.QuarantineLedger(clock=clock, log=log)
        self.early = quarantine.EarlySuspicions(clock=clock, log=log)
        self._cases = quarantine.SuspicionCases(
            clock=clock,
            log=log,
            early=self.early,
            survey=self._survey,
            vm_id=vm_id,
        )
        self.gate = quarantine.QuarantineGate(
            ledger=self.ledger, early=self.early, cases=self._cases, rng=rng
        )
        self.end_observer = quarantine.LeafEndRecorder(
            clock=clock, log=log, ledger=self.ledger, cases=self._cases
        )

    def set_registry(self, registry: replicas.LeafRegistry) -> None:
        """Set the leaves that are protected."""
        self._survey.registry = registry

    def merge(self, state: fleet.GathererState) -> expression.Result[None, str]:
        """Take over another VM's suspicions, and evidence it could not write.

        Returns:
            The error says what is invalid.
        """
        merged = self.early.merge(state.suspicions)
        if merged.is_error():
            return merged
        parsed = quarantine.parse_document(state.unsent_evidence)
        if parsed.is_error():
            return expression.Error(parsed.error)
        self.ledger.merge(parsed.ok, published=False, own=True)
        return expression.Ok(None)

    @property
    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that return the metrics, by name."""
        return {
            "requests_quarantined_total": lambda: self.gate.refused_count,
            "requests_suspected": lambda: len(
                self.ledger.record_by_fingerprint
            ),
            "requests_suspected_early_total": lambda: (
                self._cases.suspected_count
            ),
            "requests_canary_total": lambda: self.gate.canary_count,
            "canary_mode": lambda: self.early.mode.is_on(
                self._clock.monotonic()
            ),
        }
