"""Real VMs as processes; their store, leafs and links in this one."""

import os
import pathlib
import random
import signal
import sys
from dataclasses import dataclass
from typing import Any

from twisted.internet import error, protocol, reactor

from standins import (
    httpd,
    link_proxy,
    opaque_leaf,
    platform,
    platform_model,
    published,
)
from trefoilpier import base

ROOT = pathlib.Path(__file__).resolve().parent.parent
_HEARTBEAT_S = 1.0
_RESTART_S = 0.3  # As the platform does, after a short delay.
_LEAFS_A_SHARD = 3
_WORK_S = 0.01


class _VmProcess(protocol.ProcessProtocol):
    """Keeps the lines of one VM and reports its end."""

    def __init__(self, *, vm: "Vm") -> None:
        self._vm = vm

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        self._vm.output.append(data)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        self._vm.output.append(data)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self._vm.ended(reason)


class Vm:
    """One VM, started again whenever its process ends.

    Attributes:
        starts: Processes so far.
        unplanned_ends: Ends that no signal from here explains.
        output: What the processes wrote.
    """

    __slots__ = (
        "_directory",
        "_process",
        "_signalled",
        "_stopped",
        "name",
        "output",
        "ports",
        "starts",
        "store_link",
        "unplanned_ends",
    )

    def __init__(
        self,
        *,
        name: str,
        ports: published.VmPorts,
        store_link: link_proxy.FaultProxy,
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.ports = ports
        self.store_link = store_link
        self.output: list[bytes] = []
        self.starts = 0
        self.unplanned_ends = 0
        self._directory = directory
        self._process: Any = None
        self._signalled = False
        self._stopped = False

    @property
    def pid(self) -> int:
        """The process that runs now; 0 if none does."""
        return self._process.pid or 0 if self._process is not None else 0

    def start(self) -> None:
        """Starts a process."""
        if self._stopped:
            return
        self.starts += 1
        self._signalled = False
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT),
            published.BOOT_VARIABLE: str(self._directory / self.name),
        }
        self._process = reactor.spawnProcess(
            _VmProcess(vm=self),
            sys.executable,
            [sys.executable, "-m", "trefoilpier.tier"],
            env=env,
            path=str(ROOT),
        )

    def ended(self, reason: Any) -> None:
        """Takes the end of the process and starts another."""
        self._process = None
        if not self._signalled:
            self.unplanned_ends += 1
        if not self._stopped:
            reactor.callLater(_RESTART_S, self.start)

    def send_signal(self, number: int) -> None:
        """Signals the process that runs now."""
        if self._process is None or self._process.pid is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._signalled = True
        try:
            self._process.signalProcess(number)
        except error.ProcessExitedAlready:
            return  # Its end is reported in a moment.

    def stop(self) -> None:
        """Ends the process for good."""
        self._stopped = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)


@dataclass(slots=True, kw_only=True)
class WorldLeaf:
    """A leaf with its link.

    Attributes:
        leaving_at: When the store took its last state, if it leaves.
    """

    leaf: opaque_leaf.OpaqueLeaf
    service: str
    link: link_proxy.FaultProxy
    address: str
    zone: str
    leaving_at: float | None = None
    gone: bool = False


class World:
    """Everything that the VMs talk to, in this process.

    Attributes:
        model: The store.
        vms: The VMs.
        leaf_by_id: All leafs that ever were.
        sets: The shard sets of all versions so far.
        named_at: The monotonic instants at which each of them was written.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        directory: pathlib.Path,
        vm_count: int,
        shard_count: int,
        base_port: int,
    ) -> None:
        self._rng = rng
        self._directory = directory
        self._port = base_port
        self._clock = base.ReactorClock(reactor=reactor)
        self.model = platform_model.PlatformModel(clock=self._clock)
        self.leaf_by_id: dict[str, WorldLeaf] = {}
        self.sets: list[tuple[str, ...]] = []
        self.named_at: list[float] = []
        self.version = 0
        self._shard_count = shard_count
        self._leaf_count = 0
        self.vms: list[Vm] = []
        self._listen_store()
        for k in range(vm_count):
            self._add_vm(k)

    def _listen_store(self) -> None:
        server = platform.PlatformServer(model=self.model, clock=self._clock)
        reactor.listenTCP(
            self._port,
            httpd.HttpFactory(handle=server.handle),
            interface="127.4.0.1",
        )

    def _add_vm(self, k: int) -> None:
        host = f"127.1.0.{k + 1}"
        link = link_proxy.FaultProxy(target=("127.4.0.1", self._port))
        store_host = f"127.4.1.{k + 1}"
        reactor.listenTCP(self._port, link, interface=store_host)
        ports = published.VmPorts(
            host=host,
            callers=self._port + 1,
            readiness=self._port + 2,
            inner=self._port + 3,
        )
        name = f"vm-{k + 1}"
        text = published.boot_text(
            name=name,
            zone=f"z{k % 3}",
            ports=ports,
            store=f"{store_host}:{self._port}",
        )
        (self._directory / name).write_text(text)
        self.vms.append(
            Vm(
                name=name,
                ports=ports,
                store_link=link,
                directory=self._directory,
            )
        )

    def start(self) -> None:
        """Starts leafs, puts the first routes in force and starts the VMs."""
        self.reshard()
        for _ in range(2 * _LEAFS_A_SHARD):
            self.add_leaf("single")
        self._heartbeat()
        for vm in self.vms:
            vm.start()

    def stop(self) -> None:
        """Ends the VMs."""
        for vm in self.vms:
            vm.stop()

    def reshard(self) -> None:
        """Starts the leafs of a new set of shards and names it."""
        self.version += self._rng.randint(1, 3)
        shards = tuple(
            f"shard-{self.version}-{k}" for k in range(self._shard_count)
        )
        for shard in shards:
            for _ in range(_LEAFS_A_SHARD):
                self.add_leaf(shard)
        self.sets.append(shards)
        self.named_at.append(self._clock.monotonic())
        self.model.put(
            published.ROUTES_KEY,
            published.routes_value(
                version=self.version, shards=list(shards), single="single"
            ),
            None,
            "",
        )

    def add_leaf(self, service: str) -> None:
        """Starts a leaf behind a link of its own."""
        self._leaf_count += 1
        leaf_id = f"leaf-{self._leaf_count}"
        leaf = opaque_leaf.OpaqueLeaf(
            clock=self._clock,
            rng=self._rng,
            leaf_id=leaf_id,
            work_s=_WORK_S,
            slots=4,
        )
        high, low = divmod(self._leaf_count, 200)
        host = f"127.2.{high}.{low + 1}"
        link_host = f"127.3.{high}.{low + 1}"
        reactor.listenTCP(self._port, leaf.factory(), interface=host)
        link = link_proxy.FaultProxy(target=(host, self._port))
        reactor.listenTCP(self._port, link, interface=link_host)
        made = WorldLeaf(
            leaf=leaf,
            service=service,
            link=link,
            address=f"{link_host}:{self._port}",
            zone=f"z{self._leaf_count % 3}",
        )
        self.leaf_by_id[leaf_id] = made
        self._write(made)

    def _write(self, world_leaf: WorldLeaf) -> None:
        self.model.put(
            published.LEAF_PREFIX + world_leaf.leaf.id,
            published.leaf_value(
                service=world_leaf.service,
                address=world_leaf.address,
                zone=world_leaf.zone,
                slots=world_leaf.leaf.slots,
                leaving=world_leaf.leaving_at is not None,
            ),
            None,
            "",
        )

    def _heartbeat(self) -> None:
        """Writes entries that have lapsed, once the store answers."""
        if not self.model.faults.down:
            held = self.model.items(published.LEAF_PREFIX)
            for leaf_id, each in self.leaf_by_id.items():
                if (
                    not each.gone
                    and published.LEAF_PREFIX + leaf_id not in held
                ):
                    self._write(each)
        reactor.callLater(_HEARTBEAT_S, self._heartbeat)

    def lapse(self, share: float) -> None:
        """Removes entries of live leafs, as an outage may."""
        for leaf_id in list(self.leaf_by_id):
            if self._rng.random() < share:
                self.model.delete(published.LEAF_PREFIX + leaf_id)

    def drain(self, world_leaf: WorldLeaf) -> None:
        """Lets a leaf leave and starts another in its place."""
        self.add_leaf(world_leaf.service)
        world_leaf.leaving_at = self._clock.monotonic()
        self._write(world_leaf)
        reactor.callLater(6.0, self._remove, world_leaf)

    def _remove(self, world_leaf: WorldLeaf) -> None:
        world_leaf.gone = True
        self.model.delete(published.LEAF_PREFIX + world_leaf.leaf.id)

    @property
    def live_leafs(self) -> list[WorldLeaf]:
        """Leafs that neither leave nor have left."""
        return [
            each
            for each in self.leaf_by_id.values()
            if each.leaving_at is None and not each.gone
        ]
