"""Leaves that are cold: slow, and intolerant of load, until they are warm.

A cold leaf tolerates a rate of requests from all VMs together and crashes well
above it. Each VM sends at an equal share of that rate, at times that interleave
with those of the other VMs.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from trefoilpier import base
from trefoilpier.replicas import entry as entries
from trefoilpier.replicas import pool, rate_limit

# The bound on requests holds for any time of this length.
_WINDOW_S = 1.0
# From the use of a send time to the arrival of the request: the longest wait
# for a connection.
_ARRIVAL_DELAY_MAX_S = 0.4
# Send times can be used up to this long after they are due, or longer if the
# bound leaves room. Callers do not come at the send times.
_LIFETIME_MIN_S = 0.1
_LIFETIME_MAX_S = 1.0
# Requests kept in reserve for VMs that do not share their send times well: one
# that has started again, or lists of VMs that differ for a moment.
_RESERVE = 2.0
# VMs that are not in the list of gatherers send to leaves only if no gatherer
# answers them. Nobody knows their number; fleets have up to 195 VMs.
_UNLISTED_VM_COUNT = 200
# An entry may arrive this much later than the previous one of its leaf.
_ENTRY_DELAY_MAX_S = 1.0
_PHASE_STEPS = 1024  # Resolution of the phase of a leaf or an unlisted VM.


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdBounds:
    """How far requests to a cold leaf may exceed the rate that it tolerates.

    In any second, all VMs together may send at most rate x factor + slack.

    Attributes:
        factor: Factor on the rate.
        slack: Requests tolerated in addition.
    """

    factor: float = 1.0
    slack: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdService:
    """Properties of the cold leaves of a service.

    Attributes:
        rate: Requests a second that one tolerates from all VMs together; 0 for
            no limit.
        cold_s: Seconds for which a leaf is cold after its start.
    """

    rate: float = 0.0
    cold_s: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdPace:
    """How all VMs together send to a cold leaf.

    Attributes:
        rate: Send times a second.
        lifetime_s: Seconds for which one that is not used can be used later.
    """

    rate: float
    lifetime_s: float


def pace(tolerated_rate: float, bounds: ColdBounds) -> ColdPace:
    """Return a pace at which arrivals stay within the bounds.

    Requests that arrive within a window have used send times that were due in
    the window or before it, by at most their lifetime and the delay of the
    arrival. Send times are evenly spaced over all VMs, so that such a time has
    at most one more than its length times their rate.

    >>> pace(4.0, ColdBounds(factor=1.5, slack=5.0))
    ColdPace(rate=4.0, lifetime_s=0.6)
    """
    most = tolerated_rate * bounds.factor + bounds.slack
    usable = max(most - 1.0 - _RESERVE, most / 2)
    span_s = _WINDOW_S + _ARRIVAL_DELAY_MAX_S
    rate = min(tolerated_rate, usable / (span_s + _LIFETIME_MIN_S))
    lifetime_s = min(_LIFETIME_MAX_S, usable / rate - span_s)
    return ColdPace(rate=rate, lifetime_s=round(lifetime_s, 6))


class ColdLeaves:
    """Which leaves are cold, and when this VM may send to them."""

    __slots__ = (
        "_bounds",
        "_clock",
        "_limited",
        "_log",
        "_service_by_name",
        "_vm_id",
        "_vm_ids",
    )

    def __init__(
        self,
        *,
        clock: base.Clock,
        log: base.EventLog,
        vm_id: str,
        bounds: ColdBounds,
    ) -> None:
        """Create it without services and leaves.

        Args:
            clock: Source of time and timers.
            log: Log of events.
            vm_id: Name of this VM.
            bounds: Bounds on the requests to a cold leaf.
        """
        self._clock = clock
        self._log = log
        self._vm_id = vm_id
        self._bounds = bounds
        self._vm_ids: tuple[str, ...] = ()
        self._service_by_name: Mapping[str, ColdService] = {}
        # Cold leaves with a limit; each has a timer until it is warm.
        self._limited: set[pool.LeafPool] = set()

    def set_services(
        self,
        service_by_name: Mapping[str, ColdService],
        pools: Iterable[pool.LeafPool],
    ) -> None:
        """Set the properties of the services' cold leaves.

        Args:
            service_by_name: Properties by service.
            pools: All leaves.
        """
        if service_by_name == self._service_by_name:
            return
        self._service_by_name = service_by_name
        self._update_pacers()
        for each in pools:
            self.handle_added(each)

    def set_vms(self, vm_ids: Iterable[str]) -> None:
        """Set the VMs that share the rate, in an order that all agree on."""
        vm_ids = tuple(vm_ids)
        if vm_ids != self._vm_ids:
            self._vm_ids = vm_ids
            self._update_pacers()

    def _update_pacers(self) -> None:
        for limited in list(self._limited):
            limited.set_cold_pacer(self._make_pacer(limited))

    def handle_added(self, added: pool.LeafPool) -> None:
        """Limit the requests to a new leaf whose entry says that it is cold."""
        if added.stats.is_cold(self._clock.monotonic()):
            self._limit(added)

    def handle_taken_back(self, taken_back: pool.LeafPool) -> None:
        """Count a leaf that was evacuated as cold, as after a start."""
        service = self._service_by_name.get(taken_back.entry.service)
        if service is not None:
            self._extend(taken_back, service.cold_s)

    def handle_entry(
        self, changed: pool.LeafPool, previous: entries.LeafEntry
    ) -> bool:
        """Note whether an entry shows that its leaf is cold again.

        An entry that was written since may state the same time as before, or a
        shorter one, and yet more than what should be left. One that is read
        again states nothing new.

        Returns:
            Whether the leaf has become cold.
        """
        stated_s = changed.entry.warm_up_s
        if stated_s <= 0.0:
            return False
        risen = stated_s > previous.warm_up_s
        if not risen and changed.entry.revision != previous.revision:
            now = self._clock.monotonic()
            left_s = max(0.0, changed.stats.warm_up_until - now)
            risen = stated_s > left_s + _ENTRY_DELAY_MAX_S
        return risen and self.mark_cold(changed, stated_s)

    def mark_cold(self, cold: pool.LeafPool, seconds: float) -> bool:
        """Count a leaf as cold that says so; return whether it was not."""
        was_cold = cold.stats.is_cold(self._clock.monotonic())
        self._extend(cold, seconds)
        if was_cold or not seconds:
            return False
        service = self._service_by_name.get(cold.entry.service, ColdService())
        self._log.emit(
            base.Event.LEAF_COLD,
            leaf=cold.entry.id,
            service=cold.entry.service,
            cold_s=seconds,
            rate=service.rate or None,
        )
        return True

    def _extend(self, cold: pool.LeafPool, seconds: float) -> None:
        until = self._clock.monotonic() + seconds
        if until > cold.stats.warm_up_until:
            cold.stats.warm_up_until = until
            self._limit(cold)

    def _limit(self, cold: pool.LeafPool) -> None:
        """Pace the requests to a leaf until it is warm."""
        service = self._service_by_name.get(cold.entry.service)
        if service is None or not service.rate or cold in self._limited:
            return
        self._limited.add(cold)
        cold.set_cold_pacer(self._make_pacer(cold))
        self._await_warm(cold)

    def _await_warm(self, cold: pool.LeafPool) -> None:
        left_s = cold.stats.warm_up_until - self._clock.monotonic()
        if left_s > 0.0:
            self._clock.call_later(left_s, self._await_warm, cold)
            return
        self._limited.discard(cold)
        cold.set_cold_pacer(None)

    def _make_pacer(
        self, cold: pool.LeafPool
    ) -> rate_limit.RequestPacer | None:
        """Return this VM's pacer for a leaf; None if it has no limit.

        The send times of all VMs are multiples of one interval of the wall
        clock and interleave by the VMs' order. So they stay evenly spaced
        although VMs learn of a cold leaf at different times, and a VM that
        starts again gets the send times that it had.
        """
        service = self._service_by_name.get(cold.entry.service)
        if service is None or not service.rate:
            return None
        shared = pace(service.rate, self._bounds)
        vm_count, position = _UNLISTED_VM_COUNT, _hash_share(self._vm_id)
        if self._vm_id in self._vm_ids:
            vm_count = len(self._vm_ids)
            position = self._vm_ids.index(self._vm_id) / vm_count
        intervals = self._clock.utc_now().timestamp() * shared.rate / vm_count
        phase = position + _hash_share(cold.entry.id) - intervals
        pacer = rate_limit.RequestPacer(
            phase=phase - math.floor(phase),
            lifetime_s=shared.lifetime_s,
            rate_min=0.0,
        )
        pacer.set_rate(
            shared.rate, vm_count=vm_count, now=self._clock.monotonic()
        )
        return pacer


def _hash_share(name: str) -> float:
    return (base.stable_hash(name) % _PHASE_STEPS) / _PHASE_STEPS
