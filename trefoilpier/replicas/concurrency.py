"""Limit on one VM's concurrent calls to a leaf.

Calls beyond a leaf's slots wait in the leaf's own queue, in order of arrival.
The limit keeps them in the VM's wait queue, where their order is controlled.
"""

import math

from trefoilpier.replicas import state

# Calls that may wait at the leaf for each slot, so that the next one is there
# when a slot becomes free: links take 1 to 3 ms and calls often only 10 ms.
_AHEAD_PER_SLOT = 0.5
_ANSWER_TIME_SMOOTHING = 0.2  # Averages about 10 answers.
# Other VMs' calls in a report count half after the time of one answer, but at
# least and at most after these times.
_HALF_LIFE_MIN_S = 0.02
_HALF_LIFE_MAX_S = 1.0
_WAIT_MIN_S = 0.001  # Precision of the wait for an older report.


class ConcurrencyLimit:
    """Limit on the calls that one VM has in flight at a leaf.

    The limit handles bursts: it binds while the leaf's latest report, without
    this VM's own calls, leaves no slot that is free or will be soon. A VM may
    always have its fair share of the slots in flight, and at least one call,
    whatever the leaf reports; the answer to that call brings a new report.
    Without a report there is no limit.

    >>> limit = ConcurrencyLimit(slots=4)
    >>> limit.allows(in_flight=9, vm_count=4, now=1.0)
    True
    >>> full = state.LeafLoad(running=4, waiting=3, slots=4)
    >>> limit.record_report(full, in_flight=0, answer_s=0.03, now=1.0)
    >>> limit.allows(in_flight=0, vm_count=4, now=1.0)
    True
    >>> limit.allows(in_flight=1, vm_count=4, now=1.0)
    False
    >>> limit.allows(in_flight=1, vm_count=4, now=1.1)
    True
    """

    __slots__ = (
        "_answer_s",
        "_entry_slots",
        "_limit",
        "_others",
        "_reported_at",
        "_slots",
    )

    def __init__(self, *, slots: int) -> None:
        """Create a limit that does not bind before the first report.

        Args:
            slots: Slots of the leaf by its registry entry.
        """
        self._entry_slots = max(1, slots)
        self._slots = self._entry_slots
        self._limit = math.inf
        self._others = 0.0
        self._reported_at = 0.0
        self._answer_s = 0.0

    def record_report(
        self,
        load: state.LeafLoad,
        *,
        in_flight: int,
        answer_s: float,
        now: float,
    ) -> None:
        """Record the load that the leaf reported with an answer.

        Args:
            load: The reported load.
            in_flight: This VM's calls in flight without the answered one.
            answer_s: Seconds from sending the call to its answer.
            now: Monotonic time.
        """
        # A leaf that reports too few slots must not stay idle.
        self._slots = max(self._entry_slots, load.slots)
        self._limit = self._slots + math.ceil(_AHEAD_PER_SLOT * self._slots)
        # More running calls than slots cannot be.
        running = min(load.running, self._slots)
        # The report counts the request that it answered.
        others = running + load.waiting - 1 - in_flight
        self._others = float(max(0, others))
        self._reported_at = now
        self._answer_s += _ANSWER_TIME_SMOOTHING * (answer_s - self._answer_s)

    def allows(self, *, in_flight: int, vm_count: int, now: float) -> bool:
        """Return whether one more call may be sent.

        Args:
            in_flight: This VM's calls in flight.
            vm_count: VMs that send calls to the leaf.
            now: Monotonic time.
        """
        if not in_flight or in_flight * vm_count < self._slots:
            return True
        room = self._room(in_flight)
        if self._others <= room:
            return True
        return room > 0.0 and self._current_others(now) <= room

    def wait_s(self, *, in_flight: int, now: float) -> float:
        """Return the seconds until the age of the report allows a call.

        Returns:
            Infinity if a call has to end first.
        """
        room = self._room(in_flight)
        if room <= 0.0:
            return math.inf
        if self._others <= room:
            return 0.0
        half_lives = math.log2(self._others / room)
        age_s = now - self._reported_at
        return max(_WAIT_MIN_S, half_lives * self._half_life_s() - age_s)

    def _room(self, in_flight: int) -> float:
        """Return how many calls of other VMs leave room for one more."""
        # The number of their calls is an estimate, rounded to the nearest.
        return self._limit - in_flight - 0.5

    def _half_life_s(self) -> float:
        return min(_HALF_LIFE_MAX_S, max(_HALF_LIFE_MIN_S, self._answer_s))

    def _current_others(self, now: float) -> float:
        age_s = max(0.0, now - self._reported_at)
        return self._others * 0.5 ** (age_s / self._half_life_s())
