"""What the gatherers of a fleet have observed about slow leaves.

One of six gatherers makes about two calls a second to a leaf. By itself it
needs a second or more to notice that the leaf has become slow.
"""

from collections.abc import Iterable
from dataclasses import dataclass

SLOW_FACTOR = 2.0  # Relative latency above which a leaf is reported as slow.
LIFETIME_S = 2.0  # About the time until a leaf is tried again.
LEAVES_MAX = 60  # Leaves in a report; more are not told from a slow fleet.
# A leaf looks slow to a VM with a slow link. Two VMs have to agree.
_AGREEING_VMS = 2
# Change of the slowness that is worth a message.
_NOTABLE_FACTOR = 1.5
# Repeats of unchanged reports, in time before they expire at the last hop.
_REFRESH_S = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Observation:
    """Slowness of a leaf as one VM has measured it.

    Attributes:
        vm: Number that identifies the VM.
        slowness: Latency relative to the VM's median.
        observed_at: Monotonic time of the VM's last answer from the leaf.
    """

    vm: int
    slowness: float
    observed_at: float


class FleetObservations:
    """Recent observations of slow leaves, one for each leaf and VM.

    >>> observations = FleetObservations()
    >>> for vm, slowness in ((1, 9.0), (2, 7.0), (3, 3.0)):
    ...     observations.add(
    ...         "leaf",
    ...         Observation(vm=vm, slowness=slowness, observed_at=5.0),
    ...     )
    >>> observations.agreed("leaf", now=5.5).slowness
    7.0
    >>> observations.agreed("leaf", now=7.5)
    """

    __slots__ = ("_by_leaf",)

    def __init__(self) -> None:
        self._by_leaf: dict[str, dict[int, Observation]] = {}

    def __bool__(self) -> bool:
        return bool(self._by_leaf)

    def add(self, leaf_id: str, observation: Observation) -> None:
        """Add an observation, unless a newer one of the same VM is known."""
        by_vm = self._by_leaf.setdefault(leaf_id, {})
        known = by_vm.get(observation.vm)
        if known is None or known.observed_at < observation.observed_at:
            by_vm[observation.vm] = observation

    def expire(self, now: float) -> None:
        """Remove observations that are too old."""
        for leaf_id, by_vm in list(self._by_leaf.items()):
            for each in list(by_vm.values()):
                if now - each.observed_at > LIFETIME_S:
                    del by_vm[each.vm]
            if not by_vm:
                del self._by_leaf[leaf_id]

    def agreed(
        self, leaf_id: str, *, now: float, without_vm: int | None = None
    ) -> Observation | None:
        """Return the slowness of a leaf on which two VMs agree.

        Args:
            leaf_id: Id of the leaf.
            now: Monotonic time.
            without_vm: VM whose observations do not count.

        Returns:
            The lower of the two highest slownesses, with the older of their
            times; None if fewer than two VMs find the leaf slow.
        """
        recent = sorted(
            (
                each
                for each in self._by_leaf.get(leaf_id, {}).values()
                if now - each.observed_at <= LIFETIME_S
                and each.vm != without_vm
            ),
            key=lambda each: -each.slowness,
        )[:_AGREEING_VMS]
        if len(recent) < _AGREEING_VMS:
            return None
        return Observation(
            vm=recent[-1].vm,
            slowness=recent[-1].slowness,
            observed_at=min(each.observed_at for each in recent),
        )

    def newest(self) -> dict[str, list[Observation]]:
        """Return the observations to pass on, by leaf.

        Two for each leaf, the newest, are enough for an agreement. If there
        are too many leaves, the slowest ones are kept.
        """
        newest = {
            leaf_id: sorted(by_vm.values(), key=lambda each: -each.observed_at)[
                :_AGREEING_VMS
            ]
            for leaf_id, by_vm in self._by_leaf.items()
        }
        kept = sorted(newest, key=lambda leaf_id: -_slowest(newest[leaf_id]))
        return {leaf_id: newest[leaf_id] for leaf_id in kept[:LEAVES_MAX]}


def _slowest(observations: Iterable[Observation]) -> float:
    return max(each.slowness for each in observations)


def differs_notably(
    before: dict[str, list[Observation]], after: dict[str, list[Observation]]
) -> bool:
    """Return whether reports have changed enough to be sent again.

    A leaf that is no longer slow needs no message, since reports expire.

    Args:
        before: The reports that were sent last.
        after: The current ones.
    """
    for leaf_id, observations in after.items():
        known = before.get(leaf_id)
        if known is None or len(known) < len(observations):
            return True
        ratio = _slowest(observations) / _slowest(known)
        if not 1 / _NOTABLE_FACTOR < ratio < _NOTABLE_FACTOR:
            return True
        if observations[0].observed_at > known[0].observed_at + _REFRESH_S:
            return True
    return False
