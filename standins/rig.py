"""Test rig that runs the system with simulated services on loopback.

The demo, the proofs and the process benchmarks use it. It terminates only the
processes that it has started, by process id.
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
_STOP_TIMEOUT_S = 15.0
_REQUEST_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class HttpResponse:
    """One HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def row(self) -> Any:
        """Return the decoded JSON body."""
        return orjson.loads(self.body)


def send_request(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = _REQUEST_TIMEOUT_S,
) -> HttpResponse:
    """Send one HTTP request over a new connection."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    data = body if isinstance(body, bytes | None) else orjson.dumps(body)
    with contextlib.closing(connection):
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return HttpResponse(
            status=response.status,
            headers={k.lower(): v for k, v in response.getheaders()},
            body=response.read(),
        )


_FIRST_PORT = 15_000
_PORT_LIMIT = 32_000
_PORTS_PER_BLOCK = 400
_GUARD_HOST = "127.0.0.3"
_guard_sockets: list[socket.socket] = []
_reserved_ports: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return free ports below the range of ephemeral ports.

    The ports come from blocks that this process reserves with a guard socket,
    so that concurrent rigs never choose the same port.
    """
    found: list[int] = []
    while len(found) < count:
        if not _reserved_ports:
            _reserved_ports.extend(_reserve_port_block())
        port = _reserved_ports.pop()
        if _is_port_free(port):
            found.append(port)
    return found


def _reserve_port_block() -> list[int]:
    """Reserve a block of ports for the lifetime of this process."""
    starts = list(range(_FIRST_PORT, _PORT_LIMIT, _PORTS_PER_BLOCK))
    random.shuffle(starts)
    for start in starts:
        guard = socket.socket(type=socket.SOCK_DGRAM)
        try:
            guard.bind((_GUARD_HOST, start))
        except OSError:
            guard.close()
            continue
        _guard_sockets.append(guard)
        return list(range(start + _PORTS_PER_BLOCK - 1, start - 1, -1))
    raise OSError("no free port block: all guard ports are in use")


def _is_port_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with contextlib.closing(socket.socket(type=kind)) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def wait_until(check: Any, seconds: float, what: str) -> None:
    """Poll ``check`` until it is true.

    Args:
        check: Function to poll; OSError and HTTPException count as
                false.
        seconds: Maximum waiting time.
        what: Description of the condition, used as the error message.

    Raises:
        TimeoutError: If ``check()`` was not true in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if check():
                return
        time.sleep(0.05)
    raise TimeoutError(what)


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeProcess:
    """Process of one entry VM daemon."""

    id: str
    caller_port: int
    peer_port: int
    zone: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class LeafProcess:
    """Process that serves simulated leaves."""

    leaf_ids: tuple[str, ...]
    control_port: int
    process: subprocess.Popen | None = None


class Rig:
    """A platform, leaves and entry VMs for one set of configuration objects."""

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
        """Prepare the processes without starting them.

        Args:
            objects: Configuration objects; leaf addresses are replaced by
                free ports on loopback.
            nodes: Number of entry VMs.
            leaf_processes: Number of processes per shard group among which its
                leaves are divided.
            leaf_options: Additional options of every leaf process.
            log_level: Log level of the entry VMs.
            drain_lag: Time for which a draining entry VM waits for the load
                balancer.
            queries_max: Maximum number of requests in flight per entry VM.
        """
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix="trefoilpier-"
        )
        self.directory = pathlib.Path(self._temporary_directory.name)
        self.objects = self._assign_leaf_ports(objects)
        self.config_set = config.build_config_set(
            version=0, objects=self.objects
        ).default_with(self._raise_invalid)
        self.log_level = log_level
        self.drain_lag = drain_lag
        self.queries_max = queries_max
        ports = free_ports(2)
        self.platform_port, self.platform_control = ports
        self.platform: subprocess.Popen | None = None
        self.leaves = self._plan_leaves(leaf_processes)
        self._leaf_options = leaf_options
        self.nodes = [self._plan_node(index) for index in range(nodes)]
        self._processes: list[subprocess.Popen] = []

    def __enter__(self) -> "Rig":
        return self

    def __exit__(self, *args: object) -> None:
        self.stop()

    def _raise_invalid(self, findings: Any) -> Any:
        raise ValueError("; ".join(str(finding) for finding in findings))

    def _assign_leaf_ports(
        self, objects: list[config.RawObject]
    ) -> list[config.RawObject]:
        """Return the objects with a free loopback port for every leaf."""
        count = sum(
            len(raw.text_by_key["leaves"].split()) // 2
            for raw in objects
            if raw.kind == "place"
        )
        ports = iter(free_ports(count))
        assigned = []
        for raw in objects:
            if raw.kind != "place":
                assigned.append(raw)
                continue
            ids = raw.text_by_key["leaves"].split()[::2]
            lines = "\n".join(
                f"{leaf_name} {HOST}:{next(ports)}" for leaf_name in ids
            )
            keys = {**raw.text_by_key, "leaves": lines}
            assigned.append(dataclasses.replace(raw, text_by_key=keys))
        return assigned

    def _plan_leaves(self, processes: int) -> list[LeafProcess]:
        """Divide the leaves of each shard group among processes."""
        planned = []
        for group in self.config_set.shard_group_by_name.values():
            ids = sorted(
                {
                    group_leaf
                    for row in group.leaf_ids_by_shard
                    for group_leaf in row
                }
            )
            for offset in range(min(processes, len(ids))):
                part = tuple(ids[offset::processes])
                port = free_ports(1)[0]
                planned.append(LeafProcess(leaf_ids=part, control_port=port))
        return planned

    def _plan_node(self, index: int) -> NodeProcess:
        zones = sorted(
            {leaf.zone for leaf in self.config_set.leaf_by_id.values()}
        )
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
        """Start all processes, publish the objects and wait until ready."""
        self.start_platform()
        for leaf_process in self.leaves:
            self.start_leaf(leaf_process)
        self.set_members()
        self.publish_objects()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_ready(node)

    def _spawn(self, log: str, *command: str) -> subprocess.Popen:
        with open(self.directory / f"{log}.log", "ab") as out:
            process = subprocess.Popen(
                [sys.executable, *command], cwd=ROOT, stdout=out, stderr=out
            )
        self._processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the simulated platform."""
        self.platform = self._spawn(
            "platform",
            "-m",
            "standins.platform",
            f"--port={self.platform_port}",
            f"--control={self.platform_control}",
        )
        wait_until(
            lambda: (
                send_request(self.platform_control, "GET", "/v1/counts").status
                == 200
            ),
            20,
            "platform",
        )

    def start_leaf(self, leaf_process: LeafProcess) -> None:
        """Start one process of simulated leaves."""
        options = []
        for leaf_id in leaf_process.leaf_ids:
            group = self.config_set.group_by_leaf_id[leaf_id]
            shards = [
                str(shard)
                for shard, ids in enumerate(group.leaf_ids_by_shard)
                if leaf_id in ids
            ]
            port = self.config_set.leaf_by_id[leaf_id].port
            options.append(f"--leaf={leaf_id}:{port}:{','.join(shards)}")
        group = self.config_set.group_by_leaf_id[leaf_process.leaf_ids[0]]
        leaf_process.process = self._spawn(
            f"leaf-{leaf_process.control_port}",
            "-m",
            "standins.leaf",
            f"--control={leaf_process.control_port}",
            f"--ledger={self._ledger_path(leaf_process)}",
            f"--slots={group.slots}",
            f"--connections={group.connection_limit}",
            *self._leaf_options,
            *options,
        )
        wait_until(
            lambda: (
                send_request(
                    leaf_process.control_port, "GET", "/v1/leaves"
                ).status
                == 200
            ),
            20,
            "leaves",
        )

    def start_node(self, node: NodeProcess) -> None:
        """Start one entry VM daemon."""
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
        """Wait until an entry VM is ready."""
        wait_until(
            lambda: (
                send_request(node.caller_port, "GET", "/ready").status == 200
            ),
            seconds,
            f"{node.id} ready",
        )

    def set_members(self, others: Iterable[dict[str, Any]] = ()) -> None:
        """Set the membership list to the entry VMs and ``others``."""
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
        send_request(self.platform_control, "POST", "/v1/members", members)

    def publish_objects(self) -> None:
        """Publish the objects with the operators' client."""
        path = self.directory / "objects.ini"
        path.write_text(render_ini(self.objects))
        completed = self.run_client("publish", str(path))
        if completed.returncode:
            raise RuntimeError(completed.stdout + completed.stderr)

    def run_client(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' client against the platform."""
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
        timeout: float = _REQUEST_TIMEOUT_S,
    ) -> HttpResponse:
        """Send one caller's request to an entry VM."""
        headers = {}
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms is not None:
            headers["Trefoilpier-Deadline-Ms"] = str(deadline_ms)
        return send_request(
            self.nodes[node].caller_port,
            "POST",
            f"/v1/services/{service}/requests",
            body,
            headers,
            timeout,
        )

    def set_leaf_faults(self, leaf_id: str = "", **faults: Any) -> None:
        """Set faults of one leaf, or of all leaves."""
        for leaf_process in self.leaves:
            if not leaf_id:
                send_request(
                    leaf_process.control_port, "POST", "/v1/faults", faults
                )
            elif leaf_id in leaf_process.leaf_ids:
                path = f"/v1/faults?leaf={leaf_id}"
                send_request(leaf_process.control_port, "POST", path, faults)

    def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform."""
        send_request(self.platform_control, "POST", "/v1/faults", faults)

    def ledger(self) -> Iterator[dict[str, Any]]:
        """Yield every run with a key, including those of killed leaves."""
        for leaf_process in self.leaves:
            for line in (
                self._ledger_path(leaf_process).read_bytes().splitlines()
            ):
                yield orjson.loads(line)

    def _ledger_path(self, leaf_process: LeafProcess) -> pathlib.Path:
        return self.directory / f"leaf-{leaf_process.control_port}.ledger"

    def leaf_counts(self) -> dict[str, Any]:
        """Return the counts of every leaf by id."""
        rows: dict[str, Any] = {}
        for leaf_process in self.leaves:
            rows.update(
                send_request(
                    leaf_process.control_port, "GET", "/v1/leaves"
                ).row()
            )
        return rows

    def log_text(self, name: str) -> str:
        """Return the log output of a process."""
        return (self.directory / f"{name}.log").read_text()

    def stop(self) -> None:
        """Terminate the processes that this rig started.

        SIGCONT comes first, because a stopped process does not act on SIGTERM.
        """
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + _STOP_TIMEOUT_S
        for process in self._processes:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._temporary_directory.cleanup()


def render_ini(objects: list[config.RawObject]) -> str:
    """Return objects as INI text."""
    lines = []
    for raw in objects:
        lines.append(f"[{raw.section}]")
        for key, text in raw.text_by_key.items():
            value = text.replace("\n", "\n    ")
            lines.append(f"{key} = {value}")
        lines.append("")
    return "\n".join(lines)
