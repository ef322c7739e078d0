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
    figures,
    http_clients,
    tier,
)

_JOBS_BY_NAME: dict[str, Callable[[], list[tuple]]] = {
    "capacity": capacity.jobs,
    "control": control.jobs,
    "cost": cost.process_jobs,
    "http-clients": http_clients.jobs,
    "messages": cost.jobs,
    "decisions": decisions.jobs,
    "gatherers": decisions.gatherer_jobs,
    "tier": tier.jobs,
}
_PROCESSES = 6
# Those whose experiments take a pace; a quick run plays just these.
_PACED = frozenset({"decisions"})
# Processor time is measured with nothing beside it.
_ALONE = frozenset({"capacity", "cost", "http-clients", "tier"})


def _run_job(job: tuple) -> list[figures.Figure]:
    """Runs one experiment in a process of its own."""
    function, *arguments = job
    return list(function(*arguments))


def _run_quick_job(job: tuple) -> list[figures.Figure]:
    """The same in a fraction of its time."""
    function, *arguments = job
    pace = decisions.QUICK_PACE_BY_EXPERIMENT[function]
    return list(function(*arguments, pace=pace))


def run(name: str, *, quick: bool) -> Iterator[figures.Figure]:
    """Runs a benchmark's experiments; figures come as each is done."""
    jobs = _JOBS_BY_NAME[name]()
    processes = 1 if name in _ALONE else _PROCESSES
    run_job = _run_quick_job if quick else _run_job
    print(
        f"# {name}: {len(jobs)} experiments, {processes} at a time", flush=True
    )
    # Leaving the block ends experiments that still run.
    with multiprocessing.Pool(processes) as pool:
        for done, rows in enumerate(pool.imap_unordered(run_job, jobs), 1):
            for row in rows:
                figures.print_row(row)
            print(f"# {name}: {done} of {len(jobs)} done", flush=True)
            yield from rows


def main() -> None:
    """Runs the chosen benchmarks and exits 1 if a bound does not hold."""
    parser = argparse.ArgumentParser(prog="bin/bench", description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(_JOBS_BY_NAME))
    parser.add_argument(
        "--quick",
        action="store_true",
        help="every decision, in short runs",
    )
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path)
    args = parser.parse_args()
    names = [args.name] if args.name else sorted(_JOBS_BY_NAME)
    if args.quick:
        names = [name for name in names if name in _PACED]
        if not names:
            parser.error(f"{args.name} has no quick run")
    rows: list[figures.Figure] = []
    # Ends like an interrupt, so that what is done is written.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    figures.print_head()
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
        # A run that is stopped leaves what is done.
        if args.json:
            rows.sort(key=lambda row: row.name)
            figures.write_json(rows, args.json)
    if args.plot:
        figures.write_plot(rows, args.plot)
    missed = [row.name for row in rows if row.holds is False]
    if missed and args.quick:
        print("# bounds are for whole runs; bursts weigh more in short ones")
    if missed:
        print("bounds that do not hold:")
        for name in missed:
            print(f"  {name}")
        sys.exit(1)


if __name__ == "__main__":
    main()
