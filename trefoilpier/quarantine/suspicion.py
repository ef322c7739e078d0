"""What one VM suspects of a gathered request, before evidence is complete.

The evidence needs ends of leaves in two runs half a second apart. By then the
same request at other VMs, or its caller's retry, has ended the other leaves of
each shard. A suspicion is weaker, is told to all VMs within milliseconds, and
is decided on within a fraction of a second.

The decisions are pure. Times are monotonic; messages state ages.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import expression

# A request that has ended leaves of several shards is refused for this time,
# longer than a caller goes on. Its next repeat is tried at one shard, which
# completes the evidence.
HOLD_S = 2.0
# A leaf that has ended refuses a connection within this time: it is connected
# to 20 ms after the loss of a call.
CHECK_AFTER_S = 0.02
DECIDE_AFTER_S = 0.04
DECIDE_PAUSE_S = 0.02
# An answer or the end of a leaf is known by then, or the leaf does not respond.
UNDECIDED_MAX_S = 0.2
# Leaves that are lost at the same time, but did not run the request, show that
# there is another reason. One may be a coincidence.
_UNEXPLAINED_MIN = 2
# Limits of messages. A gather over more shards states some of its leaves.
NEWS_AGE_MAX_S = HOLD_S
_LEAVES_MAX = 64


class Stage(enum.StrEnum):
    """Stage of a suspicion; stages only follow in this order.

    WATCHED has lost one shard, which this VM tells nobody. SUSPECTED has lost
    several, or the only one that was asked. CONFIRMED has ended leaves. CLEARED
    does not crash leaves, as far as is known.
    """

    WATCHED = "watched"
    SUSPECTED = "suspected"
    CONFIRMED = "confirmed"
    CLEARED = "cleared"


_RANK_BY_STAGE = {stage: rank for rank, stage in enumerate(Stage)}


@dataclass(slots=True, kw_only=True)
class Suspicion:
    """What one VM suspects of one request.

    Attributes:
        id: Id of the suspicion, unique in the fleet.
        fingerprint: Fingerprint of the request.
        since: Monotonic time at which the stage began.
        stage: Its stage.
        shard_count: Shards whose leaves were lost under the request.
        leaves: Leaves lost under it.
        lapsed: Whether it stayed undecided for the longest time allowed.
    """

    id: str
    fingerprint: str
    since: float
    stage: Stage = Stage.WATCHED
    shard_count: int = 0
    leaves: set[str] = field(default_factory=set)
    lapsed: bool = False

    @property
    def undecided(self) -> bool:
        """Whether it is not known yet whether the request ends leaves."""
        return not self.lapsed and self.stage in (
            Stage.WATCHED,
            Stage.SUSPECTED,
        )

    def merge(self, other: "Suspicion") -> bool:
        """Take over newer news of the same suspicion; return if there are."""
        newer = _RANK_BY_STAGE[other.stage] > _RANK_BY_STAGE[self.stage]
        if newer:
            self.stage = other.stage
            self.since = other.since
        new_leaves = other.leaves - self.leaves
        self.leaves |= new_leaves
        self.shard_count = max(self.shard_count, other.shard_count)
        return newer or bool(new_leaves)


def seems_innocent(*, lost_shards: int, answered: int) -> bool:
    """Return whether other shards show that a request does not end leaves.

    Answers the ends of some leaves for another reason, such as another request
    or a rack without power, while the leaves of most shards answer.

    >>> seems_innocent(lost_shards=1, answered=1)
    True
    >>> seems_innocent(lost_shards=3, answered=2)
    False
    """
    return answered >= 1 if lost_shards == 1 else answered > lost_shards


class Decision(enum.Enum):
    """Decision on a suspicion of this VM."""

    WAIT = enum.auto()
    CONFIRM = enum.auto()
    CLEAR = enum.auto()
    LAPSE = enum.auto()


@dataclass(slots=True, kw_only=True, frozen=True)
class Findings:
    """What a VM has found out about a request that it suspects.

    Attributes:
        shards_needed: Shards whose leaves must have ended.
        ended_shards: Shards whose leaves have ended, by evidence.
        lost_leaves: Leaves that were lost under the request.
        connected_leaves: Leaves among them to which there are connections.
        unexplained: Leaves lost meanwhile under no suspected request.
        age_s: Seconds since the suspicion.
    """

    shards_needed: int
    ended_shards: int
    lost_leaves: int
    connected_leaves: int
    unexplained: int
    age_s: float


def decide(findings: Findings) -> Decision:
    """Decide whether a request has ended leaves.

    It has not if leaves are lost that did not run it (a rack without power, all
    leaves ending at once, a VM cut off from the leaves), or if most of its
    leaves accept connections (connections that were reset).

    >>> ended = Findings(
    ...     shards_needed=2, ended_shards=6, lost_leaves=6, connected_leaves=0,
    ...     unexplained=0, age_s=0.05,
    ... )
    >>> decide(ended)
    <Decision.CONFIRM: 2>
    """
    if findings.unexplained >= _UNEXPLAINED_MIN:
        return Decision.CLEAR
    if findings.ended_shards >= findings.shards_needed:
        return Decision.CONFIRM
    if 2 * findings.connected_leaves >= findings.lost_leaves:
        return Decision.CLEAR
    if findings.age_s < UNDECIDED_MAX_S:
        return Decision.WAIT
    return Decision.LAPSE


def to_news(suspicion: Suspicion, now: float) -> dict[str, Any]:
    """Return a suspicion as a JSON object, for other VMs."""
    return {
        "id": suspicion.id,
        "fingerprint": suspicion.fingerprint,
        "stage": str(suspicion.stage),
        "shards": suspicion.shard_count,
        "leaves": sorted(suspicion.leaves)[:_LEAVES_MAX],
        "age_ms": int((now - suspicion.since) * 1000),
    }


def parse_news(
    items: Iterable[Any], now: float
) -> expression.Result[list[Suspicion], str]:
    """Return the suspicions of another VM; those that are too old are left out.

    >>> parse_news([{"id": "a"}], 0.0).error
    "KeyError: 'fingerprint'"
    """
    try:
        parsed = [
            Suspicion(
                id=str(row["id"]),
                fingerprint=str(row["fingerprint"]),
                stage=Stage(row["stage"]),
                shard_count=int(row["shards"]),
                leaves={str(leaf) for leaf in row["leaves"][:_LEAVES_MAX]},
                since=now - max(0, int(row["age_ms"])) / 1000,
            )
            for row in items
        ]
    except (ValueError, KeyError, TypeError) as error:
        return expression.Error(f"{type(error).__name__}: {error}")
    return expression.Ok(
        [each for each in parsed if now - each.since < NEWS_AGE_MAX_S]
    )
