"""Orders of events that once broke a guarantee, drawn by the fuzz."""

import random
from collections.abc import Callable, Iterator, Mapping

from standins import leaf_rules, memory_fleet, published_protocol
from trefoilpier.fleet import directory as vm_records

# Each VM knows of an evacuation this long after it at the latest.
_EVACUATION_KNOWN_S = leaf_rules.EVACUATE_S
_EVACUATED_S = 2.0  # Length of the first evacuation.
_DEAF_S = 1.0  # Time in which the store's watches hear of no changes.
# From the end of the first evacuation: watches that last 4 s end while the
# store is deaf, or wait until it has dropped its history.
_DEAF_AFTER_RANGE_S = (1.5, 4.5)
_ENTRY_MISSING_S = 0.01  # Of a live leaf whose entry has expired.
_EXPIRED_SHARE = 0.4
_REGISTERED_AGAIN_S = 4.0  # Each VM knows the leaf again after this time.
_OLD_LEAVES = 20  # Of an index that is replaced.
_OLD_LEAVES_DRAIN_S = 4.0
_WAVE_S = 2.0  # Between the two times at which they leave.
_STORM_VERSIONS = 3
_STORM_GAP_RANGE_S = (0.1, 0.5)  # Between versions of the routes.
_MOVED_S = 4.0  # Time for which a route is moved.
_BURST_RANGE = (15, 40)  # At each gatherer, so that calls wait there.
_BURST_AT_S = 0.2
_BUSY_S = 2.4  # Time in which leaves hold up what they have got.
_STOP_REQUESTS_GAP_S = 0.05
_STOP_SLOW_FROM_S = 2.0
_STOP_SLOW_FACTOR = 80.0  # Makes requests take about 0.4 s.
_STOP_LENGTH_MAX_S = 6.0
_RESTART_S = 0.5
# While all gatherers stop, those that relay to them are judged for this time.
_GATHERERS_SERVE_S = 1.5
_GATHERERS_SERVED_MIN = 0.9
# Between the expiry of one VM's record and that of the others'.
_RECORDS_GAP_S = 14.8
_RECORDS_MISSING_S = 2.0
_RECORDS_CHECK_PAUSE_S = 0.1
_RECORDS_CHECKS = 20
# A stopping VM may close a connection so long after a request, if it was not
# sent to a leaf.
_LOSS_SLACK_S = 0.2
_TIMEOUT_MAX_S = 1.5


class IncidentSequences:
    """Sequences on a fleet, and what they have violated.

    Attributes:
        applied: Names of the sequences that were begun.
    """

    __slots__ = (
        "_fleet",
        "_found",
        "_gatherers_stopped_at",
        "_is_judged",
        "_outages_by_vm",
        "_rng",
        "_stops",
        "applied",
    )

    def __init__(
        self,
        *,
        fleet: memory_fleet.MemoryFleet,
        rng: random.Random,
        is_judged: Callable[[str, float], bool],
        outages_by_vm: Mapping[str, list[tuple[float, float]]],
    ) -> None:
        """Create it; `begin` draws a sequence.

        Args:
            fleet: The fleet.
            rng: Source of random numbers.
            is_judged: Returns whether a VM was in touch with the store at a
                time.
            outages_by_vm: Time of each kill, and of the start that followed.
        """
        self._fleet = fleet
        self._rng = rng
        self._is_judged = is_judged
        self._outages_by_vm = outages_by_vm
        # VM, start and end of each graceful stop.
        self._stops: list[tuple[str, float, float]] = []
        # When all gatherers were stopped.
        self._gatherers_stopped_at: list[float] = []
        self._found: list[str] = []
        self.applied: list[str] = []

    def begin(self) -> str:
        """Begin a sequence; return its name."""
        sequences: tuple[Callable[[], str], ...] = (
            self._stop_while_used,
            self._evacuate_unheard,
            self._entries_expire,
            self._old_index_leaves,
            self._move_route_and_back,
            self._odd_entries,
        )
        name = self._rng.choice(sequences)()
        self.applied.append(name)
        return name

    def _later(self, seconds: float, callback: Callable, *args: object) -> None:
        """Do something later, unless the store is down then."""

        def run() -> None:
            if not self._fleet.model.faults.down:
                callback(*args)

        self._fleet.clock.call_later(seconds, run)

    def _staying(self) -> list[str]:
        return [
            leaf_id
            for leaf_id, each in self._fleet.leaf_by_id.items()
            if each.stays and each.shard < self._fleet.shard_count
        ]

    def _stop_while_used(self) -> str:
        """Stop a VM to which callers are sent until its process has ended."""
        fleet = self._fleet
        running = [vm for vm in fleet.vms if vm.process is not None]
        if not running:
            return "no VM is stopped: none runs"
        vm = self._rng.choice(running)
        process = vm.process
        started_at = fleet.clock.monotonic()
        vm.terminate()

        def slow_down(factor: float) -> None:
            for each in fleet.leaf_by_id.values():
                each.leaf.faults.slow_factor = factor

        def send() -> None:
            if vm.process is process:
                fleet.send_request(b"/w/1", b"POST", vm)
                fleet.clock.call_later(_STOP_REQUESTS_GAP_S, send)
                return
            ended_at = fleet.clock.monotonic()
            if not any(
                started_at <= killed_at <= ended_at
                for killed_at, _ in self._outages_by_vm[vm.name]
            ):
                self._stops.append((vm.name, started_at, ended_at))
            fleet.clock.call_later(_RESTART_S, vm.start)

        fleet.clock.call_later(_STOP_SLOW_FROM_S, slow_down, _STOP_SLOW_FACTOR)
        fleet.clock.call_later(_STOP_LENGTH_MAX_S, slow_down, 1.0)
        send()
        return f"{vm.name} stops while it is used"

    def stop_all_gatherers(self) -> str:
        """Stop all gatherers, while others relay requests to them.

        Other faults must have ended; a stop and the start take some 7 s.
        """
        fleet = self._fleet
        self._gatherers_stopped_at.append(fleet.clock.monotonic())
        for vm in fleet.gatherers:
            process = vm.process
            vm.terminate()
            fleet.clock.call_later(
                _STOP_LENGTH_MAX_S + _RESTART_S, self._start_again, vm, process
            )
        return "all gatherers stop"

    def expire_records(self) -> str:
        """Let a VM's record expire, and those of the others 15 s later.

        A lower number of VMs counts after that time. Other faults must have
        ended.
        """
        fleet = self._fleet
        first, *others = fleet.gatherers
        fleet.model.delete(vm_records.VM_KEY_PREFIX + first.name)

        def expire_others() -> None:
            for vm in others:
                vm.cut_from_store(memory_fleet.LeafCut.SILENT)
                fleet.model.delete(vm_records.VM_KEY_PREFIX + vm.name)

        def end() -> None:
            for vm in others:
                vm.cut_from_store(None)

        later = fleet.clock.call_later
        later(_RECORDS_GAP_S, expire_others)
        for number in range(_RECORDS_CHECKS):
            later(
                _RECORDS_GAP_S + number * _RECORDS_CHECK_PAUSE_S,
                self._check_vm_count,
                first,
            )
        later(_RECORDS_GAP_S + _RECORDS_MISSING_S, end)
        return "records of all gatherers expire, the others' 15 s later"

    def _check_vm_count(self, vm: memory_fleet.MemoryVm) -> None:
        """Check that a VM does not take the shares of those that run."""
        if vm.process is None:
            return
        count = vm.process.engine_by_role["gather"].vm_count
        running = sum(
            each.process is not None for each in self._fleet.gatherers
        )
        if count < running:
            self._found.append(
                f"{vm.name} divides by {count} VMs while {running} run"
            )

    def _start_again(self, vm: memory_fleet.MemoryVm, process: object) -> None:
        """Start a VM that has stopped, unless another process runs."""
        if vm.process in (None, process):
            vm.kill()
            vm.start()

    def _check_relayed(self, stopped_at: float) -> Iterator[str]:
        gatherers = {vm.name for vm in self._fleet.gatherers}
        relayed = [
            answer
            for answer in self._fleet.answers
            if answer.vm not in gatherers
            and answer.target in (b"/r/1", b"/g/1", b"/g/2")
            and stopped_at <= answer.sent_at <= stopped_at + _GATHERERS_SERVE_S
        ]
        served = sum(answer.status == 200 for answer in relayed)
        if served < _GATHERERS_SERVED_MIN * len(relayed):
            yield (
                f"{served} of {len(relayed)} relayed requests are served while "
                f"all gatherers stop"
            )

    def _evacuate_unheard(self) -> str:
        """Write an evacuation and routes before the store drops its history."""
        operator = self._fleet.operator
        zone = self._rng.choice(self._fleet.zones)
        deaf_after_s = _EVACUATED_S + self._rng.uniform(*_DEAF_AFTER_RANGE_S)
        again_s = deaf_after_s + 0.3 * _DEAF_S
        self._later(0.0, operator.evacuate, zone)
        self._later(_EVACUATED_S, operator.take_back, zone)
        self._later(
            deaf_after_s, self._fleet.model.compact_after_deafness, _DEAF_S
        )
        self._later(again_s, self._fleet.write_routes)
        self._later(again_s, operator.evacuate, zone)
        known_s = again_s + _EVACUATION_KNOWN_S
        self._later(known_s, self._check_evacuated, zone)
        self._later(known_s + 0.1, operator.take_back, zone)
        return f"{zone} evacuated unheard"

    def _check_evacuated(self, zone: str) -> None:
        if zone not in self._fleet.operator.zones:
            return
        now = self._fleet.clock.monotonic()
        for vm in self._fleet.gatherers:
            if vm.process is None or not self._is_judged(vm.name, now):
                continue
            if not vm.process.gauges["zones_evacuated"]():
                self._found.append(
                    f"{vm.name} has forgotten that {zone} is evacuated"
                )

    def _entries_expire(self) -> str:
        """Remove entries of live leaves, which write them again at once."""
        fleet = self._fleet
        staying = self._staying()
        count = round(_EXPIRED_SHARE * len(staying))
        for leaf_id in self._rng.sample(staying, count):
            self._later(0.0, fleet.expire_entry, leaf_id, _ENTRY_MISSING_S)
        self._later(_REGISTERED_AGAIN_S, self._check_known)
        return f"entries of {count} live leaves expire"

    def _check_known(self) -> None:
        now = self._fleet.clock.monotonic()
        registered = set(self._fleet.registered_leaf_ids())
        for vm in self._fleet.gatherers:
            if vm.process is None or not self._is_judged(vm.name, now):
                continue
            unknown = registered - set(vm.process.known_leaf_ids)
            unknown &= set(self._staying())
            if unknown:
                self._found.append(
                    f"{vm.name} does not know {len(unknown)} registered leaves"
                )

    def _old_index_leaves(self) -> str:
        """Let the drained leaves of an old index go, and one without a word."""
        fleet = self._fleet
        by_shard: dict[int, list[str]] = {}
        for leaf_id in self._staying():
            by_shard.setdefault(fleet.leaf_by_id[leaf_id].shard, []).append(
                leaf_id
            )
        candidates = [ids for ids in by_shard.values() if len(ids) > 2]
        if not candidates or fleet.model.faults.down:
            return "no old index leaves"
        gone = self._rng.choice(self._rng.choice(candidates))
        number = 100 + 10 * len(self.applied)
        old = [fleet.add_leaf(number + k % 5, k) for k in range(_OLD_LEAVES)]
        for k, leaf_id in enumerate(old):
            wave_s = _WAVE_S * (2 * k >= _OLD_LEAVES)
            self._later(
                1.0, fleet.drain_leaf, leaf_id, _OLD_LEAVES_DRAIN_S + wave_s
            )
        self._later(1.2 + _OLD_LEAVES_DRAIN_S, fleet.remove_without_drain, gone)
        return f"an old index leaves, and {gone} without a word"

    def _move_route_and_back(self) -> str:
        """Move routes in a storm while calls wait, and back later."""
        fleet = self._fleet
        if fleet.model.faults.down:
            return "no route is moved: the store is down"
        leaves = [fleet.leaf_by_id[leaf_id].leaf for leaf_id in self._staying()]
        for leaf in leaves:
            leaf.faults.stopped = True

        def resume() -> None:
            for leaf in leaves:
                leaf.faults.stopped = False
                leaf.resume()

        def burst() -> None:
            for vm in fleet.gatherers:
                for _ in range(self._rng.randint(*_BURST_RANGE)):
                    fleet.send_request(b"/g/burst", b"GET", vm)

        fleet.clock.call_later(_BURST_AT_S, burst)
        fleet.clock.call_later(_BUSY_S, resume)
        storm_s = _BURST_AT_S
        for _ in range(_STORM_VERSIONS):
            storm_s += self._rng.uniform(*_STORM_GAP_RANGE_S)
            self._later(storm_s, fleet.write_moved_routes)
        fleet.clock.call_later(storm_s + _MOVED_S, self._move_back)
        return "routes move in a storm, and back"

    def _move_back(self) -> None:
        if self._fleet.model.faults.down:
            self._fleet.clock.call_later(_RESTART_S, self._move_back)
        else:
            self._fleet.write_routes()

    def _odd_entries(self) -> str:
        """Write entries that another writer has left."""
        for number, value in enumerate(published_protocol.ODD_VALUES):
            for prefix in ("servers/", "tier/vms/", "tier/quarantine/"):
                self._later(
                    0.0,
                    self._fleet.model.put,
                    f"{prefix}odd-{number}",
                    value,
                    None,
                    "",
                )
        return "odd entries"

    def violations(self) -> Iterator[str]:
        """Return what the sequences have violated."""
        yield from self._found
        for stopped_at in self._gatherers_stopped_at:
            yield from self._check_relayed(stopped_at)
        ran = {
            request_id
            for each in self._fleet.leaf_by_id.values()
            for request_id in each.leaf.runs
        }
        for answer in self._fleet.answers:
            if (
                answer.status == 503
                and answer.id in ran
                and (answer.target == b"/w/1")
            ):
                yield f"{answer.id!r} ran and was answered 503"
            if answer.status or (
                answer.id not in ran and answer.took_s <= _LOSS_SLACK_S
            ):
                continue
            for vm, started_at, ended_at in self._stops:
                planned = started_at - _TIMEOUT_MAX_S <= answer.sent_at
                if (
                    answer.vm == vm
                    and planned
                    and answer.sent_at <= ended_at
                    and answer.sent_at + answer.took_s >= ended_at - 0.1
                ):
                    yield (
                        f"{vm} cut {answer.target!r}, taken "
                        f"{answer.sent_at - started_at:.1f} s into its stop"
                    )
