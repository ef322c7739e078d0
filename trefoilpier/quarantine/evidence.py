"""Evidence that a request crashes leaves, and the decision on it.

The functions are pure. Times are wall time in milliseconds, since evidence is
shared by VMs and outlives processes.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

# So many leaves must have ended, in so many runs that followed each other.
_ENDS_MIN = 3
_RUNS_MIN = 2
# Ends without such a pause between them are one run: leaves that end together
# for another reason are noticed at different times.
_RUN_GAP_MS = 500
# Ends that are older than this when another one follows do not count.
_SUSPICION_MAX_MS = 10 * 60_000
# The first bar, and how much longer it gets each time that the request crashes
# a leaf again after it has been released.
_BAR_MIN_MS = 60_000
_BAR_GROWTH = 4
_BAR_MAX_MS = 4 * 3_600_000
# A request that was in flight as leaves ended for another reason looks the
# same. One trial before the end of its first bar tells.
_EARLY_TRIAL_AFTER_MS = 8_000
# After a bar, one more end renews it for this time.
_PROBATION_MS = 3_600_000
_NEVER_MS = 1 << 62
# Further ends of the same run are no further evidence.
ENDS_KEPT_PER_RUN = 3
ENDS_KEPT = 18


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafEnd:
    """The end of a leaf while it was running a request.

    Attributes:
        service: Service of the leaf.
        sent_ms: Time at which the request was sent to it.
        ended_ms: Time at which it ended.
    """

    service: str
    sent_ms: int
    ended_ms: int


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Evidence about one request.

    Records of one request from several VMs are merged by union.

    Attributes:
        description: Method, host and target of the request.
        end_by_leaf: Ends by incarnation of the leaf.
        cleared: Incarnations whose ends do not count: the same service has
            answered the request since, the leaf turned out to run, or an
            operator has lifted the bar.
        answered_ms: Time of the last answer of any service; 0 if none is known.
    """

    description: str
    end_by_leaf: dict[str, LeafEnd] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    answered_ms: int = 0

    @property
    def counting_ends(self) -> list[LeafEnd]:
        """Ends that count, oldest first."""
        return sorted(
            (
                end
                for leaf, end in self.end_by_leaf.items()
                if leaf not in self.cleared
            ),
            key=lambda end: end.ended_ms,
        )

    @property
    def counting_leaves(self) -> list[str]:
        """Incarnations of the leaves whose ends count."""
        return sorted(self.end_by_leaf.keys() - self.cleared)

    @property
    def last_ended_ms(self) -> int:
        """Time of the latest end, cleared or not."""
        return max(
            (end.ended_ms for end in self.end_by_leaf.values()), default=0
        )

    def add(self, leaf: str, end: LeafEnd) -> bool:
        """Add an end; return False if it is known or no further evidence."""
        if leaf in self.end_by_leaf:
            return False
        same_run = sum(
            _is_same_run(end, other)
            for known_leaf, other in self.end_by_leaf.items()
            if known_leaf not in self.cleared
        )
        if same_run >= ENDS_KEPT_PER_RUN:
            return False
        self.end_by_leaf[leaf] = end
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        surplus = len(self.end_by_leaf) - ENDS_KEPT
        if surplus <= 0:
            return
        by_age = sorted(
            self.end_by_leaf, key=lambda leaf: self.end_by_leaf[leaf].ended_ms
        )
        for leaf in by_age[:surplus]:
            del self.end_by_leaf[leaf]
            self.cleared.discard(leaf)

    def merge(self, other: "RequestRecord") -> bool:
        """Add the evidence of another record; return whether it was new."""
        changed = False
        for leaf, end in other.end_by_leaf.items():
            if leaf not in self.end_by_leaf:
                self.end_by_leaf[leaf] = end
                changed = True
        self._drop_oldest()
        new_cleared = (other.cleared & self.end_by_leaf.keys()) - self.cleared
        self.cleared |= new_cleared
        if other.answered_ms > self.answered_ms:
            self.answered_ms = other.answered_ms
            changed = True
        return changed or bool(new_cleared)

    def clear(self, leaves: Iterable[str]) -> set[str]:
        """Let ends count no longer; return those that did until now."""
        newly_cleared = set(leaves) & self.end_by_leaf.keys() - self.cleared
        self.cleared |= newly_cleared
        return newly_cleared


def _is_same_run(one: LeafEnd, other: LeafEnd) -> bool:
    return (
        one.sent_ms <= other.ended_ms + _RUN_GAP_MS
        and other.sent_ms <= one.ended_ms + _RUN_GAP_MS
    )


class Standing(enum.StrEnum):
    """What a request may do.

    CLEAR is sent as usual. SUSPECT is sent to one leaf at a time. BARRED is
    refused. RELEASED has been barred, and is tried once at a time.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    BARRED = "barred"
    RELEASED = "released"


@dataclass(slots=True, kw_only=True, frozen=True)
class Verdict:
    """Decision on a request.

    Attributes:
        standing: What it may do.
        until_ms: Time of the end of its bar; 0 if it has not been barred.
        trial_from_ms: Time from which one VM may try it although it is barred.
    """

    standing: Standing
    until_ms: int = 0
    trial_from_ms: int = 0


_CLEAR = Verdict(standing=Standing.CLEAR)


def judge(record: RequestRecord, now_ms: int) -> Verdict:
    """Return what a request may do.

    The ends count in one service, where an answer of that service clears them,
    and over all services, where an answer of any service does.

    >>> record = RequestRecord(description="GET /a")
    >>> for k in range(3):
    ...     at = 1_000 * k
    ...     end = LeafEnd(service="s", sent_ms=at, ended_ms=at + 100)
    ...     added = record.add(f"leaf-{k}", end)
    ...     print(judge(record, at + 100).standing)
    suspect
    suspect
    barred
    >>> judge(record, 2_100 + _BAR_MIN_MS).standing
    <Standing.RELEASED: 'released'>
    """
    ends = record.counting_ends
    groups = [[end for end in ends if end.ended_ms > record.answered_ms]]
    groups += [
        [end for end in ends if end.service == service]
        for service in {end.service for end in ends}
    ]
    until_ms = max(map(_compute_bar_end, groups))
    if now_ms < until_ms:
        return Verdict(
            standing=Standing.BARRED,
            until_ms=until_ms,
            trial_from_ms=max(map(_compute_early_trial, groups)) or until_ms,
        )
    if until_ms and now_ms < until_ms + _PROBATION_MS:
        return Verdict(standing=Standing.RELEASED, until_ms=until_ms)
    if ends and now_ms - ends[-1].ended_ms < _SUSPICION_MAX_MS:
        return Verdict(standing=Standing.SUSPECT)
    return _CLEAR


def _compute_early_trial(ends: list[LeafEnd]) -> int:
    """Return from when a trial may precede the end of the first bar.

    Args:
        ends: The ends, oldest first.

    Returns:
        The time; 0 if the ends justify no bar. It is infinitely late if a trial
        has ended a leaf.
    """
    for count in range(_ENDS_MIN, len(ends) + 1):
        if not _compute_bar_end(ends[:count]):
            continue
        from_ms = ends[count - 1].ended_ms + _EARLY_TRIAL_AFTER_MS
        if any(end.sent_ms >= from_ms for end in ends):
            return _NEVER_MS
        return from_ms
    return 0


def _compute_bar_end(ends: list[LeafEnd]) -> int:
    """Return when the bar ends that some ends justify; 0 if they do not.

    Args:
        ends: The ends, oldest first.
    """
    until_ms = 0
    bar_ms = _BAR_MIN_MS
    counted: list[LeafEnd] = []
    for end in ends:
        if until_ms:
            if end.sent_ms > until_ms:
                bar_ms = min(_BAR_MAX_MS, _BAR_GROWTH * bar_ms)
            until_ms = max(until_ms, end.ended_ms + bar_ms)
            continue
        counted = [
            each
            for each in counted
            if end.ended_ms - each.ended_ms < _SUSPICION_MAX_MS
        ]
        counted.append(end)
        if len(counted) >= _ENDS_MIN and _count_runs(counted) >= _RUNS_MIN:
            until_ms = end.ended_ms + bar_ms
    return until_ms


def _count_runs(ends: list[LeafEnd]) -> int:
    """Return how many of the runs followed each other, ordered by their end."""
    count = 0
    next_from_ms = 0
    for end in ends:
        if end.sent_ms >= next_from_ms:
            count += 1
            next_from_ms = end.ended_ms + _RUN_GAP_MS
    return count


def is_expired(record: RequestRecord, now_ms: int) -> bool:
    """Return whether a record has no effect any more, cleared ends included."""
    last_ms = max(record.last_ended_ms, record.answered_ms)
    if now_ms - last_ms < _SUSPICION_MAX_MS:
        return False
    return judge(record, now_ms).standing is Standing.CLEAR
