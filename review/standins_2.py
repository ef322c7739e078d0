"""Stand-ins for the cases of the second review: store, leaves and callers.

They need the standard library only, use loopback addresses, and run in the
process of the case. The VMs are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 4.0
DRAIN_S = 3.0
_HEARTBEAT_S = 1.2
# As for the leafs of the small sites.
_COLD_S = 3.0
_COLD_FACTOR = 1.6
_SLOTS = 4
_QUEUE = 8
_STATUS_TEXT = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed"}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Text file with what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._path.write_text("")
        self._start = time.monotonic()

    def now(self):
        """Return seconds since the start of the case."""
        return time.monotonic() - self._start

    def add(self, text):
        """Write one line."""
        with self._path.open("a") as file:
            file.write(f"{self.now():8.3f}  {text}\n")


async def read_message(reader):
    """Return the first line, headers and body of an HTTP message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def make_answer(status, headers, body):
    """Return an encoded response."""
    lines = [f"HTTP/1.1 {status} {_STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: items, revisions, watches and leases."""

    def __init__(self):
        self._items = {}
        self._events = []
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.revision = 10

    def put(self, key, value, lease=0):
        """Write an item; return when it was accepted, in monotonic time."""
        self.revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._note(item)
        return time.monotonic()

    def put_json(self, key, value):
        """Write an item as JSON."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key):
        """Remove an item; return when that was accepted."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})
        return time.monotonic()

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self):
        """Remove the items of leases that have run out, for ever."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, until) in list(self._leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.delete(key)

    async def handle(self, line, _headers, body):
        """Return status and body of the answer to one call."""
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                query, keep_blank_values=True
            ).items()
        }
        if path == "/kv-key":
            item = self._items.get(arguments["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/kv-range":
            prefix, after = arguments["prefix"], arguments.get("after", "")
            keys = [
                key
                for key in sorted(self._items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": [self._items[key] for key in keys[:500]],
                "has-more": len(keys) > 500,
                "at": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(arguments)
        if path == "/kv-txn":
            return self._change(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = json.loads(body)["ttl-ms"]
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl-ms": ttl_ms}
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            lease = int(path.rpartition("/")[2])
            known = lease in self._leases
            self._end_lease(lease)
            return (200 if known else 404), {}
        return 404, {"error": "no such call"}

    async def _watch(self, arguments):
        prefix, after = arguments["prefix"], int(arguments["after"])
        until = time.monotonic() + int(arguments["wait-ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _change(self, row):
        for condition in row.get("precondition", []):
            item = self._items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return 412, {"items": [item] if item else []}
        for write in row.get("writes", []):
            lease = write.get("lease") or 0
            if lease and lease not in self._leases:
                return 404, {}
        for write in row.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease") or 0)
        for key in row.get("delete-keys", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Path:
    """The path of one VM to the store, which may give no response.

    While `silent`, what the VM sends is dropped and nothing is returned. Such a
    connection returns nothing further afterwards either, and is not reset; new
    connections work again.

    Attributes:
        silent: Whether the store gives this VM no response.
        dropped_at: Monotonic time of the last read that was dropped.
        watch_at: Monotonic time at which the last watch began.
        reads_dropped: Number of reads that were dropped.
        on_dropped: Called with the first line of each call that is dropped.
    """

    def __init__(self, store):
        self._store = store
        self.silent = False
        self.dropped_at = 0.0
        self.watch_at = 0.0
        self.reads_dropped = 0
        self.on_dropped = lambda line: None

    async def serve(self, reader, writer):
        """Serve one connection of the VM."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                if self.silent:
                    self._drop(message[0])
                    await self._swallow(reader)
                    break
                if message[0].startswith("GET /kv-watch"):
                    self.watch_at = time.monotonic()
                status, row = await self._store.handle(*message)
                if self.silent:
                    self._drop(message[0] + " (its answer)")
                    await self._swallow(reader)
                    break
                body = json.dumps(row).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(make_answer(status, headers, body))
                await writer.drain()
        writer.close()

    def _drop(self, line):
        if line.startswith("GET /kv-range"):
            self.reads_dropped += 1
            self.dropped_at = time.monotonic()
        self.on_dropped(line)

    async def _swallow(self, reader):
        while await reader.read(65536):
            pass


class Leaf:
    """A leaf with slots, which signs its answers and writes its entry.

    It is slow for some seconds after its start, and says so in its entry.

    Attributes:
        arrivals: Time, id, method and target of each request, without health
            checks and those meant for another leaf.
        runs: Ids of the requests that it began to run.
        state: State in its entry.
    """

    def __init__(self, record, store, leaf_id, service, *, work_s=0.02):
        self.id = leaf_id
        self.service = service
        self.state = "ready"
        self.address = ""
        self.arrivals = []
        self.runs = []
        self._record = record
        self._store = store
        self._born = time.time()
        self._work_s = work_s
        self._slot = asyncio.Semaphore(_SLOTS)
        self._waiting = 0
        self._sequence = 0
        self._written = {}
        self._beat_at = 0.0
        self._tasks = set()
        self._server = None

    @property
    def _cold_left_s(self):
        return max(0.0, self._born + _COLD_S - time.time())

    async def start(self, host):
        """Listen on a free port and write the entry."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.write_entry()
        self._tasks.add(asyncio.create_task(self._beat()))

    async def _beat(self):
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            self.write_entry()

    def write_entry(self):
        """Write the entry; it changes when more than its sequence does.

        Returns:
            The time at which the store accepted it.
        """
        self._beat_at = time.monotonic()
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "max-concurrency": _SLOTS,
            "state": self.state,
            "warmup-left-ms": round(1000 * self._cold_left_s),
            "born": int(1000 * self._born),
        }
        if entry == self._written:
            return self._beat_at
        self._written = entry
        return self._store.put_json(
            f"servers/{self.id}", {**entry, "sequence": self._sequence}
        )

    def report_draining(self):
        """Report that the leaf drains; return when the store accepted it."""
        self.state = "draining"
        self._record.add(f"{self.id} reports that it is draining")
        return self.write_entry()

    def leave_silently(self):
        """Have the entry removed and serve on; return when it was removed."""
        self._cancel_beats()
        self._record.add(f"the entry of {self.id} is removed, it serves on")
        return self._store.delete(f"servers/{self.id}")

    def _cancel_beats(self):
        for task in list(self._tasks):
            if task.get_coro().__name__ == "_beat":
                task.cancel()

    def end(self):
        """End the process: all its sockets are closed, its work is lost.

        Its entry expires after three heartbeat intervals of silence.
        """
        self._record.add(f"{self.id} ends")
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        expires_in_s = self._beat_at + 3 * _HEARTBEAT_S - time.monotonic()
        asyncio.get_running_loop().call_later(
            max(0.0, expires_in_s), self._store.delete, f"servers/{self.id}"
        )

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(*message))
                await writer.drain()
        self._tasks.discard(task)
        writer.close()

    async def _answer(self, line, headers, _body):
        method, target, _ = line.split(" ")
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return make_answer(status, {"X-Instance-Id": self.id}, b"")
        request_id = headers.get("x-request-id", "")
        answer = {"X-Request-Id": request_id}
        if headers.get("x-expect-instance", self.id) != self.id:
            return make_answer(421, {**answer, "X-Not-Executed": "1"}, b"")
        self.arrivals.append((time.monotonic(), request_id, method, target))
        if self._waiting >= _QUEUE:
            return make_answer(503, {**answer, "X-Not-Executed": "1"}, b"")
        self._waiting += 1
        async with self._slot:
            self._waiting -= 1
            self.runs.append(request_id)
            self._record.add(f"{self.id} runs {request_id} {method} {target}")
            factor = _COLD_FACTOR if self._cold_left_s else 1.0
            await asyncio.sleep(self._work_s * factor)
        seal = f"{self.id}.{len(self.runs)}.{random.getrandbits(32):08x}"
        return make_answer(
            200, {**answer, "X-Server-Seal": seal}, random.randbytes(64)
        )


class Vm:
    """A VM of the system: one process of the deploy file's role."""

    def __init__(self, name, host, store_address, folder, ports):
        self.name = name
        self.host = host
        self.caller_port = ports
        self.ready_port = ports + 1
        self._settings = pathlib.Path(folder) / f"{name}.conf"
        self._log = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                host=host,
                caller=self.caller_port,
                ready=self.ready_port,
                control=ports + 2,
                first=ports + 3,
                last=ports + 18,
                store=store_address,
            )
        )

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "TREFOILPIER_BOOT": str(self._settings),
        }
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, limit_s=20.0):
        """Wait until the readiness page answers with 200."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CaseError(f"{self.name} ended: {self.read_log()[-800:]}")
            with contextlib.suppress(OSError, IndexError, TimeoutError):
                line = await asyncio.wait_for(self._ask_ready(), 1.0)
                if " 200 " in line:
                    return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready: {self.read_log()[-800:]}")

    async def _ask_ready(self):
        reader, writer = await asyncio.open_connection(
            self.host, self.ready_port
        )
        writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message[0] if message else ""

    def read_log(self):
        """Return what the process has written."""
        return self._log.read_text(errors="replace")

    async def stop(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def start_vms(store, prefix, folder, count):
    """Start VMs, each with its own path to the store, and wait for them.

    Returns:
        The VMs and their paths. If one does not start, all are stopped.
    """
    vms, paths = [], []
    for k in range(count):
        path = Path(store)
        server = await asyncio.start_server(path.serve, f"{prefix}.{50 + k}", 0)
        port = server.sockets[0].getsockname()[1]
        host = f"{prefix}.{k + 1}"
        address = f"{prefix}.{50 + k}:{port}"
        vms.append(Vm(f"vm-{k + 1}", host, address, folder, free_block(host)))
        paths.append(path)
    try:
        await restart_vms(vms)
    except BaseException:
        await stop_vms(vms)
        raise
    return vms, paths


async def restart_vms(vms):
    """Start the processes of VMs and wait until they are ready."""
    for vm in vms:
        await vm.start()
    for vm in vms:
        await vm.wait_ready()


async def stop_vms(vms):
    """Kill the processes of VMs."""
    for vm in vms:
        await vm.stop()


async def start_leaves(record, store, prefix, service, count):
    """Start leaves of a service, which register at once."""
    leaves = [Leaf(record, store, f"i-{k}", service) for k in range(count)]
    for k, leaf in enumerate(leaves):
        await leaf.start(f"{prefix}.{100 + k}")
    return leaves


async def keep_calling(record, vm, number, sent_at_by_id):
    """Send requests one after the other; each fourth is a booking.

    Args:
        record: The record of the case.
        vm: The VM that gets them.
        number: Number of the client.
        sent_at_by_id: Receives the time at which each was sent.
    """
    count = 0
    while True:
        count += 1
        booking = count % 4 == 0
        method, route = ("POST", "book") if booking else ("GET", "fetch")
        request_id = f"c{number}-{count}"
        record.add(f"{request_id} {method} /{route} is sent to {vm.name}")
        sent_at_by_id[request_id] = time.monotonic()
        status, headers, _ = await send(
            vm,
            method,
            f"/{route}/{number}/{count}",
            request_id=request_id,
            deadline_ms=3000,
            host="shop.example",
            body=b"x" if booking else b"",
        )
        seal = headers.get("x-server-seal", "")
        record.add(f"{request_id} is answered {status} {seal}")
        await asyncio.sleep(0.03)


async def end_tasks(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def list_late_arrivals(record, leaving, left_at, in_touch_at, sent_at_by_id):
    """Return what reached a leaf too late after it had left.

    Only what clients sent while the VM was in touch counts.

    Args:
        record: The record of the case.
        leaving: The leaf.
        left_at: Time at which the store accepted that it leaves.
        in_touch_at: Time from which the VM is in touch.
        sent_at_by_id: Time at which each request was sent.
    """
    arrivals = [each for each in leaving.arrivals if each[0] > left_at]
    last_at = max((each[0] for each in arrivals), default=left_at)
    record.add(
        f"{leaving.id} got {len(arrivals)} requests after it had left, the "
        f"last {last_at - left_at:.2f} s after it; vm-1 is in touch from "
        f"{in_touch_at - left_at:.2f} s after it"
    )
    return [
        f"{method} {target} {request_id} reached {leaving.id} "
        f"{at - left_at:.3f} s after it had left, sent "
        f"{sent_at_by_id[request_id] - in_touch_at:.3f} s after vm-1 was in "
        "touch again"
        for at, request_id, method, target in arrivals
        if at > left_at + DRAIN_S and sent_at_by_id[request_id] > in_touch_at
    ]


async def send(vm, method, target, *, request_id, deadline_ms, host, body=b""):
    """Send one request on a new connection; return status, headers, body.

    The status is 0 if there was no answer until a second past the deadline.
    """
    try:
        return await asyncio.wait_for(
            _send(vm, method, target, request_id, deadline_ms, host, body),
            deadline_ms / 1000 + 1.0,
        )
    except (OSError, TimeoutError):
        return 0, {}, b""


async def _send(vm, method, target, request_id, deadline_ms, host, body):
    reader, writer = await asyncio.open_connection(vm.host, vm.caller_port)
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    writer.write(head.encode() + b"\r\n" + body)
    try:
        message = await read_message(reader)
    finally:
        writer.close()
    if message is None:
        return 0, {}, b""
    return int(message[0].split(" ")[1]), message[1], message[2]


def free_block(host):
    """Return the first of 24 free ports of an address."""
    for _ in range(50):
        first = random.randrange(20_000, 32_000)
        sockets = []
        try:
            for port in range(first, first + 24):
                sockets.append(socket.create_server((host, port)))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
        return first
    raise CaseError("no free ports")


def routes(version, *, timeout_ms=5000, **service_by_route):
    """Return a configuration with one route for each service.

    Args:
        version: Its version.
        timeout_ms: Timeout of the routes.
        service_by_route: Service and type of each route, by its name.
    """
    services = sorted({service for service, _ in service_by_route.values()})
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "shop.example",
                "prefix": f"/{name}/",
                "service": service,
                "type": kind,
                "timeout-ms": timeout_ms,
                "target-latency-ms": 800,
                "max-attempts": 2 if kind == "safe" else 1,
                "priority": 1,
            }
            for name, (service, kind) in service_by_route.items()
        ],
        "services": [
            {"name": service, "health-path": "/health", "max-conns": 35}
            for service in services
        ],
        "limits": {
            "header-bytes": 16384,
            "body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def run_case(case):
    """Run a case and return its exit status.

    Args:
        case: Coroutine function of the record, a host prefix and a folder. It
            returns what broke the rule.
    """
    folder = pathlib.Path(case.__globals__["__file__"]).resolve().parent
    record = Record(folder)
    # Addresses that another run does not use at the same time.
    prefix = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
    try:
        with tempfile.TemporaryDirectory() as work:
            broken = asyncio.run(_run_limited(case, record, prefix, work))
    except (
        CaseError,
        OSError,
        TimeoutError,
        asyncio.CancelledError,
    ) as error:
        record.add(f"the case could not run: {error!r}")
        return 2
    for line in broken[:20]:
        record.add(f"BROKEN {line}")
    record.add(f"{len(broken)} times broken" if broken else "the rule held")
    return 1 if broken else 0


async def _run_limited(case, record, prefix, work):
    """Run a case for 115 s at most; SIGTERM ends it and its processes."""
    task = asyncio.create_task(case(record, prefix, work))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, 115)


_SETTINGS = """node-name={name}
role=entry
machine-class=frontend
serves=frontend
ip={host}
zone=z1
region=r1
zones.z1=r1
listen-addrs.frontend={host}:{caller}
listen-addrs.ready={host}:{ready}
listen-addrs.control={host}:{control}
port-range={first},{last}
seeds=
bootstrap=true
loss-counted=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry-point=vip
heartbeat-ms=1200
policies=base,drain,config,cost,retry,recover,scatter,platform
fault-tolerance.machines=2
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.contact-ms=4000
bounds.ack-ms=5000
bounds.catchup-s=4
bounds.drain-ms=3000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.propagation-ms=3000
bounds.downgrade-ms=250
bounds.skew-max-ms=12000
bounds.retry-ratio=0.2
bounds.budget-window-s=10
bounds.retry-extra=54
bounds.recovery-s=12
platform.address={store}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.retention-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
"""
