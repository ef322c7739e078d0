"""VMs as processes, with a simulated store, leaves and links in this one."""

import os
import pathlib
import random
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import error, protocol, reactor

from standins import (
    httpd,
    leaf_rules,
    link_proxy,
    opaque_leaf,
    platform,
    platform_model,
    published_protocol,
)
from trefoilpier import base, http1

ROOT = pathlib.Path(__file__).resolve().parent.parent
_HEARTBEAT_INTERVAL_S = 1.0
_EXPIRY_S = 3 * _HEARTBEAT_INTERVAL_S  # Of the entry of a silent leaf.
_RESTART_DELAY_S = 0.3  # The platform also restarts after a short delay.
_LEAVES_PER_SHARD = 3
_LEAF_SERVICE_TIME_S = 0.01
_LEAF_RESTART_S = 2.0  # From the crash of a leaf to its successor.
# After the route's prefix, in the target of a request that crashes leaves.
CRASH_PREFIX = "/crash/"


def _is_crashing(request: http1.HttpRequest) -> bool:
    return CRASH_PREFIX.encode() in request.target


class _VmProcess(protocol.ProcessProtocol):
    """Process protocol that records the output of a VM and reports its exit."""

    def __init__(self, *, vm: "Vm") -> None:
        self._vm = vm

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        self._vm.output.append(data)

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        self._vm.output.append(data)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self._vm.process_ended(reason)


class Vm:
    """VM whose process is restarted whenever it exits.

    Attributes:
        name: Node name of the VM.
        ports: Addresses on which the VM listens.
        store_link: Link from the VM to the store.
        starts: Number of processes started.
        unexpected_exits: Number of exits not caused by `send_signal`.
        output: Output of all processes.
    """

    __slots__ = (
        "_directory",
        "_process",
        "_expected_exit",
        "_stopped",
        "name",
        "output",
        "ports",
        "starts",
        "store_link",
        "unexpected_exits",
    )

    def __init__(
        self,
        *,
        name: str,
        ports: published_protocol.VmPorts,
        store_link: link_proxy.FaultProxy,
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.ports = ports
        self.store_link = store_link
        self.output: list[bytes] = []
        self.starts = 0
        self.unexpected_exits = 0
        self._directory = directory
        self._process: Any = None
        self._expected_exit = False
        self._stopped = False

    @property
    def pid(self) -> int:
        """Id of the running process, or 0."""
        return self._process.pid or 0 if self._process is not None else 0

    def start(self) -> None:
        """Start a process, unless the VM was stopped."""
        if self._stopped:
            return
        self.starts += 1
        self._expected_exit = False
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT),
            published_protocol.BOOT_VARIABLE: str(self._directory / self.name),
        }
        self._process = reactor.spawnProcess(
            _VmProcess(vm=self),
            sys.executable,
            [sys.executable, "-m", "standins.tier_process", self.ports.host],
            env=env,
            path=str(ROOT),
        )

    def process_ended(self, reason: Any) -> None:
        """Record the exit of the process and schedule a restart."""
        self._process = None
        if not self._expected_exit:
            self.unexpected_exits += 1
        if not self._stopped:
            reactor.callLater(_RESTART_DELAY_S, self.start)

    def send_signal(self, number: int) -> None:
        """Send a signal to the running process."""
        if self._process is None or self._process.pid is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._expected_exit = True
        try:
            self._process.signalProcess(number)
        except error.ProcessExitedAlready:
            return  # processEnded is called shortly.

    def stop(self) -> None:
        """Kill the process and do not restart it."""
        self._stopped = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)


@dataclass(slots=True, kw_only=True)
class LeafInstance:
    """A simulated leaf, with its link and its entry in the store.

    Attributes:
        leaf: Behavior of the leaf.
        service: Service that the leaf belongs to.
        link: Link from the VMs to the leaf.
        port: Listening port of the link.
        address: Address of the link.
        zone: Availability zone of the leaf.
        leaving_at: Monotonic time at which the store received the draining
            state, or None.
        removed: Whether the entry was removed.
        crashed_at: Monotonic time at which the leaf crashed, or None.
        crashed_under: Target of the request that crashed it, if one did.
    """

    leaf: opaque_leaf.OpaqueLeaf
    service: str
    link: link_proxy.FaultProxy
    port: Any
    address: str
    zone: str
    leaving_at: float | None = None
    removed: bool = False
    crashed_at: float | None = None
    crashed_under: str = ""


class TierEnvironment:
    """Simulated environment of the VMs: store, leaves and links.

    Attributes:
        model: Store and membership list.
        vms: The VMs.
        leaf_by_id: All leaves so far, including removed ones.
        shard_sets: Shard sets of all configuration versions so far.
        shard_set_written_at: Monotonic times at which the shard sets were
            written.
        version: Version of the last configuration.
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
        self._base_port = base_port
        self._clock = base.ReactorClock(reactor=reactor)
        self.model = platform_model.PlatformModel(clock=self._clock)
        self._leaf_fault_by_vm_host: dict[str, link_proxy.LinkFault] = {}
        self.leaf_by_id: dict[str, LeafInstance] = {}
        self.shard_sets: list[tuple[str, ...]] = []
        self.shard_set_written_at: list[float] = []
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
            self._base_port,
            httpd.HttpFactory(handle=server.handle),
            interface="127.4.0.1",
        )

    def _add_vm(self, k: int) -> None:
        host = f"127.1.0.{k + 1}"
        link = link_proxy.FaultProxy(target=("127.4.0.1", self._base_port))
        store_host = f"127.4.1.{k + 1}"
        reactor.listenTCP(self._base_port, link, interface=store_host)
        ports = published_protocol.VmPorts(
            host=host,
            caller_port=self._base_port + 1,
            readiness_port=self._base_port + 2,
            first_internal_port=self._base_port + 3,
        )
        name = f"vm-{k + 1}"
        text = published_protocol.settings_text(
            name=name,
            zone=f"z{k % 3}",
            ports=ports,
            store=f"{store_host}:{self._base_port}",
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

    @property
    def vm_by_name(self) -> dict[str, Vm]:
        """The VMs, by name."""
        return {vm.name: vm for vm in self.vms}

    def start(self) -> None:
        """Start the leaves, write the first routes and start the VMs."""
        self.reshard()
        for _ in range(2 * _LEAVES_PER_SHARD):
            self.add_leaf("single")
        self._heartbeat()
        for vm in self.vms:
            vm.start()

    def stop(self) -> None:
        """Stop the VMs."""
        for vm in self.vms:
            vm.stop()

    def reshard(self) -> None:
        """Start the leaves of a new set of shards and write routes to it."""
        self.version += self._rng.randint(1, 3)
        shards = tuple(
            f"shard-{self.version}-{k}" for k in range(self._shard_count)
        )
        for shard in shards:
            for _ in range(_LEAVES_PER_SHARD):
                self.add_leaf(shard)
        self.shard_sets.append(shards)
        self.shard_set_written_at.append(self._clock.monotonic())
        self._write_routes()

    def _write_routes(self) -> None:
        self.model.put(
            published_protocol.ROUTES_KEY,
            published_protocol.routes_value(
                version=self.version,
                shards=list(self.shard_sets[-1]),
                single="single",
            ),
            None,
            "",
        )

    def restore_store(self, saved: platform_model.StoreCopy) -> None:
        """Restore the store; operator and leaves then write again.

        Entries of leaves that have gone expire.
        """
        self.model.restore(saved)
        reactor.callLater(_HEARTBEAT_INTERVAL_S, self._write_routes)
        reactor.callLater(_HEARTBEAT_INTERVAL_S, self._write_live_entries)
        reactor.callLater(_EXPIRY_S, self._delete_removed_entries)

    def _write_live_entries(self) -> None:
        for leaf_instance in self.leaf_by_id.values():
            crashed = leaf_instance.crashed_at is not None
            if not leaf_instance.removed and not crashed:
                self._write_entry(leaf_instance)

    def _delete_removed_entries(self) -> None:
        for leaf_id, leaf_instance in self.leaf_by_id.items():
            if leaf_instance.removed:
                self.model.delete(published_protocol.LEAF_PREFIX + leaf_id)

    def add_leaf(self, service: str) -> None:
        """Start a leaf with its own link and write its entry."""
        self._leaf_count += 1
        leaf_id = f"leaf-{self._leaf_count}"
        leaf = opaque_leaf.OpaqueLeaf(
            clock=self._clock,
            rng=self._rng,
            leaf_id=leaf_id,
            work_s=_LEAF_SERVICE_TIME_S,
            slots=4,
        )
        high, low = divmod(self._leaf_count, 200)
        host = f"127.2.{high}.{low + 1}"
        link_host = f"127.3.{high}.{low + 1}"
        reactor.listenTCP(self._base_port, leaf.factory(), interface=host)
        link = link_proxy.FaultProxy(
            target=(host, self._base_port),
            fault_by_source=self._leaf_fault_by_vm_host,
        )
        port = reactor.listenTCP(self._base_port, link, interface=link_host)
        new_instance = LeafInstance(
            leaf=leaf,
            service=service,
            link=link,
            port=port,
            address=f"{link_host}:{self._base_port}",
            zone=f"z{self._leaf_count % 3}",
        )
        leaf.crashes_under = _is_crashing
        leaf.on_crash = lambda request: self.crash_leaf(
            new_instance, under=request.target.decode()
        )
        self.leaf_by_id[leaf_id] = new_instance
        self._write_entry(new_instance)

    def crash_leaf(self, crashed: LeafInstance, *, under: str = "") -> None:
        """End a leaf's process; its successor starts some seconds later.

        Args:
            crashed: The leaf.
            under: Target of the request that crashed it, if one did.
        """
        if crashed.crashed_at is not None:
            return
        crashed.crashed_at = self._clock.monotonic()
        crashed.crashed_under = under
        crashed.leaf.ended = True
        crashed.port.stopListening()
        for connection in list(crashed.link.connections):
            connection.transport.loseConnection()
        reactor.callLater(_EXPIRY_S, self._remove_leaf, crashed)
        if crashed.leaving_at is None:
            reactor.callLater(_LEAF_RESTART_S, self.add_leaf, crashed.service)

    def crash_record(
        self, target: str, is_judged: Callable[[float], bool]
    ) -> leaf_rules.CrashRecord:
        """Return what the leaves saw of a request that crashes them.

        Args:
            target: Target of the request.
            is_judged: Returns whether what was sent at a time counts.
        """
        instances = self.leaf_by_id.values()
        return leaf_rules.CrashRecord(
            crashes=[
                each.crashed_at
                for each in instances
                if each.crashed_at is not None and each.crashed_under == target
            ],
            arrivals=[
                at
                for each in instances
                for at, request in zip(
                    each.leaf.request_times, each.leaf.requests, strict=True
                )
                if request.target == target.encode() and is_judged(at)
            ],
        )

    def cut_from_leaves(self, vm: Vm, fault: link_proxy.LinkFault) -> None:
        """Put a fault on all links of a VM to leaves, or end it with NONE.

        The end of a fault that drops bytes resets the connections.
        """
        previous = self._leaf_fault_by_vm_host.get(vm.ports.host)
        self._leaf_fault_by_vm_host[vm.ports.host] = fault
        if previous is link_proxy.LinkFault.SILENT:
            for leaf_instance in self.leaf_by_id.values():
                leaf_instance.link.reset_all(vm.ports.host)

    def _write_entry(self, instance: LeafInstance) -> None:
        self.model.put(
            published_protocol.LEAF_PREFIX + instance.leaf.id,
            published_protocol.leaf_value(
                service=instance.service,
                address=instance.address,
                zone=instance.zone,
                slots=instance.leaf.slots,
                leaving=instance.leaving_at is not None,
            ),
            None,
            "",
        )

    def _heartbeat(self) -> None:
        """Rewrite missing entries periodically, unless the store is down."""
        if not self.model.faults.down:
            stored = self.model.items(published_protocol.LEAF_PREFIX)
            for leaf_id, leaf_instance in self.leaf_by_id.items():
                if (
                    not leaf_instance.removed
                    and leaf_instance.crashed_at is None
                    and published_protocol.LEAF_PREFIX + leaf_id not in stored
                ):
                    self._write_entry(leaf_instance)
        reactor.callLater(_HEARTBEAT_INTERVAL_S, self._heartbeat)

    def remove_random_entries(self, share: float) -> None:
        """Remove the entries of a random share of leaves, as an outage may."""
        for leaf_id in list(self.leaf_by_id):
            if self._rng.random() < share:
                self.model.delete(published_protocol.LEAF_PREFIX + leaf_id)

    def drain(self, instance: LeafInstance) -> None:
        """Drain a leaf and start a replacement."""
        self.add_leaf(instance.service)
        instance.leaving_at = self._clock.monotonic()
        self._write_entry(instance)
        reactor.callLater(6.0, self._remove_leaf, instance)

    def _remove_leaf(self, instance: LeafInstance) -> None:
        instance.removed = True
        self.model.delete(published_protocol.LEAF_PREFIX + instance.leaf.id)

    @property
    def live_leaves(self) -> list[LeafInstance]:
        """Leaves that are neither draining nor removed."""
        return [
            leaf_instance
            for leaf_instance in self.leaf_by_id.values()
            if leaf_instance.leaving_at is None
            and leaf_instance.crashed_at is None
            and not leaf_instance.removed
        ]
