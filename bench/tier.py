"""Processor time of one VM of the tier, with real processes and sockets."""

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
from standins import published, tier_world
from trefoilpier import base, http1
from trefoilpier.tier import line_log

_START_S = 2.5  # The VM starts and reads the store within about one second.
_WARM_UP = 50
_REQUESTS = 400
_AT_A_TIME = 4
_WAIT_MS = 1500
_LINES = 20_000
_CASES = (("read", "/r/", 2), ("gather", "/g/", 10), ("gather", "/g/", 15))


def jobs() -> list[tuple]:
    """Lists the experiments."""
    return [(measure, *case) for case in _CASES] + [(measure_lines,)]


def measure(kind: str, path: str, shards: int) -> Iterator[figures.Figure]:
    """Measures one kind of request in a process of its own."""
    ended = subprocess.run(
        [sys.executable, "-m", "bench.tier", path, str(shards)],
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    row = json.loads(ended.stdout.splitlines()[-1])
    name = f"tier {kind}" + (f" {shards} shards" if kind == "gather" else "")
    yield figures.Figure(
        name=f"{name}/processor", value=row["us"], unit="us", kind="process"
    )
    yield figures.Figure(
        name=f"{name}/answered", value=row["good"], unit="share", least=1.0
    )


def measure_lines() -> Iterator[figures.Figure]:
    """Measures a line of the log, written to a file."""
    clock = base.VirtualClock()
    with tempfile.TemporaryFile() as target:
        log = line_log.LineLog(clock=clock, descriptor=target.fileno())
        started = time.process_time()
        for k in range(_LINES):
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
        spent = time.process_time() - started
    yield figures.Figure(
        name="tier log line/processor",
        value=spent / _LINES * 1e6,
        unit="us",
        kind="process",
    )


async def _ask_all(vm: tier_world.Vm, path: str, count: int, name: str) -> int:
    """Sends requests, a few at a time; returns how many succeeded."""
    asker = http1.Asker(
        reactor=reactor,
        clock=base.ReactorClock(reactor=reactor),
        host=vm.ports.host,
        port=vm.ports.callers,
    )
    good = 0
    for start in range(0, count, _AT_A_TIME):
        calls = [
            asker.ask(
                b"GET",
                f"{path}{k}".encode(),
                headers=[
                    (b"host", b"soak.example"),
                    *published.ask_headers(f"{name}-{k}", _WAIT_MS),
                ],
                timeout_s=3.0,
            )
            for k in range(start, start + _AT_A_TIME)
        ]
        for call in calls:
            outcome = await call
            if isinstance(outcome, http1.Exchanged):
                good += outcome.response.status == 200
    return good


async def _run(world: tier_world.World, path: str) -> dict[str, float]:
    world.start()
    slept: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(_START_S, slept.callback, None)
    await slept
    vm = world.vms[0]
    await _ask_all(vm, path, _WARM_UP, "warm")
    before = cost.cpu_seconds(vm.pid)
    good = await _ask_all(vm, path, _REQUESTS, "count")
    spent = cost.cpu_seconds(vm.pid) - before
    return {"us": spent / _REQUESTS * 1e6, "good": good / _REQUESTS}


def main() -> None:
    """Measures in this process and prints one JSON line."""
    path, shards = sys.argv[1], int(sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        world = tier_world.World(
            rng=random.Random(1),
            directory=pathlib.Path(folder),
            vm_count=1,
            shard_count=shards,
            base_port=20_000 + 20 * random.SystemRandom().randrange(500),
        )

        def ended(result: object) -> None:
            print(json.dumps(result, default=str), flush=True)
            world.stop()
            reactor.callLater(0.2, reactor.stop)

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(_run(world, path)).addBoth(ended)
        )
        reactor.run()


if __name__ == "__main__":
    main()
