"""Records leaves that end as evidence against the requests that they ran."""

from trefoilpier import base, replicas
from trefoilpier.quarantine import cases as suspicion_cases
from trefoilpier.quarantine import evidence
from trefoilpier.quarantine import ledger as ledgers


class LeafEndRecorder(replicas.LeafEndObserver):
    """Passes the ends of leaves to the ledger and to early suspicions."""

    __slots__ = ("_cases", "_clock", "_ledger", "_log")

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        ledger: ledgers.QuarantineLedger,
        cases: suspicion_cases.SuspicionCases | None = None,
    ) -> None:
        """Create the recorder.

        Args:
            clock: Clock of the calls.
            log: Log of events.
            ledger: Ledger of the evidence.
            cases: Suspicions of gathered requests; None if there are none.
        """
        self._cases = cases
        self._clock = clock
        self._log = log
        self._ledger = ledger

    def handle_end(
        self,
        ended: replicas.LeafEntry,
        running: list[replicas.RunningCall],
        evidence: str,
    ) -> None:
        """Record the end of a leaf under each request that it was running."""
        self._log.emit(
            base.Event.LEAF_ENDED,
            leaf=ended.id,
            service=ended.service,
            evidence=evidence,
            requests=[call.request_id.decode("latin-1") for call in running],
            fingerprints=[call.identity.fingerprint for call in running],
        )
        now = self._clock.monotonic()
        now_ms = self._ledger.now_ms()
        for call in running:
            if self._cases is not None:
                self._cases.record_end(call.identity.fingerprint, ended.service)
            self._ledger.record_end(
                call.identity,
                leaf=_incarnation(ended),
                end=_make_end(
                    ended.service,
                    sent_ms=now_ms - int((now - call.sent_at) * 1000),
                    ended_ms=now_ms - int((now - call.ended_at) * 1000),
                ),
            )

    def handle_alive(self, alive: replicas.LeafEntry) -> None:
        """Withdraw the evidence of a leaf that answers."""
        self._ledger.clear_leaf(_incarnation(alive))


def _incarnation(leaf: replicas.LeafEntry) -> str:
    return f"{leaf.id}/{leaf.incarnation}"


def _make_end(service: str, *, sent_ms: int, ended_ms: int) -> evidence.LeafEnd:
    return evidence.LeafEnd(service=service, sent_ms=sent_ms, ended_ms=ended_ms)
