"""Small stand-ins for the platform, leaves, balancer and clients of a case.

Standard library only. Everything listens on loopback addresses; the programs
under test are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
now = time.monotonic
# Part of the loopback range, so that two cases may run at the same time.
NET = f"127.{random.randrange(64, 250)}"


def free_port() -> int:
    """Return a port that is free on all loopback addresses used here."""
    while True:
        port = random.randrange(20_000, 30_000)
        sockets = []
        try:
            for host in (f"{NET}.0.1", f"{NET}.1.1", f"{NET}.2.1"):
                each = socket.socket()
                sockets.append(each)
                each.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = now()
        self._file = path.open("w")

    def __call__(self, what: str, at: float | None = None) -> None:
        """Write one line, with the seconds since the start."""
        elapsed = (now() if at is None else at) - self.started
        self._file.write(f"{elapsed:9.3f} {what}\n")
        self._file.flush()


class Request:
    """One HTTP request that a server has read."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body


class Peer:
    """The other end of a connection to a server; `gone` once it has closed."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @property
    def gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self.reader.at_eof() or self.reader.exception() is not None


def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]]:
    """Read a first line and headers; names come in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = []
    for each in lines:
        name, _, value = each.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def serve(host: str, port: int, handle):
    """Serve HTTP/1.1: `handle(request, peer)` returns bytes or None."""

    async def run(reader, writer):
        peer = Peer(reader, writer)
        try:
            while True:
                first, pairs = await read_head(reader)
                headers = dict(pairs)
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(
                        int(headers["content-length"])
                    )
                answer = await handle(Request(first, headers, body), peer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port, backlog=512)


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, list] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        # A hook: receives each transaction of a caller, returns what to do.
        self.on_txn = None
        # Whether waiting watches hear nothing.
        self.deaf = False
        # Whether the store is down: nothing is answered, nothing is done.
        self.silent = False
        self._beats: dict[str, float] = {}
        # Revision below which the history is gone; watches before it are cut.
        self.first_revision = 0
        self._cuts = 0

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; the operator and leaves use it as well."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)
        await self._notify()
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )
        await self._notify()

    async def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def compact(self) -> None:
        """Forget the history; waiting watches are cut."""
        self.events.clear()
        self.first_revision = self.revision
        self._cuts += 1
        await self._notify()

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended, for ever."""
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, end) in list(self.leases.items()):
                if end < now():
                    await self._end_lease(lease)

    async def beat(self, key: str, value: bytes) -> None:
        """Take a leaf's heartbeat: only a missing entry is a change."""
        if self.silent:
            return
        self._beats[key] = now()
        if key not in self.items:
            await self.put(key, value)

    async def expire_entries(self, silence_s: float, record) -> None:
        """Remove the entries of leaves that have been silent, for ever."""
        while True:
            await asyncio.sleep(0.005)
            if self.silent:
                continue
            for key, at in list(self._beats.items()):
                if now() - at > silence_s and key in self.items:
                    record(f"STORE  {key} removed after its silence")
                    await self.delete(key)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                await self.delete(key)

    async def apply_txn(self, row: dict) -> tuple[int, dict]:
        """Apply a transaction; return status and body."""
        for condition in row.get("precondition", []):
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return 412, {"items": [item] if item else []}
        for write in row.get("writes", []):
            lease = int(write.get("lease") or 0)
            if lease and lease not in self.leases:
                return 404, {"error": "no such lease"}
        for write in row.get("writes", []):
            await self.put(
                write["key"],
                base64.b64decode(write["value"]),
                int(write.get("lease") or 0),
            )
        for key in row.get("delete-keys", []):
            await self.delete(key)
        return 200, {"revision": self.revision}

    async def handle(self, request: Request, peer: Peer) -> bytes | None:
        """Answer one call."""
        await asyncio.sleep(0.004)
        if self.silent:
            return await self._never(peer)
        status, row = await self._dispatch(request, peer)
        if status == 0:
            return None
        return encode(
            status,
            {"Content-Type": "application/json"},
            json.dumps(row).encode(),
        )

    async def _never(self, peer: Peer) -> None:
        """Answer nothing on this connection any more."""
        while not peer.gone:
            await asyncio.sleep(0.1)

    async def _dispatch(self, request: Request, peer: Peer) -> tuple[int, dict]:
        from urllib.parse import parse_qsl, urlsplit

        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        if url.path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "has-more": len(keys) > 500,
                "at": self.revision,
            }
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if url.path == "/kv-watch":
            return await self._watch(query, peer)
        if url.path == "/kv-txn":
            row = json.loads(request.body)
            if self.on_txn is not None:
                done = await self.on_txn(row, peer)
                if done is not None:
                    return done
            return await self.apply_txn(row)
        if url.path == "/kv-lease":
            ttl = json.loads(request.body)["ttl-ms"]
            self._next_lease += 1
            self.leases[self._next_lease] = [ttl, now() + ttl / 1000]
            return 200, {"lease": self._next_lease, "ttl-ms": ttl}
        if url.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(url.path.rpartition("/")[2]))
            if lease is None:
                return 404, {}
            lease[1] = now() + lease[0] / 1000
            return 200, {}
        if url.path.startswith("/kv-lease-end/"):
            await self._end_lease(int(url.path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict, peer: Peer) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = now() + min(30_000, int(query["wait-ms"])) / 1000
        cuts = self._cuts
        if after < self.first_revision:
            return 410, {}
        while True:
            if cuts != self._cuts:
                return 0, {}
            events = [
                each
                for each in self.events
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            if self.deaf:
                events = []
            left = end - now()
            if self.silent:
                if left <= 0 or peer.gone:
                    await self._never(peer)
                    return 0, {}
                await asyncio.sleep(0.005)
                continue
            if events or left <= 0 or peer.gone:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.5))


class Leaf:
    """One leaf: slots, a queue, and a record of what arrived and ran."""

    def __init__(
        self,
        *,
        leaf_id: str,
        service: str,
        host: str,
        port: int,
        zone: str,
        slots: int,
        work_s,
        record: Record,
    ) -> None:
        self.id = leaf_id
        self.service = service
        self.address = f"{host}:{port}"
        self.host, self.port, self.zone, self.slots = host, port, zone, slots
        self.work_s = work_s
        self.record = record
        self.runs: list[tuple[float, str]] = []
        self.ended: dict[str, float] = {}
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self.queue_max = 12
        self.body_of = lambda request: os.urandom(64)

    async def start(self, store: Store) -> None:
        """Listen and register."""
        self._server = await serve(self.host, self.port, self.handle)
        await self.register(store)

    async def register(self, store: Store, state: str = "ready") -> None:
        """Write the entry."""
        await store.put(f"servers/{self.id}", self.entry(state))

    async def beat(self, store: Store, interval_s: float) -> None:
        """Write a heartbeat again and again."""
        await asyncio.sleep(random.uniform(0.0, interval_s))
        while True:
            await store.beat(f"servers/{self.id}", self.entry("ready"))
            await asyncio.sleep(interval_s)

    def entry(self, state: str) -> bytes:
        """Return the entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "max-concurrency": self.slots,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000 + getattr(self, "born", 0),
        }
        return json.dumps(entry).encode()

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {
            "X-Instance-Id": self.id,
            "X-Server-Load": f"{self._running},{self._waiting},{self.slots}",
        }
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
        return headers

    async def handle(self, request: Request, peer: Peer) -> bytes | None:
        """Answer one request."""
        if request.target == "/health":
            return encode(200, self._headers(request))
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return encode(421, self._headers(request) | {"X-Not-Executed": "1"})
        if self._waiting >= self.queue_max:
            return encode(503, self._headers(request) | {"X-Not-Executed": "1"})
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            if peer.gone:
                return None
            self._running += 1
            self.runs.append((now(), request_id))
            self.record(f"RUN    {request_id} at {self.id}")
            end = now() + self.work_s(request)
            while now() < end and not peer.gone:
                await asyncio.sleep(min(0.2, max(0.0, end - now())))
            self._running -= 1
        self.ended[request_id] = now()
        if peer.gone:
            self.record(f"LEFT   {request_id} at {self.id}: caller has gone")
            return None
        self.record(f"DONE   {request_id} at {self.id}")
        seal = f"{self.id}.{len(self.runs)}.{random.getrandbits(48):x}"
        return encode(
            200,
            self._headers(request) | {"X-Server-Seal": seal},
            self.body_of(request),
        )


class Machine:
    """One machine of the system, with the process of the deploy file."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        host: str,
        port: int,
        store: str,
        folder: pathlib.Path,
        record: Record,
        settings: dict[str, object],
    ) -> None:
        self.name, self.zone, self.host, self.port = name, zone, host, port
        self.record = record
        self.process = None
        self.term_at: float | None = None
        self._stopped = False
        self._log = (folder / f"{name}.log").open("ab")
        rows = {
            "node-name": name,
            "role": "entry",
            "machine-class": "frontend",
            "serves": "frontend",
            "ip": host,
            "zone": zone,
            "region": "hanoi",
            "listen-addrs.frontend": f"{host}:{port}",
            "listen-addrs.ready": f"{host}:{port + 1}",
            "port-range": f"{port + 2},{port + 17}",
            "bootstrap": "true",
            "limits.cpu-share": 0.537,
            "limits.cores": 2,
            "limits.memory-mb": 300,
            "limits.max-fds": 4100,
            "limits.link-mbps": 1000.0,
            "discovery": "platform",
            "entry-point": "vip",
            "heartbeat-ms": 1200,
            "fault-tolerance.machines": 2,
            "bounds.seed-lag-s": 3,
            "bounds.addr-reuse-s": 2,
            "bounds.contact-ms": 4000,
            "bounds.ack-ms": 5000,
            "bounds.catchup-s": 4,
            "bounds.drain-ms": 3000,
            "bounds.grace-s": 6,
            "bounds.loss-slack-ms": 200,
            "bounds.propagation-ms": 3000,
            "bounds.downgrade-ms": 250,
            "bounds.skew-max-ms": 12000,
            "bounds.retry-ratio": 0.2,
            "bounds.budget-window-s": 10,
            "bounds.retry-extra": 54,
            "bounds.recovery-s": 12,
            "platform.address": store,
            "platform.form": "kv",
            "platform.writes-per-s": 400,
            "platform.reads-per-s": 2000,
            "platform.retention-s": 20,
            "platform.value-bytes": 1048576,
            "platform.ttl-min-ms": 1000,
            **settings,
        }
        self.boot = folder / f"{name}.conf"
        self.boot.write_text(
            "".join(f"{key}={value}\n" for key, value in rows.items())
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["TREFOILPIER_BOOT"] = str(self.boot)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        self.record(f"START  {self.name} pid {self.process.pid}")

    async def keep(self) -> None:
        """Start the process again whenever it has ended, as the platform."""
        while not self._stopped:
            code = await self.process.wait()
            self.record(f"ENDED  {self.name} code {code}")
            if self._stopped:
                return
            await asyncio.sleep(0.3)
            if not self._stopped:
                self.term_at = None
                await self.start()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record(f"SIGNAL {signal.Signals(number).name} to {self.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self, grace_s: float = 6.0) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        process, self.term_at = self.process, now()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), grace_s)
        except TimeoutError:
            self.record(f"SIGNAL SIGKILL to {self.name}")
            process.kill()

    def stop(self) -> None:
        """End the process for good."""
        self._stopped = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def ask_ready(self) -> bool:
        """Ask GET /ready, as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port + 1), 0.5
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 0.5)
            return first.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Balancer:
    """The platform's entry, for the clients of one zone (PROTOCOL, Ingress)."""

    def __init__(self, machines: list[Machine], record: Record) -> None:
        self.machines = machines
        self.record = record
        self.misses = {machine.name: 0 for machine in machines}

    async def run(self) -> None:
        """Ask each machine once a second."""
        while True:
            asked = now()
            for machine in self.machines:
                asyncio.ensure_future(self._ask(machine))
            await asyncio.sleep(max(0.0, asked + 1.0 - now()))

    async def _ask(self, machine: Machine) -> None:
        before = self.in_rotation(machine)
        if await machine.ask_ready():
            self.misses[machine.name] = 0
        else:
            self.misses[machine.name] += 1
        if before != self.in_rotation(machine):
            word = "out of" if before else "back in"
            self.record(f"BALANCER {machine.name} is {word} rotation")

    def in_rotation(self, machine: Machine) -> bool:
        """Whether the machine has not missed twice."""
        return self.misses[machine.name] < 2

    def choose(self) -> Machine:
        """Return the machine for a new connection.

        Fewer than half in rotation: all machines of the zone are used.
        """
        rotation = [each for each in self.machines if self.in_rotation(each)]
        if 2 * len(rotation) < len(self.machines):
            rotation = self.machines
        return random.choice(rotation)


class Answer:
    """What a client saw of one request."""

    def __init__(self) -> None:
        self.request_id = ""
        self.machine: Machine | None = None
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.problem = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


async def ask(
    machine: Machine,
    *,
    request_id: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 5000,
    host: str = "review.example",
    extra: str = "",
    record: Record | None = None,
) -> Answer:
    """Send one request on a new connection and wait for its answer."""
    answer = Answer()
    answer.request_id, answer.machine = request_id, machine
    answer.sent_at = now()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(machine.host, machine.port), 1.0
        )
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{extra}"
        )
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        answer.sent_at = now()
        if record:
            record(f"SENT   {request_id} {method} {path} to {machine.name}")
        async with asyncio.timeout(deadline_ms / 1000):
            first, answer.headers = await read_head(reader)
            length = int(answer.header("content-length") or 0)
            answer.body = await reader.readexactly(length)
            answer.status = int(first.split(" ")[1])
    except TimeoutError:
        answer.problem = "no answer until the deadline"
    except (asyncio.IncompleteReadError, ConnectionResetError) as error:
        answer.problem = (
            f"connection ended without an answer ({type(error).__name__})"
        )
    except OSError as error:
        answer.problem = f"cannot connect ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = now()
    if record:
        record(f"ANSWER {request_id} {answer.status or answer.problem}")
    return answer


def route(name: str, prefix: str, **fields: object) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "review.example",
        "prefix": prefix,
        "type": "safe",
        "timeout-ms": 5000,
        "target-latency-ms": 800,
        "max-attempts": 3,
        "priority": 1,
        **fields,
    }


def gather_route(
    name: str, prefix: str, shards: list[str], **fields: object
) -> dict:
    """Return a route over many shards."""
    row = route(
        name,
        prefix,
        gather=shards,
        **{"top-k": 50, "min-coverage": 0.89, "target-latency-ms": 250},
    )
    return row | fields


def config(
    version: int, routes: list[dict], services: list[str], **more
) -> bytes:
    """Return the value of op/config."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "health-path": "/health", "max-conns": 100}
                for name in services
            ],
            "limits": {
                "header-bytes": 16384,
                "body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            **more,
        }
    ).encode()


async def _run(main, folder, record, trouble, machines) -> int:
    """Run a case, and end the machines' processes."""
    try:
        return await main(folder, record, trouble, machines)
    finally:
        for machine in machines:
            machine.stop()
        for machine in machines:
            if machine.process is not None:
                await machine.process.wait()


def run_case(main) -> None:
    """Run `main` and exit with its code; 2 if the case could not run."""
    case = pathlib.Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    machines: list[Machine] = []
    code = 2
    try:
        if not (ROOT / "target/deps/twisted").is_dir():
            raise RuntimeError("target/deps is missing: run the build first")
        record = Record(case / "record.txt")
        code = asyncio.run(_run(main, folder, record, trouble, machines))
        sys.stdout.flush()
    except Exception as error:  # The case could not run.
        import traceback

        traceback.print_exc()
        print(f"the case could not run: {error}")
        code = 2
    finally:
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)
