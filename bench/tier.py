"""Processor time of one tier VM, with real processes and sockets."""

import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

from twisted.internet import defer, reactor

from bench import cost, figures
from standins import memory_net, published_protocol, tier_world
from trefoilpier import base, fleet, http1, replicas
from trefoilpier.tier import line_log

_START_S = 2.5  # The VM starts and reads the store in about 1 s.
_WARM_UP_REQUESTS = 50
_REQUESTS = 400
_CONCURRENCY = 4
_TIMEOUT_MS = 1500
_LOG_LINES = 20_000
_REACH_SERVICES = (105, 1000)
_REACH_CHECKS_S = 20.0
_CASES = (("read", "/r/", 2), ("gather", "/g/", 10), ("gather", "/g/", 15))


def jobs() -> list[tuple]:
    """Return the experiments, each a function with its arguments."""
    return [
        *[(measure, *case) for case in _CASES],
        (measure_lines,),
        *[(measure_reach_check, services) for services in _REACH_SERVICES],
    ]


def measure(kind: str, path: str, shards: int) -> Iterator[figures.Figure]:
    """Measure one kind of request in a separate process."""
    completed = subprocess.run(
        [sys.executable, "-m", "bench.tier", path, str(shards)],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    row = json.loads(completed.stdout.splitlines()[-1])
    name = f"tier {kind}" + (f" {shards} shards" if kind == "gather" else "")
    yield figures.Figure(
        name=f"{name}/processor", value=row["us"], unit="us", kind="process"
    )
    yield figures.Figure(
        name=f"{name}/answered",
        value=row["good"],
        unit="share",
        lower_bound=1.0,
    )


def measure_lines() -> Iterator[figures.Figure]:
    """Measure the processor time of one log line written to a file."""
    clock = base.VirtualClock()
    with tempfile.TemporaryFile() as target:
        log = line_log.LineLog(clock=clock, descriptor=target.fileno())
        cpu_start = time.process_time()
        for k in range(_LOG_LINES):
            log.emit(
                base.Event.REQUEST_ENDED,
                request=f"{k:016x}",
                code="TPR-1000",
                status=200,
                took_ms=12.3,
                config=7,
                shards=10,
                present=10,
                sends=11,
                route="r-5xwyhks",
            )
            if k % 100 == 0:
                clock.advance(0.1)
        cpu_used = time.process_time() - cpu_start
    yield figures.Figure(
        name="tier log line/processor",
        value=cpu_used / _LOG_LINES * 1e6,
        unit="us",
        kind="process",
    )


def measure_reach_check(services: int) -> Iterator[figures.Figure]:
    """Measure one check of which services of three leaves a VM reaches."""
    clock = base.VirtualClock()
    registry = replicas.LeafRegistry(
        clock=clock,
        log=base.NullEventLog(),
        reactor=memory_net.MemoryReactor(clock=clock),
        id_header=b"",
        on_capacity=lambda pool: None,
    )
    names = frozenset(f"shard{k}" for k in range(services))
    for name in names:
        for replica in range(3):
            registry.put(
                replicas.LeafEntry(
                    id=f"{name}-{replica}",
                    incarnation=1,
                    service=name,
                    host="10.0.0.1",
                    port=80,
                    zone="z1",
                    slots=2,
                    phase=replicas.LeafPhase.READY,
                )
            )
    reach = fleet.ServiceReach(
        clock=clock,
        log=base.NullEventLog(),
        registry=registry,
        get_services=lambda: names,
        on_change=lambda: None,
    )
    reach.start()
    cpu_start = time.process_time()
    clock.advance(_REACH_CHECKS_S)
    cpu_used = time.process_time() - cpu_start
    yield figures.Figure(
        name=f"tier reach check {services} services/processor",
        value=cpu_used / _REACH_CHECKS_S * 1e3,
        unit="ms a second",
        kind="process",
    )


async def _send_all(vm: tier_world.Vm, path: str, count: int, name: str) -> int:
    """Send requests in batches and return the number of successes."""
    client = http1.HttpClient(
        reactor=reactor,
        clock=base.ReactorClock(reactor=reactor),
        host=vm.ports.host,
        port=vm.ports.caller_port,
    )
    success_count = 0
    for start in range(0, count, _CONCURRENCY):
        calls = [
            client.send_request(
                b"GET",
                f"{path}{k}".encode(),
                headers=[
                    (b"host", b"soak.example"),
                    *published_protocol.request_headers(
                        f"{name}-{k}", _TIMEOUT_MS
                    ),
                ],
                timeout_s=3.0,
            )
            for k in range(start, start + _CONCURRENCY)
        ]
        for call in calls:
            outcome = await call
            if isinstance(outcome, http1.ResponseReceived):
                success_count += outcome.response.status == 200
    return success_count


async def _run(
    environment: tier_world.TierEnvironment, path: str
) -> dict[str, float]:
    environment.start()
    elapsed: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(_START_S, elapsed.callback, None)
    await elapsed
    vm = environment.vms[0]
    await _send_all(vm, path, _WARM_UP_REQUESTS, "warm")
    cpu_before = cost.cpu_seconds(vm.pid)
    success_count = await _send_all(vm, path, _REQUESTS, "count")
    cpu_used = cost.cpu_seconds(vm.pid) - cpu_before
    return {"us": cpu_used / _REQUESTS * 1e6, "good": success_count / _REQUESTS}


def main() -> None:
    """Run the measurement in this process and print one JSON line."""
    path, shards = sys.argv[1], int(sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        environment = tier_world.TierEnvironment(
            rng=random.Random(1),
            directory=pathlib.Path(folder),
            vm_count=1,
            shard_count=shards,
            base_port=20_000 + 20 * random.SystemRandom().randrange(500),
        )

        def ended(result: object) -> None:
            print(json.dumps(result, default=str), flush=True)
            environment.stop()
            reactor.callLater(0.2, reactor.stop)

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(_run(environment, path)).addBoth(ended)
        )
        reactor.run()


if __name__ == "__main__":
    main()
