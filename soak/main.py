"""``bin/soak``: runs VM processes under random faults, for one seed."""

import argparse
import collections
import pathlib
import random
import resource
import sys
import tempfile
import time

from twisted.internet import defer, reactor

from soak import callers, checks, crashing, faults
from standins import tier_world
from trefoilpier import base

_RECOVERY_S = 8.0  # The users allow 12 s; VMs start within 1 s here.
_JUDGED_S = 3.0  # Period after the recovery in which requests must succeed.
_PLANNED_CUT_S = 7.0  # Period in which some VMs do not reach the leaves.
_PLANNED_CUT_END_S = 2.0  # Time to be back on their own paths.
_PLANNED_STOP_S = 4.0  # Period in which one VM is stopped with SIGTERM.
# Period in which another one is stopped that callers use until its end.
_STOP_IN_USE_S = 8.0
_FINAL_WAIT_S = 3.0  # Time for the requests in flight to end.
_OPEN_FILES_MAX = 4096  # Connections have both ends in this process.


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bin/soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--shards", type=int, default=6)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument(
        "--logs", default="", help="folder for the log files of the VMs"
    )
    return parser.parse_args()


async def _run_soak(
    args: argparse.Namespace, seed: int, folder: str
) -> list[str]:
    clock = base.ReactorClock(reactor=reactor)
    rng = random.Random(seed)
    environment = tier_world.TierEnvironment(
        rng=random.Random(rng.random()),
        directory=pathlib.Path(folder),
        vm_count=args.vms,
        shard_count=args.shards,
        base_port=20_000 + 20 * random.SystemRandom().randrange(500),
    )
    load = callers.Callers(
        rng=random.Random(rng.random()),
        kept_rng=random.Random(f"kept {seed}"),
        environment=environment,
        rate=args.rate,
    )
    crashing_callers = crashing.CrashingCallers(
        load=load, rng=random.Random(rng.random())
    )
    injector = faults.FaultInjector(
        rng=random.Random(rng.random()),
        environment=environment,
        crashing=crashing_callers,
        now=clock.monotonic,
    )
    environment.start()
    load.start()
    await _wait(3.0)
    injector.start()
    await _wait(args.seconds)
    injector.stop()
    await _wait(_RECOVERY_S)
    recovered_at = clock.monotonic()
    await _wait(_JUDGED_S)
    injector.planned_cut(_PLANNED_CUT_S)
    await _wait(_PLANNED_CUT_S + _PLANNED_CUT_END_S)
    injector.planned_stop()
    await _wait(_PLANNED_STOP_S)
    injector.planned_stop_in_use(load)
    await _wait(_STOP_IN_USE_S)
    load.stopped = True
    await _wait(_FINAL_WAIT_S)
    violations = checks.check_all(
        environment,
        load.requests,
        recovered_at=recovered_at,
        applied=injector.applied,
        crashing_callers=crashing_callers,
    )
    violations += load.kept_violations
    statuses = collections.Counter(request.status for request in load.requests)
    print(f"seed {seed}: {len(load.requests)} requests, {dict(statuses)}")
    for fault in injector.applied:
        print(
            f"  {fault.started_at:9.2f} {fault.name} ({fault.duration_s:.1f} s)"
        )
    for line in violations:
        print(f"  VIOLATION {line}")
    if args.logs:
        log_directory = pathlib.Path(args.logs)
        log_directory.mkdir(parents=True, exist_ok=True)
        for vm in environment.vms:
            name = f"seed-{seed}-{vm.name}.log"
            (log_directory / name).write_bytes(b"".join(vm.output))
    environment.stop()
    await _wait(0.5)
    return violations


def _wait(seconds: float) -> "defer.Deferred[None]":
    elapsed: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, elapsed.callback, None)
    return elapsed


def main() -> None:
    """Run one seed and exit with status 1 if a guarantee was violated."""
    args = _parse_args()
    seed = args.seed if args.seed is not None else time.time_ns() % 1_000_000
    resource.setrlimit(
        resource.RLIMIT_NOFILE,
        (_OPEN_FILES_MAX, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
    )
    total = (
        3.0
        + args.seconds
        + _RECOVERY_S
        + _JUDGED_S
        + _PLANNED_CUT_S
        + _PLANNED_CUT_END_S
        + _PLANNED_STOP_S
        + _STOP_IN_USE_S
        + _FINAL_WAIT_S
    )
    print(f"soak: seed {seed}, about {total:.0f} s", flush=True)
    results: list[list[str]] = []
    with tempfile.TemporaryDirectory() as folder:

        def ended(violations: list[str]) -> None:
            results.append(violations)
            reactor.stop()

        def crashed(failure: object) -> None:
            print(failure)
            reactor.stop()

        reactor.callWhenRunning(
            lambda: defer.ensureDeferred(
                _run_soak(args, seed, folder)
            ).addCallbacks(ended, crashed)
        )
        reactor.run()
    sys.exit(0 if results and not results[0] else 1)


if __name__ == "__main__":
    main()
