"""A store that gives no response for a while, beside a change of its items."""

import random
from collections.abc import Callable, Iterator

from standins import memory_fleet

# Bounds of the platform, in seconds.
_CONTACT_S = 4.0  # From the end of a silence VMs act by what the store holds.
_CHANGE_KNOWN_S = 3.0  # From the acknowledgement of a change.
_EVACUATION_KNOWN_S = 4.0
# After the routes that precede it. All VMs ask for the next change at the same
# time shortly after these.
_SILENCE_FROM_MAX_S = (0.5, 3.0)
_SILENCE_RANGE_S = (0.05, 3.0)
_CHANGE_BEFORE_MAX_S = 0.3  # Before the silence.
_CHANGE_AFTER_MAX_S = 1.0  # After its end.
_PARTIAL_SHARE = 0.5  # Silences to one VM only.
_LEAF_SERVES_S = 8.0
# From the begin until the last check.
LENGTH_S = 16.0


class Silences:
    """Silences of the store on a fleet that is calm, and their violations."""

    __slots__ = ("_fleet", "_found", "_note_trouble", "_rng", "_used_leaves")

    def __init__(
        self,
        *,
        fleet: memory_fleet.MemoryFleet,
        rng: random.Random,
        note_trouble: Callable[[float], None],
    ) -> None:
        """Create it; `begin` draws a silence.

        Args:
            fleet: The fleet.
            rng: Source of random numbers.
            note_trouble: Called at the begin of each silence with its seconds.
        """
        self._note_trouble = note_trouble
        self._fleet = fleet
        self._rng = rng
        # Leaves that have left, with the time from which nobody uses them.
        self._used_leaves: list[tuple[str, float]] = []
        self._found: list[str] = []

    def begin(self) -> str:
        """Begin a silence; return its name."""
        rng, fleet = self._rng, self._fleet
        vms = []
        if rng.random() < _PARTIAL_SHARE:
            vms = [rng.choice(fleet.gatherers)]
        fleet.write_routes()
        start_s = rng.uniform(0.0, rng.choice(_SILENCE_FROM_MAX_S))
        silence_s = rng.uniform(*_SILENCE_RANGE_S)
        self._silence(start_s, silence_s, vms)
        end_s = start_s + silence_s
        if rng.random() < 0.5:
            change_s = end_s + rng.uniform(0.0, _CHANGE_AFTER_MAX_S)
        else:
            change_s = max(
                0.0, start_s - rng.uniform(0.0, _CHANGE_BEFORE_MAX_S)
            )
        in_touch_s = end_s + _CONTACT_S
        change, name = rng.choice(
            (
                (self._change_routes, "routes"),
                (self._drain_leaf, "a leaf that drains"),
                (self._remove_leaf, "a leaf that leaves without a word"),
                (self._evacuate, "an evacuation"),
            )
        )
        fleet.clock.call_later(change_s, change, in_touch_s - change_s)
        whom = ", ".join(vm.name for vm in vms) or "all VMs"
        return (
            f"store silent to {whom} for {silence_s:.2f} s in {start_s:.2f} s, "
            f"{name} at {change_s:.2f} s"
        )

    def _silence(
        self,
        start_s: float,
        silence_s: float,
        vms: list[memory_fleet.MemoryVm],
    ) -> None:
        faults = self._fleet.model.faults
        names = frozenset(vm.name for vm in vms)

        def begin() -> None:
            faults.silent, faults.silent_to = not names, names
            self._note_trouble(silence_s)

        def end() -> None:
            faults.silent, faults.silent_to = False, frozenset()

        self._fleet.clock.call_later(start_s, begin)
        self._fleet.clock.call_later(start_s + silence_s, end)

    def _check_later(
        self, known_s: float, in_touch_s: float, check: Callable[[], None]
    ) -> None:
        """Check once a change is due at VMs that are in touch by then."""
        due_s = max(known_s, in_touch_s)
        self._fleet.clock.call_later(due_s, check)

    def _change_routes(self, in_touch_s: float) -> None:
        version = self._fleet.write_routes()

        def check() -> None:
            for vm in self._fleet.gatherers:
                if vm.process is not None and vm.process.version < version:
                    self._found.append(
                        f"{vm.name} has routes {vm.process.version}, not "
                        f"{version}, {in_touch_s:.1f} s in touch"
                    )

        self._check_later(_CHANGE_KNOWN_S, in_touch_s, check)

    def _choose_leaf(self) -> str | None:
        """Return a leaf whose shard has others, or None."""
        by_shard: dict[int, list[str]] = {}
        for leaf_id, each in self._fleet.leaf_by_id.items():
            if each.stays and each.shard < self._fleet.shard_count:
                by_shard.setdefault(each.shard, []).append(leaf_id)
        candidates = [ids for ids in by_shard.values() if len(ids) > 1]
        if not candidates:
            return None
        return self._rng.choice(self._rng.choice(candidates))

    def _drain_leaf(self, in_touch_s: float) -> None:
        leaf_id = self._choose_leaf()
        if leaf_id is not None:
            self._fleet.drain_leaf(leaf_id, _LEAF_SERVES_S)
            self._note_leaving(leaf_id, in_touch_s)

    def _remove_leaf(self, in_touch_s: float) -> None:
        leaf_id = self._choose_leaf()
        if leaf_id is not None:
            self._fleet.remove_without_drain(leaf_id)
            self._note_leaving(leaf_id, in_touch_s)

    def _note_leaving(self, leaf_id: str, in_touch_s: float) -> None:
        due_s = max(_CHANGE_KNOWN_S, in_touch_s)
        due_at = self._fleet.clock.monotonic() + due_s
        self._used_leaves.append((leaf_id, due_at))

    def _evacuate(self, in_touch_s: float) -> None:
        operator = self._fleet.operator
        zone = self._rng.choice(self._fleet.zones)
        operator.evacuate(zone)

        def check() -> None:
            for vm in self._fleet.gatherers:
                if vm.process is None:
                    continue
                if not vm.process.gauges["zones_evacuated"]():
                    self._found.append(f"{vm.name} does not know of {zone}")
            operator.take_back(zone)

        self._check_later(_EVACUATION_KNOWN_S, in_touch_s, check)

    def violations(self) -> Iterator[str]:
        """Return what was violated."""
        yield from self._found
        for leaf_id, due_at in self._used_leaves:
            late_s = (
                self._fleet.leaf_by_id[leaf_id].leaf.last_request_at - due_at
            )
            if late_s > 0:
                yield (
                    f"leaf {leaf_id} got a request {late_s:.2f} s too late "
                    "after a silence of the store"
                )
