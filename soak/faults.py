"""Random faults, in series and overlapping, all ended before the end."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet import reactor

from standins import link_proxy, opaque_leaf, tier_world

PLANNED = "planned stop"
# Makes requests last for some hundred milliseconds, so that a stop meets some.
_BUSY_FACTOR = 10.0
_BUSY_S = 0.7
_GAP_S = (0.3, 2.0)
_LAST_S = (0.5, 4.0)


@dataclass(slots=True, kw_only=True, frozen=True)
class Disruption:
    """One fault that was applied."""

    name: str
    at: float
    seconds: float


class FaultPlan:
    """Applies faults until told to stop.

    Attributes:
        applied: The faults so far.
    """

    __slots__ = ("_now", "_rng", "_stopped", "_world", "applied")

    def __init__(
        self,
        *,
        rng: random.Random,
        soak_world: tier_world.World,
        now: Callable[[], float],
    ) -> None:
        self._rng = rng
        self._world = soak_world
        self._now = now
        self._stopped = False
        self.applied: list[Disruption] = []

    def start(self) -> None:
        """Starts to disrupt."""
        reactor.callLater(self._rng.uniform(*_GAP_S), self._next)

    def planned_stop(self) -> None:
        """Stops one VM by the book, while leafs are at work for it."""
        vm = self._rng.choice(self._world.vms)
        for each in self._world.live_leafs:
            each.leaf.faults = opaque_leaf.LeafFaults(slow_factor=_BUSY_FACTOR)

        def stop() -> None:
            vm.send_signal(signal.SIGTERM)
            self.applied.append(
                Disruption(
                    name=f"{vm.name} {PLANNED}", at=self._now(), seconds=0.0
                )
            )

        def end() -> None:
            for each in self._world.leaf_by_id.values():
                each.leaf.faults = opaque_leaf.LeafFaults()

        reactor.callLater(_BUSY_S, stop)
        reactor.callLater(2 * _BUSY_S, end)

    def stop(self) -> None:
        """Applies no more and ends those that are on."""
        self._stopped = True
        self._world.model.faults.down = False
        self._world.model.faults.slow_s = 0.0
        for vm in self._world.vms:
            vm.send_signal(signal.SIGCONT)
            vm.store_link.fault = link_proxy.LinkFault.NONE
        for each in self._world.leaf_by_id.values():
            each.link.fault = link_proxy.LinkFault.NONE
            each.leaf.faults = opaque_leaf.LeafFaults()
            each.leaf.resume()

    def _next(self) -> None:
        if self._stopped:
            return
        choices = (
            self._store_down,
            self._store_slow,
            self._store_forgets,
            self._store_loses,
            self._vm_signal,
            self._vm_signal,
            self._vm_pause,
            self._all_vms_killed,
            self._store_link,
            self._leaf_link,
            self._leaf_fault,
            self._leaf_fault,
            self._leaf_drains,
            self._reshard,
            self._shard_pauses,
        )
        seconds = self._rng.uniform(*_LAST_S)
        chosen = self._rng.choice(choices)
        name = chosen(seconds)
        self.applied.append(
            Disruption(name=name, at=self._now(), seconds=seconds)
        )
        reactor.callLater(self._rng.uniform(*_GAP_S), self._next)

    def _later(self, seconds: float, end: Callable[[], None]) -> None:
        reactor.callLater(seconds, lambda: None if self._stopped else end())

    def _store_down(self, seconds: float) -> str:
        faults = self._world.model.faults
        faults.down = True
        if self._rng.random() < 0.5:
            self._world.lapse(0.6)

        def end() -> None:
            faults.down = False

        self._later(seconds, end)
        return "store down"

    def _store_slow(self, seconds: float) -> str:
        faults = self._world.model.faults
        faults.slow_s = 0.4

        def end() -> None:
            faults.slow_s = 0.0

        self._later(seconds, end)
        return "store slow"

    def _store_forgets(self, seconds: float) -> str:
        self._world.model.drop_history()
        return "store forgets its history"

    def _store_loses(self, seconds: float) -> str:
        self._world.model.faults.lose_answers += 3
        return "store loses answers"

    def _vm_signal(self, seconds: float) -> str:
        vm = self._rng.choice(self._world.vms)
        number = self._rng.choice(
            (signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
        )
        vm.send_signal(number)
        return f"{vm.name} {signal.Signals(number).name}"

    def _vm_pause(self, seconds: float) -> str:
        vm = self._rng.choice(self._world.vms)
        vm.send_signal(signal.SIGSTOP)
        self._later(seconds, lambda: vm.send_signal(signal.SIGCONT))
        return f"{vm.name} paused"

    def _all_vms_killed(self, seconds: float) -> str:
        if self._rng.random() < 0.6:
            return self._vm_signal(seconds)
        for vm in self._world.vms:
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
            # Bytes were dropped: what is open now stays out of step.
            link.fault = link_proxy.LinkFault.NONE
            link.reset_all()

        self._later(seconds, end)
        return kind.name.lower()

    def _store_link(self, seconds: float) -> str:
        vm = self._rng.choice(self._world.vms)
        kind = self._break_link(vm.store_link, seconds)
        return f"link {vm.name} to store: {kind}"

    def _leaf_link(self, seconds: float) -> str:
        each = self._rng.choice(self._world.live_leafs)
        kind = self._break_link(each.link, seconds)
        return f"link to {each.leaf.id}: {kind}"

    def _leaf_fault(self, seconds: float) -> str:
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
        share = self._rng.choice((0.1, 0.4))
        hit = [
            each
            for each in self._world.live_leafs
            if self._rng.random() < share
        ]
        for each in hit:
            setattr(each.leaf.faults, name, value)

        def end() -> None:
            for each in hit:
                each.leaf.faults = opaque_leaf.LeafFaults()

        self._later(seconds, end)
        return f"{len(hit)} leafs {name}"

    def _leaf_drains(self, seconds: float) -> str:
        each = self._rng.choice(self._world.live_leafs)
        self._world.drain(each)
        return f"{each.leaf.id} drains"

    def _reshard(self, seconds: float) -> str:
        self._world.reshard()
        return f"version {self._world.version}"

    def _shard_pauses(self, seconds: float) -> str:
        service = self._rng.choice(self._world.live_leafs).service
        hit = [
            each for each in self._world.live_leafs if each.service == service
        ]
        for each in hit:
            each.leaf.faults.paused = True

        def end() -> None:
            for each in hit:
                each.leaf.resume()

        self._later(seconds, end)
        return f"{service} pauses"
