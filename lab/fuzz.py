"""Random faults on a whole fleet, and what must hold all the same.

A run is repeated by its seed. It ends with a quiet time, after which the fleet
must have recovered.
"""

import collections
import pathlib
import random
import tempfile
import traceback
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lab import crashing, event_rows, sequences, silences
from standins import kept_caller, leaf_rules, memory_fleet, opaque_caller
from trefoilpier import base, fleet, http1

SIZES = memory_fleet.FleetSizes(large=3, small=5, zones=3, shards=4)
_START_WAIT_S = 3.0
_FAULTS_S = 14.0  # Time in which faults begin.
_GAP_RANGE_S = (0.2, 1.2)  # Between two faults.
_RESTART_RANGE_S = (0.3, 2.0)
_OUTAGE_RANGE_S = (0.3, 3.0)
_COPY_AGE_RANGE_S = (0.5, 4.0)
_SLOW_ANSWER_S = 0.3  # Delay of each answer of a slow store.
# Longer than the fleet may take to recover once all faults have ended.
_QUIET_S = 12.0
_RATE = 30.0  # Requests a second.
_JUDGED_S = 3.0  # Time after the quiet one in which answers are judged.
_WHOLE_MIN = 0.99  # Share of these answers.
_LEAF_LEAVES_AFTER_S = 5.0
_SAYS_LEAVING_SHARE = 0.5  # Leaves that also say so in their answers.
_REPLICAS_MIN = 2  # Leaves that a shard keeps.
_RATE_LIMIT_RANGE = (1.0, 8.0)  # Requests a second that a leaf names.
_LIMIT_RANGE_S = (5.0, 9.0)  # Time for which it names them.
# The platform judges a VM from this time after its start.
_CONTACT_S = 4.0
_TIMEOUT_MAX_S = 1.5  # Of a request that a kill may cut off.
# Long enough for the platform to judge the VMs that are cut off.
_CUT_RANGE_S = (7.0, 10.0)
# A leaf gets no new requests this long after it announced that it leaves, if
# the store has been stable around that.
_DRAIN_S = 3.0
# Popular requests of two kinds, which run beside all others.
_TARGETS = (b"/g/1", b"/g/2", b"/r/1")
# A leaf that crashed is replaced in the store, and its successor has got
# connections, within this time.
_REPLACED_S = 5.0
_CRASH_SHARES = (0.05, 0.3, 1.0)  # Leaves that crash at the same time.
_STABLE_S = 4.0
# Orders of events of past incidents: one begins among the faults, one when the
# fleet has recovered. They take up to 14 s.
_SEQUENCE_FROM_RANGE_S = (0.0, 8.0)
_CALM_SEQUENCE_S = 15.0
_GATHERERS_STOP_SHARE = 0.5  # Runs in which all gatherers stop in the end.
_GATHERERS_STOP_S = 12.0  # Until they gather again.
_RECORDS_EXPIRE_SHARE = 0.3  # Runs in which VMs' records expire in the end.
_RECORDS_EXPIRE_S = 24.0  # Until all are registered again.
_SILENCES_MAX = 2  # Of the store, once the fleet has recovered.
_ODD_TIMES = 2  # Times in a run in which leaves answer with odd statuses.
_ODD_SHARE_RANGE = (0.05, 0.5)
_ODD_RANGE_S = (0.5, 2.0)
_STATUSES = frozenset((0, *range(200, 600)))  # 0 for a lost connection.
_FAULTY_LEAVES_SHARE = 0.5
_RESETS = 2  # Times in a run in which leaves reset answers and run on.
_RESET_ANSWERS_RANGE = (0.05, 0.6)
_RESET_RANGE_S = (1.0, 3.0)
# Requests over kept connections, in forms that are drawn.
_KEPT_GAP_RANGE_S = (0.0, 0.6)
_KEPT_REQUESTS_MAX = 3  # Sent at once on one connection.
_KEPT_TARGETS = (
    (b"GET", b"/r/kept"),
    (b"GET", b"/g/kept"),
    (b"POST", b"/r/kept"),
)
_KEPT_DEADLINE_S = 1.5


@dataclass(slots=True, kw_only=True, frozen=True)
class _Cut:
    """A time in which VMs had no path to the leaves.

    Attributes:
        vms: Names of the VMs.
        start: Monotonic time at which it began.
        end: Monotonic time at which it ended.
    """

    vms: tuple[str, ...]
    start: float
    end: float


class FleetFuzz:
    """One run with random faults.

    Attributes:
        applied: The faults so far, with their times since the start.
        fleet: The fleet.
    """

    __slots__ = (
        "_gatherers_rng",
        "_kept_callers",
        "_kept_count",
        "_kept_rng",
        "_log",
        "_next_replica",
        "_odd_rng",
        "_outages_by_vm",
        "_rng",
        "_reset_rng",
        "_sequence_rng",
        "_crashing",
        "_cuts",
        "_sequences",
        "_silence_rng",
        "_silences",
        "_started_at",
        "_starts",
        "_store_trouble",
        "applied",
        "fleet",
    )

    def __init__(self, *, directory: pathlib.Path, seed: int) -> None:
        """Create a fleet that does not run.

        Args:
            directory: Directory of the VMs' settings files.
            seed: Seed of everything random.
        """
        self._rng = random.Random(seed)
        # Drawn apart, so that the other faults of a seed stay the same.
        self._reset_rng = random.Random(f"resets {seed}")
        self._odd_rng = random.Random(f"odd statuses {seed}")
        self._gatherers_rng = random.Random(f"gatherers {seed}")
        self._kept_rng = random.Random(f"kept {seed}")
        self._kept_count = 0
        self._log = event_rows.EventRows()
        self.fleet = memory_fleet.MemoryFleet(
            directory=directory,
            log=self._log,
            sizes=SIZES,
            seed=seed,
        )
        self._crashing = crashing.CrashingRequests(
            fleet=self.fleet, rng=self._rng
        )
        self._kept_callers = [
            kept_caller.KeptCaller(
                reactor=self.fleet.net,
                clock=self.fleet.clock,
                rng=self._kept_rng,
                host=vm.host,
                port=memory_fleet.CALLER_PORT,
                headers=_kept_headers,
            )
            for vm in self.fleet.vms
        ]
        self._next_replica = 3
        self._started_at = self.fleet.clock.monotonic()
        # Start and end of each time in which the store was not stable.
        self._store_trouble: list[tuple[float, float]] = []
        self._cuts: list[_Cut] = []
        # Times at which VMs were started, and the time of each kill with the
        # start that followed, by VM.
        self._starts: list[float] = []
        self._outages_by_vm: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self._sequence_rng = random.Random(f"sequences {seed}")
        self._sequences = sequences.IncidentSequences(
            fleet=self.fleet,
            rng=self._sequence_rng,
            is_judged=self._is_judged,
            outages_by_vm=self._outages_by_vm,
        )
        self._silence_rng = random.Random(f"silences {seed}")
        self._silences = silences.Silences(
            fleet=self.fleet,
            rng=self._silence_rng,
            note_trouble=self._note_store_trouble,
        )
        self.applied: list[str] = []

    def run(self) -> list[str]:
        """Run, and return what was violated."""
        self.fleet.start_all()
        self.fleet.clock.advance(_START_WAIT_S)
        self._schedule_next(self.fleet.clock.monotonic() + _FAULTS_S)
        for _ in range(_RESETS):
            at = self._reset_rng.uniform(0.0, _FAULTS_S)
            self.fleet.clock.call_later(at, self._reset_answers)
        for _ in range(_ODD_TIMES):
            at = self._odd_rng.uniform(0.0, _FAULTS_S)
            self.fleet.clock.call_later(at, self._answer_oddly)
        at = self._sequence_rng.uniform(*_SEQUENCE_FROM_RANGE_S)
        self.fleet.clock.call_later(at, self._begin_sequence)
        self._send_kept()
        self._run_load(_FAULTS_S + _QUIET_S)
        self._begin_sequence()
        self._run_load(_CALM_SEQUENCE_S)
        if self._gatherers_rng.random() < _GATHERERS_STOP_SHARE:
            self._note_applied(self._sequences.stop_all_gatherers())
            self._run_load(_GATHERERS_STOP_S)
        if self._gatherers_rng.random() < _RECORDS_EXPIRE_SHARE:
            self._note_applied(self._sequences.expire_records())
            self._run_load(_RECORDS_EXPIRE_S)
        for _ in range(self._silence_rng.randint(0, _SILENCES_MAX)):
            self._note_applied(self._silences.begin())
            self._run_load(silences.LENGTH_S)
        return list(self._violations(self._run_load(_JUDGED_S)))

    def _run_load(self, seconds: float) -> list[memory_fleet.FleetAnswer]:
        """Run the usual load; return its answers."""
        answers = self.fleet.run_load(
            seconds=seconds, rate=_RATE, targets=_TARGETS
        )
        return [each for each in answers if each.target in _TARGETS]

    def _send_kept(self) -> None:
        """Send requests over kept connections from now on."""
        requests = []
        for _ in range(self._kept_rng.randint(1, _KEPT_REQUESTS_MAX)):
            self._kept_count += 1
            method, target = self._kept_rng.choice(_KEPT_TARGETS)
            requests.append(
                kept_caller.KeptRequest(
                    id=b"kept%d" % self._kept_count,
                    method=method,
                    target=target,
                    on_end=lambda response: None,
                )
            )
        self._kept_rng.choice(self._kept_callers).send(*requests)
        gap_s = self._kept_rng.uniform(*_KEPT_GAP_RANGE_S)
        self.fleet.clock.call_later(gap_s, self._send_kept)

    def _schedule_next(self, end_at: float) -> None:
        def apply() -> None:
            if self.fleet.clock.monotonic() < end_at:
                self._apply_fault()
                self._schedule_next(end_at)

        self.fleet.clock.call_later(self._rng.uniform(*_GAP_RANGE_S), apply)

    def _apply_fault(self) -> None:
        faults: tuple[Callable[[], str], ...] = (
            self._kill_vm,
            self._kill_vm,
            self._kill_gatherers,
            self._store_down,
            self._store_slow,
            self._store_restored,
            self._store_drops_history,
            self._store_loses_answers,
            self._new_routes,
            self._leaf_leaves,
            self._leaf_joins,
            self._leaf_limits_rate,
            self._cut_from_leaves,
            self._leaves_crash,
            self._request_crashes_leaves,
        )
        name = self._rng.choice(faults)()
        at = self.fleet.clock.monotonic() - self._started_at
        self.applied.append(f"{at:6.2f} {name}")

    def _kill(self, vm: memory_fleet.MemoryVm) -> None:
        if vm.process is None:
            return
        vm.kill()
        delay_s = self._rng.uniform(*_RESTART_RANGE_S)
        now = self.fleet.clock.monotonic()
        self._starts.append(now + delay_s)
        self._outages_by_vm[vm.name].append((now, now + delay_s))
        self.fleet.clock.call_later(delay_s, vm.start)

    def _kill_vm(self) -> str:
        vm = self._rng.choice(self.fleet.vms)
        self._kill(vm)
        return f"{vm.name} killed"

    def _kill_gatherers(self) -> str:
        for vm in self.fleet.vms[: SIZES.large]:
            self._kill(vm)
        return "all gatherers killed"

    def _note_store_trouble(self, seconds: float) -> None:
        now = self.fleet.clock.monotonic()
        self._store_trouble.append((now, now + seconds))

    def _store_down(self) -> str:
        seconds = self._rng.uniform(*_OUTAGE_RANGE_S)
        faults = self.fleet.model.faults
        faults.down = True

        def end() -> None:
            faults.down = False

        self.fleet.clock.call_later(seconds, end)
        self._note_store_trouble(seconds)
        return f"store down for {seconds:.1f} s"

    def _store_slow(self) -> str:
        seconds = self._rng.uniform(*_OUTAGE_RANGE_S)
        faults = self.fleet.model.faults
        faults.slow_s = _SLOW_ANSWER_S

        def end() -> None:
            faults.slow_s = 0.0

        self.fleet.clock.call_later(seconds, end)
        self._note_store_trouble(seconds)
        return f"store slow for {seconds:.1f} s"

    def _store_restored(self) -> str:
        saved = self.fleet.model.copy()
        age_s = self._rng.uniform(*_COPY_AGE_RANGE_S)
        outage_s = self._rng.uniform(*_OUTAGE_RANGE_S)
        self.fleet.clock.call_later(
            age_s, self.fleet.restore_store, saved, outage_s
        )
        self._note_store_trouble(age_s + outage_s)
        return f"store restored after {age_s:.1f} and {outage_s:.1f} s"

    def _store_drops_history(self) -> str:
        self.fleet.model.compact_history()
        self._note_store_trouble(0.0)
        return "store drops its history"

    def _store_loses_answers(self) -> str:
        self.fleet.model.faults.lose_answers += 2
        self._note_store_trouble(0.0)
        return "store loses two answers"

    def _new_routes(self) -> str:
        if self.fleet.model.faults.down:
            return "no new routes: the store is down"
        return f"routes {self.fleet.write_routes()}"

    def _leaf_leaves(self) -> str:
        if self.fleet.model.faults.down:
            return "no leaf leaves: the store is down"
        staying = collections.defaultdict(list)
        for leaf_id, each in self.fleet.leaf_by_id.items():
            if each.stays:
                staying[each.shard].append(leaf_id)
        shard = self._rng.randrange(SIZES.shards)
        if len(staying[shard]) <= _REPLICAS_MIN:
            return "no leaf leaves: the shard has too few"
        leaf_id = self._rng.choice(staying[shard])
        leaf = self.fleet.leaf_by_id[leaf_id].leaf
        leaf.says_leaving = self._rng.random() < _SAYS_LEAVING_SHARE
        self.fleet.drain_leaf(leaf_id, _LEAF_LEAVES_AFTER_S)
        return f"leaf {leaf_id} leaves"

    def _leaf_joins(self) -> str:
        if self.fleet.model.faults.down:
            return "no leaf joins: the store is down"
        self._next_replica += 1
        shard = self._rng.randrange(SIZES.shards)
        return f"leaf {self.fleet.add_leaf(shard, self._next_replica)} joins"

    def _leaf_limits_rate(self) -> str:
        limited = [
            each
            for each in self.fleet.leaf_by_id.values()
            if each.leaf.rate_limit is None and each.stays
        ]
        if not limited:
            return "no leaf limits its rate: all do"
        leaf = self._rng.choice(limited).leaf
        rate = round(self._rng.uniform(*_RATE_LIMIT_RANGE), 1)
        seconds = self._rng.uniform(*_LIMIT_RANGE_S)
        leaf.limit_rate(rate)
        self.fleet.clock.call_later(seconds, leaf.limit_rate, None)
        return f"leaf {leaf.id} limits its rate to {rate} for {seconds:.1f} s"

    def _begin_sequence(self) -> None:
        """Begin the order of events of a past incident."""
        self._note_applied(self._sequences.begin())

    def _note_applied(self, name: str) -> None:
        at = self.fleet.clock.monotonic() - self._started_at
        self.applied.append(f"{at:6.2f} {name}")

    def _answer_oddly(self) -> None:
        """Let leaves answer some requests with a status that is none."""
        told = self._set_fault(
            self._odd_rng, "odd_share", _ODD_SHARE_RANGE, _ODD_RANGE_S
        )
        self._note_applied(f"{told} have an odd status")

    def _reset_answers(self) -> None:
        """Let leaves reset a share of their answers; none of them ends."""
        told = self._set_fault(
            self._reset_rng,
            "lose_share",
            _RESET_ANSWERS_RANGE,
            _RESET_RANGE_S,
        )
        self._note_applied(f"{told} are reset")

    def _set_fault(
        self,
        rng: random.Random,
        name: str,
        share_range: tuple[float, float],
        range_s: tuple[float, float],
    ) -> str:
        """Set a fault of half of the leaves for a while; return a text."""
        leaves = [
            each.leaf
            for each in self.fleet.leaf_by_id.values()
            if each.stays and rng.random() < _FAULTY_LEAVES_SHARE
        ]
        share = rng.uniform(*share_range)
        seconds = rng.uniform(*range_s)

        def set_share(value: float) -> None:
            for leaf in leaves:
                setattr(leaf.faults, name, value)

        set_share(share)
        self.fleet.clock.call_later(seconds, set_share, 0.0)
        return (
            f"for {seconds:.1f} s {share:.2f} of the answers of "
            f"{len(leaves)} leaves"
        )

    def _leaves_crash(self) -> str:
        staying = [
            leaf_id
            for leaf_id, each in self.fleet.leaf_by_id.items()
            if each.stays
        ]
        share = self._rng.choice(_CRASH_SHARES)
        count = round(share * len(staying))
        for leaf_id in self._rng.sample(staying, count):
            self.fleet.crash_leaf(leaf_id)
        return f"{count} leaves crash"

    def _request_crashes_leaves(self) -> str:
        return f"{self._crashing.add()} crashes leaves"

    def _cut_from_leaves(self) -> str:
        now = self.fleet.clock.monotonic()
        if any(cut.end > now for cut in self._cuts):
            return "no VM is cut from the leaves: some are"
        gatherers = self.fleet.vms[: SIZES.large]
        vms = self._rng.sample(gatherers, self._rng.randint(1, len(gatherers)))
        how = self._rng.choice(list(memory_fleet.LeafCut))
        seconds = self._rng.uniform(*_CUT_RANGE_S)

        def end() -> None:
            for vm in vms:
                vm.cut_from_leaves(None)

        for vm in vms:
            vm.cut_from_leaves(how)
        self.fleet.clock.call_later(seconds, end)
        names = tuple(vm.name for vm in vms)
        self._cuts.append(_Cut(vms=names, start=now, end=now + seconds))
        return (
            f"{', '.join(names)} cut from the leaves ({how.name.lower()}) for "
            f"{seconds:.1f} s"
        )

    def _violations(
        self, answers: list[memory_fleet.FleetAnswer]
    ) -> Iterator[str]:
        odd = {each.status for each in self.fleet.answers} - _STATUSES
        if odd:
            yield f"callers got the statuses {sorted(odd)}"
        for caller in self._kept_callers:
            yield from caller.violations
        yield from self._check_routes_never_go_back()
        yield from self._check_leaving_leaves()
        for each in self.fleet.leaf_by_id.values():
            yield from leaf_rules.rate_limit_violations(
                each.leaf, vm_starts=self._starts
            )
        for cut in self._cuts:
            yield from leaf_rules.cut_violations(
                (
                    each
                    for each in self.fleet.answers
                    if each.target in _TARGETS and self._was_in_touch(each)
                ),
                cut_vms=cut.vms,
                start=cut.start,
                end=cut.end,
            )
        yield from self._sequences.violations()
        yield from self._silences.violations()
        yield from self._crashing.violations(self._is_judged)
        yield from crashing.check_only_crashing_are_barred(self._log.rows)
        answers = [
            each for each in answers if not self._has_crash_before(each.sent_at)
        ]
        whole = sum(each.whole for each in answers)
        if whole < _WHOLE_MIN * len(answers):
            yield f"{whole} of {len(answers)} answers are whole in the end"
        newest = self.fleet.version
        for vm in self.fleet.vms:
            if vm.process is None:
                yield f"{vm.name} does not run"
            elif vm.process.version != newest:
                yield f"{vm.name} has routes {vm.process.version}, not {newest}"
        yield from self._check_gatherers()

    def _check_gatherers(self) -> Iterator[str]:
        """Check that all gatherers are registered and know the live leaves."""
        replaced = not self._has_crash_before(self.fleet.clock.monotonic())
        live = sum(each.stays for each in self.fleet.leaf_by_id.values())
        registered = set(self.fleet.model.items(fleet.VM_KEY_PREFIX))
        for vm in self.fleet.vms[: SIZES.large]:
            if fleet.VM_KEY_PREFIX + vm.name not in registered:
                yield f"{vm.name} is not registered"
            if vm.process is None:
                continue
            known = vm.process.gauges["leafs_known"]()
            if known != live and replaced:
                yield f"{vm.name} knows {known:g} leaves, {live} live"

    def _has_crash_before(self, at: float) -> bool:
        """Return whether a leaf that has crashed may not be replaced yet."""
        return any(
            each.crashed_at is not None
            and at - _REPLACED_S < each.crashed_at <= at
            for each in self.fleet.leaf_by_id.values()
        )

    def _check_routes_never_go_back(self) -> Iterator[str]:
        version_by_process: dict[tuple[str, int], int] = {}
        for event, fields in self._log.rows:
            if event is not base.Event.CONFIG_IN_FORCE:
                continue
            process = (fields["vm"], fields["start"])
            if fields["version"] <= version_by_process.get(process, 0):
                yield f"{process[0]} went back to routes {fields['version']}"
            version_by_process[process] = fields["version"]

    def _check_leaving_leaves(self) -> Iterator[str]:
        for leaf_id, each in self.fleet.leaf_by_id.items():
            left_at = each.leaving_at
            if left_at is None or self._was_unstable(left_at):
                continue
            late_s = each.leaf.last_request_at - left_at
            if late_s > _DRAIN_S:
                yield f"leaf {leaf_id} got a request {late_s:.1f} s after"

    def _was_in_touch(self, answer: memory_fleet.FleetAnswer) -> bool:
        """Return whether the VM of a request had run for long enough."""
        return not any(
            killed_at - _TIMEOUT_MAX_S <= answer.sent_at <= start + _CONTACT_S
            for killed_at, start in self._outages_by_vm[answer.vm]
        )

    def _is_judged(self, vm: str, at: float) -> bool:
        """Return whether a VM was in touch with the store at a time."""
        ran = not any(
            killed_at <= at <= start + _CONTACT_S
            for killed_at, start in self._outages_by_vm[vm]
        )
        return ran and not any(
            start <= at <= end + _CONTACT_S
            for start, end in self._store_trouble
        )

    def _was_unstable(self, left_at: float) -> bool:
        """Return whether the store was not stable when a leaf announced."""
        return any(
            start < left_at + _DRAIN_S and end > left_at - _STABLE_S
            for start, end in self._store_trouble
        )


def _kept_headers(request_id: bytes) -> http1.Headers:
    return [
        (b"host", b"soak.example"),
        *opaque_caller.attempt_headers(request_id, _KEPT_DEADLINE_S),
    ]


def run_seed(seed: int) -> tuple[list[str], list[str]]:
    """Run one seed; return what was violated, and the faults applied.

    An exception that a VM does not handle counts as a violation: on the virtual
    clock nothing catches it.
    """
    with tempfile.TemporaryDirectory() as directory:
        fuzz = FleetFuzz(directory=pathlib.Path(directory), seed=seed)
        try:
            return fuzz.run(), fuzz.applied
        except Exception:
            return [traceback.format_exc(limit=-2)], fuzz.applied
