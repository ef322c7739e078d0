"""``bin/bench [NAME] [--quick] [--json FILE] [--plot FILE]``."""

import argparse
import multiprocessing
import pathlib
import signal
import sys
from collections.abc import Callable, Iterator

from bench import (
    capacity,
    control,
    cost,
    decisions,
    endless,
    figures,
    http_clients,
    tier,
)

_JOBS_BY_NAME: dict[str, Callable[[], list[tuple]]] = {
    "capacity": capacity.jobs,
    "control": control.jobs,
    "cost": cost.process_jobs,
    "http-clients": http_clients.jobs,
    "endless": endless.jobs,
    "messages": cost.jobs,
    "decisions": decisions.jobs,
    "gatherers": decisions.gatherer_jobs,
    "tier": tier.jobs,
}
_PROCESSES = 6
# Benchmarks whose experiments take a time scale, as quick runs need.
_WITH_QUICK_RUN = frozenset({"decisions"})
# Each experiment runs a reactor, and a process has one.
_OWN_PROCESS = frozenset({"endless"})
# These measure processor time, so their experiments run one at a time.
_EXCLUSIVE = frozenset({"capacity", "cost", "endless", "http-clients", "tier"})


def _run_job(job: tuple) -> list[figures.Figure]:
    """Run one experiment; called in a worker process."""
    function, *arguments = job
    return list(function(*arguments))


def _run_quick_job(job: tuple) -> list[figures.Figure]:
    """Run one experiment with the time scale of a quick run."""
    function, *arguments = job
    time_scale = decisions.QUICK_TIME_SCALE_BY_EXPERIMENT[function]
    return list(function(*arguments, time_scale=time_scale))


def run(name: str, *, quick: bool) -> Iterator[figures.Figure]:
    """Run the experiments of a benchmark and yield figures as each ends."""
    jobs = _JOBS_BY_NAME[name]()
    processes = 1 if name in _EXCLUSIVE else _PROCESSES
    run_job = _run_quick_job if quick else _run_job
    print(
        f"# {name}: {len(jobs)} experiments, {processes} at a time", flush=True
    )
    # Leaving the block terminates experiments that are still running.
    tasks_max = 1 if name in _OWN_PROCESS else None
    with multiprocessing.Pool(processes, maxtasksperchild=tasks_max) as pool:
        for done, rows in enumerate(pool.imap_unordered(run_job, jobs), 1):
            for row in rows:
                figures.print_row(row)
            print(f"# {name}: {done} of {len(jobs)} done", flush=True)
            yield from rows


def main() -> None:
    """Run the chosen benchmarks; exit with status 1 if a bound is missed."""
    parser = argparse.ArgumentParser(prog="bin/bench", description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(_JOBS_BY_NAME))
    parser.add_argument(
        "--quick",
        action="store_true",
        help="short runs of the decisions benchmark",
    )
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path)
    args = parser.parse_args()
    names = [args.name] if args.name else sorted(_JOBS_BY_NAME)
    if args.quick:
        names = [name for name in names if name in _WITH_QUICK_RUN]
        if not names:
            parser.error(f"{args.name} has no quick mode")
    rows: list[figures.Figure] = []
    # SIGTERM exits through the finally block, which writes the figures so far.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    figures.print_header()
    try:
        for name in names:
            for row in run(name, quick=args.quick):
                rows.append(row)
        ratios = [
            *decisions.overload_ratios(rows),
            *decisions.straggler_ratio(rows),
        ]
        for row in ratios:
            figures.print_row(row)
        rows += ratios
    finally:
        # An interrupted run also writes the figures that it has.
        if args.json:
            rows.sort(key=lambda row: row.name)
            figures.write_json(rows, args.json)
    if args.plot:
        figures.write_plot(rows, args.plot)
    missed = [row.name for row in rows if row.holds is False]
    if missed and args.quick:
        print("# bounds apply to full runs; bursts weigh more in short ones")
    if missed:
        print("missed bounds:")
        for name in missed:
            print(f"  {name}")
        sys.exit(1)


if __name__ == "__main__":
    main()
