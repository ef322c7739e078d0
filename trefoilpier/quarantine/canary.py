"""Whether a gathered request is sent to one shard before the others.

A request that crashes leaves costs one leaf of each shard when it is gathered.
Each further request of that kind costs as many, and no VM knows it before. So
while leaves of several shards have ended under one request lately, a request
that has not been answered lately is tried at one shard first (a canary request;
Dean and Barroso, "The Tail at Scale").

The module is pure: times are passed in, on a monotonic scale.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# The mode ends after this time without a further such request. A single one may
# have been a zone that failed, whose leaves were those of a request: that looks
# the same to the VM.
_MODE_S = 8.0
_MODE_FIRST_S = 4.0
# What has been answered within this time is not tried at one shard first.
_ANSWERED_VALID_S = 60.0
_ANSWERED_MAX = 4000  # Answered requests remembered; about 0.7 MB.
_CRASHES_MAX = 64  # Crashes remembered.


class CanaryMode:
    """Recent crashes of several shards, and requests answered lately.

    >>> mode = CanaryMode()
    >>> mode.needs_canary("new", 10.0)
    False
    >>> mode.record_answered("known", 10.0)
    >>> mode.record_confirmed("a", 10.0)
    >>> mode.needs_canary("new", 11.0), mode.needs_canary("known", 11.0)
    (True, False)
    >>> mode.withdraw("a")
    >>> mode.needs_canary("new", 11.0)
    False
    """

    __slots__ = ("_answered_at", "_crash_until_by_id")

    def __init__(self) -> None:
        """Start without crashes and answers."""
        self._crash_until_by_id: dict[str, float] = {}
        # Fingerprints, those answered last at the end.
        self._answered_at: dict[str, float] = {}

    def record_crash(self, crash_id: str, *, until: float) -> None:
        """Record leaves that ended under one request.

        Args:
            crash_id: Id of what is known of it, unique in the fleet.
            until: Monotonic time until which it counts.
        """
        crashes = self._crash_until_by_id
        if crash_id not in crashes and len(crashes) >= _CRASHES_MAX:
            del crashes[min(crashes, key=crashes.__getitem__)]
        crashes[crash_id] = until

    def record_confirmed(self, crash_id: str, now: float) -> None:
        """Record that leaves have ended under one request.

        Args:
            crash_id: Id of what is known of it, unique in the fleet.
            now: Monotonic time at which that was confirmed.
        """
        others = self._crash_until_by_id.keys() - {crash_id}
        counts_s = _MODE_S if others else _MODE_FIRST_S
        self.record_crash(crash_id, until=now + counts_s)

    def withdraw(self, crash_id: str) -> None:
        """Record that the leaves ended for another reason, or not at all."""
        self._crash_until_by_id.pop(crash_id, None)

    def ends_at(self, now: float) -> float | None:
        """Return when the mode ends; None if it is off."""
        if not self._crash_until_by_id:
            return None
        for crash_id, until in list(self._crash_until_by_id.items()):
            if until <= now:
                del self._crash_until_by_id[crash_id]
        return max(self._crash_until_by_id.values(), default=None)

    def is_on(self, now: float) -> bool:
        """Return whether unknown requests are tried at one shard first."""
        return self.ends_at(now) is not None

    def record_answered(self, fingerprint: str, now: float) -> None:
        """Record that all leaves that ran a request have answered it."""
        answered_at = self._answered_at
        answered_at.pop(fingerprint, None)
        answered_at[fingerprint] = now
        if len(answered_at) > _ANSWERED_MAX:
            del answered_at[next(iter(answered_at))]

    def was_answered(self, fingerprint: str, now: float) -> bool:
        """Return whether a request has been answered lately."""
        answered_at = self._answered_at.get(fingerprint)
        return answered_at is not None and now - answered_at < _ANSWERED_VALID_S

    def needs_canary(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is tried at one shard first."""
        return self.is_on(now) and not self.was_answered(fingerprint, now)


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardState:
    """State of one shard.

    Attributes:
        service: Service of its leaves.
        living: Leaves that can receive requests.
        suspected: Whether leaves of it have ended under the request before, so
            that its answer clears the request.
    """

    service: str
    living: int
    suspected: bool = False


def order_shards(
    shards: Iterable[ShardState], draw: Callable[[], float]
) -> list[str]:
    """Return the services in the order in which a request tries them.

    A shard with more living leaves can spare one. Equal shards are drawn, so
    that requests that crash leaves do not end all leaves of one shard.

    Args:
        shards: The shards.
        draw: Returns a random number.

    >>> few = ShardState(service="few", living=1)
    >>> many = ShardState(service="many", living=3)
    >>> order_shards([few, many], lambda: 0.5)
    ['many', 'few']
    """
    ranked = sorted(
        shards, key=lambda each: (not each.suspected, -each.living, draw())
    )
    return [each.service for each in ranked]
