"""Random, possibly overlapping faults, all ended before the final checks."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet import reactor

from soak import callers, crashing
from standins import link_proxy, opaque_leaf, tier_world

PLANNED = "planned"
PLANNED_STOP = f"{PLANNED} stop"
CUT_FROM_LEAVES = "cut from leaves"
_CUTS = (link_proxy.LinkFault.SILENT, link_proxy.LinkFault.REFUSE)
# Makes requests take some hundred milliseconds, so that some are in flight
# when the VM is stopped.
_SLOWDOWN_FACTOR = 10.0
_SLOWDOWN_S = 0.7
_STOP_LENGTH_S = 6.5  # A little longer than the grace period.
_LATE_SLOWDOWN_FROM_S = 2.0
_LATE_SLOWDOWN_FACTOR = 40.0  # Requests take 0.3 to 0.5 s.
_RESTORE_OUTAGE_S = 0.6
_GAP_RANGE_S = (0.3, 2.0)
_DURATION_RANGE_S = (0.5, 4.0)
_CRASH_SHARES = (0.0, 0.3, 1.0)  # Of the leaves, at the same time.
# A limit counts only some seconds after the leaf has named it.
_RATE_LIMIT_DURATION_S = 8.0
_RATE_LIMIT_RANGE = (0.5, 3.0)  # Requests a second that a leaf names.


@dataclass(slots=True, kw_only=True, frozen=True)
class AppliedFault:
    """Record of one injected fault."""

    name: str
    started_at: float
    duration_s: float


class FaultInjector:
    """Injector of random faults.

    Attributes:
        applied: The faults injected so far.
    """

    __slots__ = (
        "_crashing",
        "_environment",
        "_now",
        "_rng",
        "_stopped",
        "applied",
    )

    def __init__(
        self,
        *,
        rng: random.Random,
        environment: tier_world.TierEnvironment,
        crashing: crashing.CrashingCallers,
        now: Callable[[], float],
    ) -> None:
        self._rng = rng
        self._environment = environment
        self._crashing = crashing
        self._now = now
        self._stopped = False
        self.applied: list[AppliedFault] = []

    def start(self) -> None:
        """Start injecting faults."""
        reactor.callLater(self._rng.uniform(*_GAP_RANGE_S), self._apply_next)

    def planned_stop(self) -> None:
        """Stop one VM with SIGTERM while leaves process its requests."""
        vm = self._rng.choice(self._environment.vms)
        for leaf_instance in self._environment.live_leaves:
            leaf_instance.leaf.faults = opaque_leaf.LeafFaults(
                slow_factor=_SLOWDOWN_FACTOR
            )

        def stop() -> None:
            vm.send_signal(signal.SIGTERM)
            self._record_planned_stop(vm)

        def end() -> None:
            for leaf_instance in self._environment.leaf_by_id.values():
                leaf_instance.leaf.faults = opaque_leaf.LeafFaults()

        reactor.callLater(_SLOWDOWN_S, stop)
        reactor.callLater(2 * _SLOWDOWN_S, end)

    def planned_stop_in_use(self, load: callers.Callers) -> None:
        """Stop one VM that callers use until its process has ended.

        Leaves turn slow, so that the VM is never idle and that requests taken
        late last longer than it.
        """
        vm = self._rng.choice(self._environment.vms)
        load.loyal_vm = vm.name
        self._record_planned_stop(vm, _STOP_LENGTH_S)
        vm.send_signal(signal.SIGTERM)

        def set_slowness(factor: float) -> None:
            for leaf_instance in self._environment.live_leaves:
                leaf_instance.leaf.faults.slow_factor = factor

        def leave() -> None:
            load.loyal_vm = ""

        reactor.callLater(
            _LATE_SLOWDOWN_FROM_S, set_slowness, _LATE_SLOWDOWN_FACTOR
        )
        reactor.callLater(_STOP_LENGTH_S, set_slowness, 1.0)
        reactor.callLater(_STOP_LENGTH_S, leave)

    def _record_planned_stop(
        self, vm: tier_world.Vm, duration_s: float = 0.0
    ) -> None:
        self.applied.append(
            AppliedFault(
                name=f"{vm.name} {PLANNED_STOP}",
                started_at=self._now(),
                duration_s=duration_s,
            )
        )

    def stop(self) -> None:
        """Stop injecting faults and end all active ones."""
        self._stopped = True
        self._environment.model.faults.down = False
        self._environment.model.faults.slow_s = 0.0
        for vm in self._environment.vms:
            vm.send_signal(signal.SIGCONT)
            vm.store_link.fault = link_proxy.LinkFault.NONE
            self._environment.cut_from_leaves(vm, link_proxy.LinkFault.NONE)
        for world_leaf in self._environment.leaf_by_id.values():
            world_leaf.link.fault = link_proxy.LinkFault.NONE
            world_leaf.leaf.faults = opaque_leaf.LeafFaults()
            world_leaf.leaf.limit_rate(None)
            world_leaf.leaf.resume()

    def _apply_next(self) -> None:
        if self._stopped:
            return
        choices = (
            self._store_down,
            self._store_slow,
            self._store_drops_history,
            self._store_restored,
            self._store_loses_answers,
            self._signal_vm,
            self._signal_vm,
            self._pause_vm,
            self._kill_all_vms,
            self._break_store_link,
            self._break_leaf_link,
            self._set_leaf_faults,
            self._set_leaf_faults,
            self._drain_leaf,
            self._limit_leaf_rate,
            self._cut_vm_from_leaves,
            self._reshard,
            self._pause_shard,
            self._crash_leaves,
            self._request_crashes_leaves,
        )
        seconds = self._rng.uniform(*_DURATION_RANGE_S)
        chosen = self._rng.choice(choices)
        affects_leaf = chosen in (
            self._break_leaf_link,
            self._drain_leaf,
            self._limit_leaf_rate,
            self._pause_shard,
        )
        if affects_leaf and not self._environment.live_leaves:
            name = "nothing: no leaf runs"
        else:
            name = chosen(seconds)
        self.applied.append(
            AppliedFault(name=name, started_at=self._now(), duration_s=seconds)
        )
        reactor.callLater(self._rng.uniform(*_GAP_RANGE_S), self._apply_next)

    def _end_after(self, seconds: float, end: Callable[[], None]) -> None:
        reactor.callLater(seconds, lambda: None if self._stopped else end())

    def _store_down(self, seconds: float) -> str:
        faults = self._environment.model.faults
        faults.down = True
        if self._rng.random() < 0.5:
            self._environment.remove_random_entries(0.6)

        def end() -> None:
            faults.down = False

        self._end_after(seconds, end)
        return "store down"

    def _store_slow(self, seconds: float) -> str:
        faults = self._environment.model.faults
        faults.slow_s = 0.4

        def end() -> None:
            faults.slow_s = 0.0

        self._end_after(seconds, end)
        return "store slow"

    def _store_drops_history(self, seconds: float) -> str:
        self._environment.model.compact_history()
        return "store drops its watch history"

    def _store_restored(self, seconds: float) -> str:
        """Bring the store back later, from a copy made now."""
        saved = self._environment.model.copy()
        faults = self._environment.model.faults

        def begin_outage() -> None:
            faults.down = True
            self._end_after(_RESTORE_OUTAGE_S, end_outage)

        def end_outage() -> None:
            faults.down = False
            self._environment.restore_store(saved)

        self._end_after(seconds, begin_outage)
        return f"store restored from a copy {seconds:.1f} s old"

    def _store_loses_answers(self, seconds: float) -> str:
        self._environment.model.faults.lose_answers += 3
        return "store loses answers"

    def _signal_vm(self, seconds: float) -> str:
        vm = self._rng.choice(self._environment.vms)
        signal_number = self._rng.choice(
            (signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
        )
        vm.send_signal(signal_number)
        return f"{vm.name} {signal.Signals(signal_number).name}"

    def _pause_vm(self, seconds: float) -> str:
        vm = self._rng.choice(self._environment.vms)
        vm.send_signal(signal.SIGSTOP)
        self._end_after(seconds, lambda: vm.send_signal(signal.SIGCONT))
        return f"{vm.name} paused"

    def _kill_all_vms(self, seconds: float) -> str:
        if self._rng.random() < 0.6:
            return self._signal_vm(seconds)
        for vm in self._environment.vms:
            vm.send_signal(signal.SIGKILL)
        return "all VMs killed"

    def _break_link(self, link: link_proxy.FaultProxy, seconds: float) -> str:
        kind = self._rng.choice((*link_proxy.LinkFault, "reset"))
        if kind in ("reset", link_proxy.LinkFault.NONE):
            link.reset_all()
            return "reset"
        link.fault = kind
        link.delay_s = 0.3

        def end() -> None:
            # Dropped bytes leave the open connections in an undefined state.
            link.fault = link_proxy.LinkFault.NONE
            link.reset_all()

        self._end_after(seconds, end)
        return kind.name.lower()

    def _break_store_link(self, seconds: float) -> str:
        vm = self._rng.choice(self._environment.vms)
        kind = self._break_link(vm.store_link, seconds)
        return f"link {vm.name} to store: {kind}"

    def _break_leaf_link(self, seconds: float) -> str:
        leaf_instance = self._rng.choice(self._environment.live_leaves)
        kind = self._break_link(leaf_instance.link, seconds)
        return f"link to {leaf_instance.leaf.id}: {kind}"

    def _set_leaf_faults(self, seconds: float) -> str:
        name, value = self._rng.choice(
            (
                ("slow_factor", 10.0),
                ("shed_share", 0.6),
                ("fail_share", 0.5),
                ("lose_share", 0.3),
                ("extra_share", 0.5),
                ("unsigned_share", 0.5),
                ("cut_share", 0.5),
            )
        )
        leaf_share = self._rng.choice((0.1, 0.4))
        affected = [
            leaf_instance
            for leaf_instance in self._environment.live_leaves
            if self._rng.random() < leaf_share
        ]
        for leaf_instance in affected:
            setattr(leaf_instance.leaf.faults, name, value)

        def end() -> None:
            for leaf_instance in affected:
                leaf_instance.leaf.faults = opaque_leaf.LeafFaults()

        self._end_after(seconds, end)
        return f"{len(affected)} leaves {name}"

    def _cut_vm_from_leaves(self, seconds: float) -> str:
        vm = self._rng.choice(self._environment.vms)
        return self._cut(vm, seconds)

    def _cut(self, vm: tier_world.Vm, seconds: float) -> str:
        fault = self._rng.choice(_CUTS)
        self._environment.cut_from_leaves(vm, fault)
        reactor.callLater(
            seconds,
            self._environment.cut_from_leaves,
            vm,
            link_proxy.LinkFault.NONE,
        )
        return f"{vm.name} {CUT_FROM_LEAVES} ({fault.name.lower()})"

    def planned_cut(self, seconds: float) -> None:
        """Cut some VMs off from the leaves, without other faults."""
        vms = self._environment.vms
        for vm in self._rng.sample(vms, self._rng.randint(1, len(vms) - 1)):
            name = f"{self._cut(vm, seconds)}, {PLANNED}"
            self.applied.append(
                AppliedFault(
                    name=name, started_at=self._now(), duration_s=seconds
                )
            )

    def _drain_leaf(self, seconds: float) -> str:
        leaf_instance = self._rng.choice(self._environment.live_leaves)
        self._environment.drain(leaf_instance)
        return f"{leaf_instance.leaf.id} drains"

    def _limit_leaf_rate(self, seconds: float) -> str:
        leaf = self._rng.choice(self._environment.live_leaves).leaf
        rate = round(self._rng.uniform(*_RATE_LIMIT_RANGE), 1)
        leaf.limit_rate(rate)
        self._end_after(_RATE_LIMIT_DURATION_S, lambda: leaf.limit_rate(None))
        return f"{leaf.id} limits its rate to {rate}"

    def _crash_leaves(self, seconds: float) -> str:
        live = self._environment.live_leaves
        share = self._rng.choice(_CRASH_SHARES)
        count = min(len(live), max(1, round(share * len(live))))
        crashed = self._rng.sample(live, count)
        for leaf_instance in crashed:
            self._environment.crash_leaf(leaf_instance)
        return f"{len(crashed)} leaves crash"

    def _request_crashes_leaves(self, seconds: float) -> str:
        return f"{self._crashing.add()} crashes leaves"

    def _reshard(self, seconds: float) -> str:
        self._environment.reshard()
        return f"version {self._environment.version}"

    def _pause_shard(self, seconds: float) -> str:
        service = self._rng.choice(self._environment.live_leaves).service
        affected = [
            leaf_instance
            for leaf_instance in self._environment.live_leaves
            if leaf_instance.service == service
        ]
        for leaf_instance in affected:
            leaf_instance.leaf.faults.paused = True

        def end() -> None:
            for leaf_instance in affected:
                leaf_instance.leaf.resume()

        self._end_after(seconds, end)
        return f"{service} pauses"
