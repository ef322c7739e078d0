"""The evidence that a VM knows, its own and that of others."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from trefoilpier import base, replicas
from trefoilpier.quarantine import evidence

RECORDS_MAX = 500  # Records that a VM keeps.
OWN_RECORDS_MAX = 200  # Records among them that it publishes.
# Wall clocks of VMs differ; a time this far ahead is an error.
_AHEAD_MAX_MS = 60_000

_CLEAR = evidence.Verdict(standing=evidence.Standing.CLEAR)


class QuarantineLedger:
    """Records of requests under which leaves have ended.

    Attributes:
        generation: Counter of changes of the records.
        own_by_fingerprint: What this VM has observed itself.
        record_by_fingerprint: All evidence that it knows.
    """

    __slots__ = (
        "_clock",
        "_doubtful",
        "_log",
        "_on_own_change",
        "_shared",
        "_standing_by_fingerprint",
        "generation",
        "own_by_fingerprint",
        "record_by_fingerprint",
    )

    def __init__(self, *, clock: base.Clock, log: base.EventLog) -> None:
        """Create an empty ledger.

        Args:
            clock: Source of wall time.
            log: Log of events.
        """
        self._clock = clock
        self._log = log
        self._on_own_change: Callable[[], None] = lambda: None
        self.generation = 0
        self.own_by_fingerprint: dict[str, evidence.RequestRecord] = {}
        self.record_by_fingerprint: dict[str, evidence.RequestRecord] = {}
        # Barred requests, others of which have the same leaves against them.
        self._doubtful: set[str] = set()
        # Requests about which other VMs know something.
        self._shared: set[str] = set()
        self._standing_by_fingerprint: dict[str, evidence.Standing] = {}

    def on_own_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of this VM's observations."""
        self._on_own_change = callback

    def now_ms(self) -> int:
        """Return the wall time in milliseconds."""
        return int(self._clock.utc_now().timestamp() * 1000)

    def judge(self, fingerprint: str) -> evidence.Verdict:
        """Return what a request may do."""
        record = self.record_by_fingerprint.get(fingerprint)
        if record is None:
            return _CLEAR
        verdict = evidence.judge(record, self.now_ms())
        self._log_standing(fingerprint, record, verdict)
        if verdict.standing is evidence.Standing.BARRED:
            self._note_doubt(fingerprint, record)
        return verdict

    def _note_doubt(
        self, fingerprint: str, record: evidence.RequestRecord
    ) -> None:
        """Note that at most one of several barred requests is to blame.

        They were in flight at the same leaves when these ended.
        """
        if fingerprint in self._doubtful:
            return
        now_ms = self.now_ms()
        leaves = set(record.counting_leaves)
        for other_fingerprint, other in self.record_by_fingerprint.items():
            if other is record or leaves.isdisjoint(other.counting_leaves):
                continue
            standing = evidence.judge(other, now_ms).standing
            if standing is evidence.Standing.BARRED:
                self._doubtful |= {fingerprint, other_fingerprint}

    def is_doubtful(self, fingerprint: str) -> bool:
        """Return whether another request may be to blame for a bar."""
        return fingerprint in self._doubtful

    def record_end(
        self,
        identity: replicas.RequestIdentity,
        *,
        leaf: str,
        end: evidence.LeafEnd,
    ) -> None:
        """Record a leaf that ended while it was running a request.

        Args:
            identity: Identity of the request.
            leaf: Incarnation of the leaf.
            end: Its end.
        """
        fingerprint = identity.fingerprint
        record = self._record_for(fingerprint, identity.description)
        if not record.add(leaf, end):
            return
        own = self._own_record_for(fingerprint, identity.description)
        own.end_by_leaf[leaf] = end
        self._changed(own=True)
        self.judge(fingerprint)

    def _record_for(
        self, fingerprint: str, description: str
    ) -> evidence.RequestRecord:
        return self.record_by_fingerprint.setdefault(
            fingerprint, evidence.RequestRecord(description=description)
        )

    def clear_service(self, fingerprint: str, service: str) -> None:
        """Record that a leaf of a service has answered a request."""
        record = self.record_by_fingerprint.get(fingerprint)
        if record is not None:
            self._record_answer(fingerprint, record)
            self._clear(
                fingerprint,
                [
                    leaf
                    for leaf, end in record.end_by_leaf.items()
                    if end.service == service
                ],
                "answered by the service",
            )

    def _record_answer(
        self, fingerprint: str, record: evidence.RequestRecord
    ) -> None:
        """Note that a service has answered, if an end since the last counts."""
        ends = record.counting_ends
        if not ends or ends[-1].ended_ms <= record.answered_ms:
            return
        record.answered_ms = self.now_ms()
        own = self._own_record_for(fingerprint, record.description)
        own.answered_ms = record.answered_ms
        self._changed(own=True)

    def _own_record_for(
        self, fingerprint: str, description: str
    ) -> evidence.RequestRecord:
        return self.own_by_fingerprint.setdefault(
            fingerprint, evidence.RequestRecord(description=description)
        )

    def clear_leaf(self, leaf: str) -> None:
        """Record that a leaf runs that was taken to have ended."""
        for fingerprint in list(self.record_by_fingerprint):
            self._clear(fingerprint, [leaf], "the leaf runs")

    def lift(self, fingerprint: str) -> bool:
        """Let a request run again, by an operator's decision.

        Returns:
            False if no evidence counts against it.
        """
        record = self.record_by_fingerprint.get(fingerprint)
        if record is None or not record.counting_leaves:
            return False
        self._clear(fingerprint, list(record.end_by_leaf), "lifted")
        return True

    def _clear(
        self, fingerprint: str, leaves: Iterable[str], reason: str
    ) -> None:
        record = self.record_by_fingerprint[fingerprint]
        cleared = record.clear(leaves)
        if not cleared:
            return
        own = self._own_record_for(fingerprint, record.description)
        for leaf in cleared:
            own.end_by_leaf[leaf] = record.end_by_leaf[leaf]
        own.cleared |= cleared
        self._log.emit(
            base.Event.QUARANTINE_CLEARED,
            fingerprint=fingerprint,
            request=record.description,
            leaves=sorted(cleared),
            reason=reason,
        )
        self._changed(own=True)

    def merge(
        self,
        record_by_fingerprint: dict[str, evidence.RequestRecord],
        *,
        published: bool = True,
        own: bool = False,
    ) -> None:
        """Add the evidence of another VM, or of an earlier process.

        Args:
            record_by_fingerprint: The records.
            published: Whether they come from the store.
            own: Whether this VM is to publish them.
        """
        changed = own_changed = False
        now_ms = self.now_ms()
        for fingerprint, record in record_by_fingerprint.items():
            if evidence.is_expired(record, now_ms):
                continue
            if record.last_ended_ms > now_ms + _AHEAD_MAX_MS:
                continue
            known = self._record_for(fingerprint, record.description)
            changed |= known.merge(record)
            if published:
                self._shared.add(fingerprint)
            if own:
                own_changed |= self._own_record_for(
                    fingerprint, record.description
                ).merge(record)
        if changed:
            self._changed(own=own_changed and not published)
            for fingerprint in record_by_fingerprint:
                self.judge(fingerprint)

    def _changed(self, *, own: bool) -> None:
        self.generation += 1
        self._drop_surplus()
        if own:
            self._on_own_change()

    @property
    def urgent(self) -> bool:
        """Whether a request is barred of which this VM has evidence."""
        return any(
            self.judge(fingerprint).standing is evidence.Standing.BARRED
            for fingerprint in self.own_by_fingerprint
        )

    def records_to_publish(self) -> dict[str, evidence.RequestRecord]:
        """Return this VM's observations that matter to others.

        What was cleared before any other VM knew of it does not.
        """
        return {
            fingerprint: record
            for fingerprint, record in self.own_by_fingerprint.items()
            if record.counting_leaves or fingerprint in self._shared
        }

    def handle_published(self, fingerprints: Iterable[str]) -> None:
        """Note that other VMs know of the evidence against requests."""
        self._shared.update(fingerprints)

    def _drop_surplus(self) -> None:
        """Keep the most important records, within the limits."""
        for records, limit in (
            (self.record_by_fingerprint, RECORDS_MAX),
            (self.own_by_fingerprint, OWN_RECORDS_MAX),
        ):
            if len(records) <= limit:
                continue
            for fingerprint in _by_importance(records, self.now_ms())[limit:]:
                del records[fingerprint]
                self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        if fingerprint not in self.record_by_fingerprint:
            self._standing_by_fingerprint.pop(fingerprint, None)
            self._doubtful.discard(fingerprint)
            self._shared.discard(fingerprint)

    def drop_expired(self) -> bool:
        """Drop records without effect; return whether own ones were dropped."""
        now_ms = self.now_ms()
        own_dropped = False
        for records in (self.record_by_fingerprint, self.own_by_fingerprint):
            expired = [
                fingerprint
                for fingerprint, record in records.items()
                if evidence.is_expired(record, now_ms)
            ]
            for fingerprint in expired:
                del records[fingerprint]
                self._forget(fingerprint)
            own_dropped |= records is self.own_by_fingerprint and bool(expired)
        return own_dropped

    def _log_standing(
        self,
        fingerprint: str,
        record: evidence.RequestRecord,
        verdict: evidence.Verdict,
    ) -> None:
        """Log a bar when it begins and when it ends."""
        previous = self._standing_by_fingerprint.get(fingerprint)
        if previous is verdict.standing:
            return
        self._standing_by_fingerprint[fingerprint] = verdict.standing
        if verdict.standing is evidence.Standing.BARRED:
            self._log.emit(
                base.Event.QUARANTINE_BARRED,
                **self.describe(fingerprint, record, verdict),
            )
        elif previous is evidence.Standing.BARRED:
            self._log.emit(
                base.Event.QUARANTINE_RELEASED,
                **self.describe(fingerprint, record, verdict),
            )

    def describe(
        self,
        fingerprint: str,
        record: evidence.RequestRecord,
        verdict: evidence.Verdict,
    ) -> dict[str, Any]:
        """Return a request's standing with its evidence and ages."""
        now_ms = self.now_ms()
        ends = record.counting_ends
        return {
            "fingerprint": fingerprint,
            "request": record.description,
            "standing": str(verdict.standing),
            "leaves": record.counting_leaves,
            "services": sorted({end.service for end in ends}),
            "first_end_age_s": _age_s(now_ms, ends[0]) if ends else None,
            "last_end_age_s": _age_s(now_ms, ends[-1]) if ends else None,
            "ends_in_s": round(max(0, verdict.until_ms - now_ms) / 1000, 1),
        }

    def list_requests(self) -> Iterator[dict[str, Any]]:
        """Return the standing of each request with evidence against it."""
        now_ms = self.now_ms()
        for fingerprint in _by_importance(self.record_by_fingerprint, now_ms):
            record = self.record_by_fingerprint[fingerprint]
            verdict = evidence.judge(record, now_ms)
            if verdict.standing is not evidence.Standing.CLEAR:
                yield self.describe(fingerprint, record, verdict)


def _age_s(now_ms: int, end: evidence.LeafEnd) -> float:
    return round((now_ms - end.ended_ms) / 1000, 1)


def _by_importance(
    records: dict[str, evidence.RequestRecord], now_ms: int
) -> list[str]:
    """Return fingerprints, barred ones first, then by their latest end."""

    def rank(fingerprint: str) -> tuple[bool, int, str]:
        record = records[fingerprint]
        barred = evidence.judge(record, now_ms).until_ms > 0
        return not barred, -record.last_ended_ms, fingerprint

    return sorted(records, key=rank)
