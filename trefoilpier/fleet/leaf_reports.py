"""Reports of slow leaves that gatherers exchange with their states."""

from collections.abc import Callable
from typing import Any

from trefoilpier import base, replicas
from trefoilpier.replicas import observations

_CHECK_PAUSE_S = 0.25  # Shortest time between two reports.
# VMs are told apart by a part of a hash of their names, to save bytes. If two
# have the same one, their observations count as those of one VM.
_VM_HASH_VALUES = 65536
_SLOWNESS_STEPS = 10  # Slowness is sent in tenths.
_NUMBER_MAX = 1e6  # Larger ones in a peer's report are malformed.


class LeafReports:
    """This VM's observations of slow leaves and those of its peers.

    Attributes:
        generation: Counter of the reports sent.
        received_count: Observations received from peers that were accepted.
    """

    __slots__ = (
        "_clock",
        "_known",
        "_on_change",
        "_registry",
        "_sent",
        "_vm",
        "generation",
        "received_count",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        registry: replicas.LeafRegistry,
        vm_id: str,
        on_change: Callable[[], None],
    ) -> None:
        """Create it without reports; `start` begins the checks.

        Args:
            clock: Source of time and timers.
            registry: The leaves.
            vm_id: Name of this VM.
            on_change: Called when the peers should get a new report.
        """
        self._clock = clock
        self._registry = registry
        self._vm = _vm_number(vm_id)
        self._on_change = on_change
        self._known = observations.FleetObservations()
        self._sent: dict[str, list[observations.Observation]] = {}
        self.generation = 0
        self.received_count = 0

    def start(self) -> None:
        """Check periodically until the process ends."""
        self._check()
        self._clock.call_later(_CHECK_PAUSE_S, self.start)

    @property
    def gauges(self) -> dict[str, Callable[[], float]]:
        """Functions that return metrics, by name."""
        return {
            "leafs_slow": self._count_slow,
            "reports_received": lambda: self.received_count,
        }

    def _count_slow(self) -> int:
        """Return how many leaves are slow by what this VM knows."""
        now = self._clock.monotonic()
        return sum(
            pool.stats.slowness(now) > observations.SLOW_FACTOR
            for pool in self._registry.pool_by_id.values()
        )

    def _check(self) -> None:
        """Send a report if the known observations have changed notably."""
        if not self._registry.slow_ids and not self._known:
            return
        now = self._clock.monotonic()
        self._observe_own(now)
        self._known.expire(now)
        newest = self._known.newest()
        if not newest:
            self._sent = {}
            return
        if observations.differs_notably(self._sent, newest):
            self._sent = newest
            self.generation += 1
            self._on_change()

    def _observe_own(self, now: float) -> None:
        """Take over what this VM's own answers show."""
        for leaf_id in list(self._registry.slow_ids):
            pool = self._registry.pool_by_id.get(leaf_id)
            measured = pool.stats.measured_slowness(now) if pool else None
            if (
                measured is None
                or measured.value <= observations.SLOW_FACTOR
                or now - measured.sampled_at > observations.LIFETIME_S
            ):
                self._registry.slow_ids.discard(leaf_id)
                continue
            self._known.add(
                leaf_id,
                observations.Observation(
                    vm=self._vm,
                    slowness=measured.value,
                    observed_at=measured.sampled_at,
                ),
            )

    def encode(self) -> dict[str, Any] | None:
        """Return the report for peers; None if no leaf is slow."""
        now = self._clock.monotonic()
        leaves = {
            leaf_id: [
                [
                    each.vm,
                    round(each.slowness * _SLOWNESS_STEPS),
                    max(0, round((now - each.observed_at) * 1000)),
                ]
                for each in found
                if now - each.observed_at <= observations.LIFETIME_S
            ]
            for leaf_id, found in self._sent.items()
        }
        leaves = {leaf_id: rows for leaf_id, rows in leaves.items() if rows}
        if not leaves:
            return None
        return {"generation": self.generation, "leaves": leaves}

    def handle(self, report: dict[str, Any] | None) -> None:
        """Take over the observations of a peer, and apply those agreed on.

        Args:
            report: The report in a peer's state, as `decode` returns it.
        """
        if report is None:
            return
        now = self._clock.monotonic()
        for leaf_id, rows in report["leaves"].items():
            pool = self._registry.pool_by_id.get(leaf_id)
            if pool is None:
                continue
            for vm, tenths, age_ms in rows:
                if vm == self._vm:
                    continue
                self.received_count += 1
                self._known.add(
                    leaf_id,
                    observations.Observation(
                        vm=vm,
                        slowness=tenths / _SLOWNESS_STEPS,
                        observed_at=now - age_ms / 1000,
                    ),
                )
            pool.stats.fleet_observation = self._known.agreed(
                leaf_id, now=now, without_vm=self._vm
            )


def _vm_number(vm_id: str) -> int:
    return base.stable_hash(vm_id) % _VM_HASH_VALUES


def decode(row: Any) -> dict[str, Any] | None:
    """Decode the report of a state.

    Returns:
        The report; None if there is none. A malformed one counts as none,
        since the rest of the state matters more.

    >>> decode({"generation": 2, "leaves": {"a": [[7, 95, 120]]}})
    {'generation': 2, 'leaves': {'a': [(7, 95, 120)]}}
    >>> decode({"generation": 2, "leaves": {"a": [[7, 0, 120]]}})
    """
    if row is None:
        return None
    try:
        return {
            "generation": int(row["generation"]),
            "leaves": {
                str(leaf_id): [_decode_observation(each) for each in rows]
                for leaf_id, rows in row["leaves"].items()
            },
        }
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def _decode_observation(row: Any) -> tuple[int, int, int]:
    vm, tenths, age_ms = row
    # A slowness of zero has no ratio to others.
    if not _SLOWNESS_STEPS <= tenths <= _NUMBER_MAX:
        raise ValueError(f"slowness in leaf report: {tenths}")
    if not 0 <= age_ms <= _NUMBER_MAX:
        raise ValueError(f"age in leaf report: {age_ms}")
    return int(vm), int(tenths), int(age_ms)
