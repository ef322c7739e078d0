"""Starts the system and its stand-ins as processes on loopback.

The demo, the proofs and the process benchmarks use it. It ends only the
processes that it has started, by their ids.
"""

import contextlib
import dataclasses
import http.client
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from typing import Any

import orjson

from trefoilpier import config

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
_PEER_KEY = "loopback-only-key-for-the-stand-ins"
_STOP_WAIT_S = 15.0
_ASK_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Answer:
    """One HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def row(self) -> Any:
        """Returns the decoded JSON body."""
        return orjson.loads(self.body)


def ask(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = _ASK_TIMEOUT_S,
) -> Answer:
    """Sends one HTTP request over a new connection."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    data = body if isinstance(body, bytes | None) else orjson.dumps(body)
    with contextlib.closing(connection):
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(
            status=response.status,
            headers={k.lower(): v for k, v in response.getheaders()},
            body=response.read(),
        )


_PORTS_FROM = 15_000
_PORTS_TO = 32_000
_PORTS_A_BLOCK = 400
_GUARD_HOST = "127.0.0.3"
_guards: list[socket.socket] = []
_free: list[int] = []


def free_ports(count: int) -> list[int]:
    """Finds free ports below the range of outgoing connections.

    They come from blocks that this process holds by a guard socket, so that
    rigs that run side by side never choose the same port.
    """
    found: list[int] = []
    while len(found) < count:
        if not _free:
            _free.extend(_take_block())
        port = _free.pop()
        if _can_listen(port):
            found.append(port)
    return found


def _take_block() -> list[int]:
    """Holds a block of ports for the life of this process."""
    starts = list(range(_PORTS_FROM, _PORTS_TO, _PORTS_A_BLOCK))
    random.shuffle(starts)
    for start in starts:
        guard = socket.socket(type=socket.SOCK_DGRAM)
        try:
            guard.bind((_GUARD_HOST, start))
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return list(range(start + _PORTS_A_BLOCK - 1, start - 1, -1))
    raise OSError("no block of ports is free")


def _can_listen(port: int) -> bool:
    """Tells whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with contextlib.closing(socket.socket(type=kind)) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def wait_until(check: Any, seconds: float, what: str) -> None:
    """Polls until ``check()`` is true; raises ``TimeoutError`` otherwise."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if check():
                return
        time.sleep(0.05)
    raise TimeoutError(what)


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeProcess:
    """One entry VM daemon."""

    id: str
    caller_port: int
    peer_port: int
    zone: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class LeafProcess:
    """One process of leaf stand-ins."""

    leaf_ids: tuple[str, ...]
    control_port: int
    process: subprocess.Popen | None = None


class Rig:
    """A platform, leaves and entry VMs for one set of objects."""

    def __init__(
        self,
        *,
        objects: list[config.RawObject],
        nodes: int = 7,
        leaf_processes: int = 1,
        leaf_options: tuple[str, ...] = (),
        log_level: str = "INFO",
        drain_lag: str = "1s",
        queries_max: int = 500,
    ) -> None:
        """Plans the processes.

        Args:
            objects: The operators' objects; addresses are replaced by free
                ports.
            nodes: Number of entry VMs.
            leaf_processes: Number of processes that share a group's leaves.
            leaf_options: More options for every leaf process.
            log_level: Log level of the entry VMs.
            drain_lag: The entry VMs' wait for the balancer.
            queries_max: The entry VMs' requests in flight.
        """
        self._directory = tempfile.TemporaryDirectory(prefix="trefoilpier-")
        self.directory = pathlib.Path(self._directory.name)
        self.objects = self._readdress(objects)
        self.set = config.build_config_set(
            version=0, objects=self.objects
        ).default_with(self._refuse)
        self.log_level = log_level
        self.drain_lag = drain_lag
        self.queries_max = queries_max
        ports = free_ports(2)
        self.platform_port, self.platform_control = ports
        self.platform: subprocess.Popen | None = None
        self.leaves = self._plan_leaves(leaf_processes)
        self._leaf_options = leaf_options
        self.nodes = [self._plan_node(index) for index in range(nodes)]
        self._started: list[subprocess.Popen] = []

    def __enter__(self) -> "Rig":
        return self

    def __exit__(self, *args: object) -> None:
        self.stop()

    def _refuse(self, found: Any) -> Any:
        raise ValueError("; ".join(str(each) for each in found))

    def _readdress(
        self, objects: list[config.RawObject]
    ) -> list[config.RawObject]:
        """Gives every leaf a free port."""
        count = sum(
            len(raw.text_by_key["leaves"].split()) // 2
            for raw in objects
            if raw.kind == "place"
        )
        ports = iter(free_ports(count))
        readdressed = []
        for raw in objects:
            if raw.kind != "place":
                readdressed.append(raw)
                continue
            ids = raw.text_by_key["leaves"].split()[::2]
            lines = "\n".join(f"{each} {HOST}:{next(ports)}" for each in ids)
            keys = {**raw.text_by_key, "leaves": lines}
            readdressed.append(dataclasses.replace(raw, text_by_key=keys))
        return readdressed

    def _plan_leaves(self, processes: int) -> list[LeafProcess]:
        """Divides each group's leaves over some processes."""
        planned = []
        for group in self.set.shard_group_by_name.values():
            ids = sorted({i for row in group.leaf_ids_by_shard for i in row})
            for k in range(min(processes, len(ids))):
                part = tuple(ids[k::processes])
                port = free_ports(1)[0]
                planned.append(LeafProcess(leaf_ids=part, control_port=port))
        return planned

    def _plan_node(self, index: int) -> NodeProcess:
        zones = sorted({leaf.zone for leaf in self.set.leaf_by_id.values()})
        caller_port, peer_port = free_ports(2)
        node_id = f"vm-{index + 1}"
        return NodeProcess(
            id=node_id,
            caller_port=caller_port,
            peer_port=peer_port,
            zone=zones[index % len(zones)],
            settings=self.directory / f"{node_id}.ini",
        )

    def start(self) -> None:
        """Starts everything, publishes the set and waits until ready."""
        self.start_platform()
        for each in self.leaves:
            self.start_leaf(each)
        self.set_members()
        self.publish_directly()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_ready(node)

    def _spawn(self, log: str, *command: str) -> subprocess.Popen:
        with open(self.directory / f"{log}.log", "ab") as out:
            process = subprocess.Popen(
                [sys.executable, *command], cwd=ROOT, stdout=out, stderr=out
            )
        self._started.append(process)
        return process

    def start_platform(self) -> None:
        """Starts the platform stand-in."""
        self.platform = self._spawn(
            "platform",
            "-m",
            "standins.platform",
            f"--port={self.platform_port}",
            f"--control={self.platform_control}",
        )
        wait_until(
            lambda: (
                ask(self.platform_control, "GET", "/v1/counts").status == 200
            ),
            20,
            "platform",
        )

    def start_leaf(self, each: LeafProcess) -> None:
        """Starts one process of leaves."""
        options = []
        for leaf_id in each.leaf_ids:
            group = self.set.group_by_leaf_id[leaf_id]
            shards = [
                str(shard)
                for shard, ids in enumerate(group.leaf_ids_by_shard)
                if leaf_id in ids
            ]
            port = self.set.leaf_by_id[leaf_id].port
            options.append(f"--leaf={leaf_id}:{port}:{','.join(shards)}")
        group = self.set.group_by_leaf_id[each.leaf_ids[0]]
        each.process = self._spawn(
            f"leaf-{each.control_port}",
            "-m",
            "standins.leaf",
            f"--control={each.control_port}",
            f"--ledger={self._ledger_path(each)}",
            f"--slots={group.slots}",
            f"--connections={group.connection_limit}",
            *self._leaf_options,
            *options,
        )
        wait_until(
            lambda: ask(each.control_port, "GET", "/v1/leaves").status == 200,
            20,
            "leaves",
        )

    def start_node(self, node: NodeProcess) -> None:
        """Starts one entry VM daemon."""
        node.settings.write_text(
            f"[node]\nid = {node.id}\nhost = {HOST}\nregion = local\n"
            f"availability_zone = {node.zone}\n"
            f"[caller]\nport = {node.caller_port}\n"
            f"[peer]\nport = {node.peer_port}\nkey = {_PEER_KEY}\n"
            f"[platform]\nhost = {HOST}\nport = {self.platform_port}\n"
            f"[limits]\ndrain_lag = {self.drain_lag}\n"
            f"queries_in_flight = {self.queries_max}\n"
            f"[log]\nlevel = {self.log_level}\n"
        )
        node.process = self._spawn(
            node.id, "-m", "trefoilpier.node.main", str(node.settings)
        )

    def wait_ready(self, node: NodeProcess, seconds: float = 30) -> None:
        """Waits until an entry VM is ready."""
        wait_until(
            lambda: ask(node.caller_port, "GET", "/ready").status == 200,
            seconds,
            f"{node.id} ready",
        )

    def set_members(self, others: Iterable[dict[str, Any]] = ()) -> None:
        """Tells the platform which VMs there are, besides ``others``."""
        rows = [
            {
                "id": node.id,
                "host": HOST,
                "port": node.peer_port,
                "region": "local",
                "zone": node.zone,
                "state": "live",
                "role": "entry",
                "caller_port": node.caller_port,
            }
            for node in self.nodes
        ]
        members = {"members": [*rows, *others]}
        ask(self.platform_control, "POST", "/v1/members", members)

    def publish_directly(self) -> None:
        """Publishes the set through the operators' client."""
        path = self.directory / "objects.ini"
        path.write_text(render_ini(self.objects))
        done = self.client("publish", str(path))
        if done.returncode:
            raise RuntimeError(done.stdout + done.stderr)

    def client(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs the operators' client against the platform."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "trefoilpier.cli.app",
                *arguments,
                f"--platform={HOST}:{self.platform_port}",
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def request(
        self,
        service: str,
        body: Any,
        *,
        node: int = 0,
        key: str = "",
        deadline_ms: int | None = None,
        timeout: float = _ASK_TIMEOUT_S,
    ) -> Answer:
        """Sends one caller's request."""
        headers = {}
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms is not None:
            headers["Trefoilpier-Deadline-Ms"] = str(deadline_ms)
        return ask(
            self.nodes[node].caller_port,
            "POST",
            f"/v1/services/{service}/requests",
            body,
            headers,
            timeout,
        )

    def leaf_faults(self, leaf_id: str = "", **faults: Any) -> None:
        """Switches faults of one leaf, or of all."""
        for each in self.leaves:
            if not leaf_id:
                ask(each.control_port, "POST", "/v1/faults", faults)
            elif leaf_id in each.leaf_ids:
                path = f"/v1/faults?leaf={leaf_id}"
                ask(each.control_port, "POST", path, faults)

    def platform_faults(self, **faults: Any) -> None:
        """Switches faults of the platform."""
        ask(self.platform_control, "POST", "/v1/faults", faults)

    def ledger(self) -> Iterator[dict[str, Any]]:
        """Yields every run with a key, those of killed leaves included."""
        for each in self.leaves:
            for line in self._ledger_path(each).read_bytes().splitlines():
                yield orjson.loads(line)

    def _ledger_path(self, each: LeafProcess) -> pathlib.Path:
        return self.directory / f"leaf-{each.control_port}.ledger"

    def leaf_rows(self) -> dict[str, Any]:
        """Returns the counts of every leaf by its id."""
        rows: dict[str, Any] = {}
        for each in self.leaves:
            rows.update(ask(each.control_port, "GET", "/v1/leaves").row())
        return rows

    def log_text(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self.directory / f"{name}.log").read_text()

    def stop(self) -> None:
        """Ends the processes that this rig started."""
        for process in self._started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + _STOP_WAIT_S
        for process in self._started:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._directory.cleanup()


def render_ini(objects: list[config.RawObject]) -> str:
    """Writes objects back as INI text."""
    lines = []
    for raw in objects:
        lines.append(f"[{raw.section}]")
        for key, text in raw.text_by_key.items():
            value = text.replace("\n", "\n    ")
            lines.append(f"{key} = {value}")
        lines.append("")
    return "\n".join(lines)
