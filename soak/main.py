"""``bin/soak``: runs one seed after the other."""

import argparse
import collections
import pathlib
import random
import resource
import sys
import tempfile
import time

from twisted.internet import defer, reactor

from soak import callers, checks, faults
from standins import tier_world
from trefoilpier import base

_RECOVERY_S = 8.0  # The users allow 12 s; VMs start within one here.
_AFTER_S = 3.0  # Requests that are judged after the recovery.
_STOP_S = 4.0  # One VM is told to stop meanwhile.
_LAST_S = 3.0  # For answers that are out.
_FILES = 4096  # Connections, both ends of each in this process.


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bin/soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--shards", type=int, default=6)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--logs", default="", help="folder for the VMs' lines")
    return parser.parse_args()


async def _soak(args: argparse.Namespace, seed: int, folder: str) -> list[str]:
    clock = base.ReactorClock(reactor=reactor)
    rng = random.Random(seed)
    soak_world = tier_world.World(
        rng=random.Random(rng.random()),
        directory=pathlib.Path(folder),
        vm_count=args.vms,
        shard_count=args.shards,
        base_port=20_000 + 20 * random.SystemRandom().randrange(500),
    )
    load = callers.Callers(
        rng=random.Random(rng.random()),
        soak_world=soak_world,
        rate=args.rate,
    )
    plan = faults.FaultPlan(
        rng=random.Random(rng.random()),
        soak_world=soak_world,
        now=clock.monotonic,
    )
    soak_world.start()
    load.start()
    await _sleep(3.0)
    plan.start()
    await _sleep(args.seconds)
    plan.stop()
    await _sleep(_RECOVERY_S)
    recovered_from = clock.monotonic()
    await _sleep(_AFTER_S)
    plan.planned_stop()
    await _sleep(_STOP_S)
    load.stopped = True
    await _sleep(_LAST_S)
    found = checks.check_all(
        soak_world,
        load.seen,
        recovered_from=recovered_from,
        applied=plan.applied,
    )
    statuses = collections.Counter(each.status for each in load.seen)
    print(f"seed {seed}: {len(load.seen)} requests, {dict(statuses)}")
    for each in plan.applied:
        print(f"  {each.at:9.2f} {each.name} ({each.seconds:.1f} s)")
    for line in found:
        print(f"  BROKEN {line}")
    if args.logs:
        target = pathlib.Path(args.logs)
        target.mkdir(parents=True, exist_ok=True)
        for vm in soak_world.vms:
            name = f"seed-{seed}-{vm.name}.log"
            (target / name).write_bytes(b"".join(vm.output))
    soak_world.stop()
    await _sleep(0.5)
    return found


def _sleep(seconds: float) -> "defer.Deferred[None]":
    slept: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, slept.callback, None)
    return slept


def main() -> None:
    """Runs one seed; exits 1 if a promise was broken."""
    args = _parse_args()
    seed = args.seed if args.seed is not None else time.time_ns() % 1_000_000
    resource.setrlimit(
        resource.RLIMIT_NOFILE,
        (_FILES, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
    )
    total = 3.0 + args.seconds + _RECOVERY_S + _AFTER_S + _STOP_S + _LAST_S
    print(f"soak: seed {seed}, about {total:.0f} s", flush=True)
    outcome: list[list[str]] = []
    with tempfile.TemporaryDirectory() as folder:

        def ended(found: list[str]) -> None:
            outcome.append(found)
            reactor.stop()

        def crashed(failure: object) -> None:
            print(failure)
            reactor.stop()

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(
                _soak(args, seed, folder)
            ).addCallbacks(ended, crashed)
        )
        reactor.run()
    sys.exit(0 if outcome and not outcome[0] else 1)


if __name__ == "__main__":
    main()
