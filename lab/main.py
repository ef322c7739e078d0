"""Experiments on policies with simulated leaves and callers.

    bin/lab run SCENARIO [--json FILE] [--report DIR] [--jobs N]
    bin/lab ablate SCENARIO [--json FILE] [--report DIR] [--jobs N]
    bin/lab report SCENARIO FILE DIR
    bin/lab fleet [--large N] [--small N] [--zones N] [--shards N] [--rate R]
                  [--seconds S] [--seed N]
    bin/lab fuzz [--first SEED] [--count N] [--jobs N]
    bin/lab compare BEFORE AFTER

``run`` plays each policy of a scenario with each seed, ``ablate`` plays the
default policy and one for each mechanism that is switched off, ``report``
writes a page with plots from a JSON file, and ``compare`` pairs the runs of two
JSON files by policy and seed. Differences come with a standard error; one
within two standard errors is no finding. ``fleet`` plays a whole fleet with its
store: a calm phase, the loss of all VMs, and a store that comes back older.
``fuzz`` plays random faults on a small fleet and prints what was violated; its
exit status is then 1.
"""

import argparse
import dataclasses
import multiprocessing
import pathlib
import sys
from collections.abc import Iterable

import orjson

from lab import fleet, fuzz, results, world
from lab import scenario as scenarios
from standins import memory_fleet
from trefoilpier import forward, replicas

_JOBS_DEFAULT = 4
_EXIT_VIOLATED = 1
_EXIT_INVALID = 2


def ablations() -> dict[str, forward.ForwardPolicy]:
    """Return the default policy, and one for each mechanism switched off.

    >>> sorted(ablations())[:3]
    ['cancel at once', 'default', 'no admission']
    """
    off = {"cancel at once": {"cancel_delay_s": 0.0}}
    off["no reserve for retries"] = {"hedge_reserved_share": 0.0}
    for name in (
        "admission",
        "answer_at_objective",
        "hedging",
        "order_by_objective",
    ):
        off[f"no {name.replace('_', ' ')}"] = {name: False}
    leaves_off = {
        "no slowness estimate": {"estimate_slowness": False},
        "no load reports": {"use_load_reports": False},
        "no ejection": {"eject_failing": False},
        "no zone preference": {"other_zone_cost": 0.0},
        "no slot cost": {"no_slot_cost": 0.0},
        "no overdue cost": {"overdue_cost": 0.0},
        "no failure cost": {"failure_cost": 0.0},
        "no warm-up factor": {"warm_up_factor": 1.0},
        "no shed cost": {"shed_cost": 0.0},
    }
    policies = {"default": forward.ForwardPolicy()}
    for name, changes in off.items():
        policies[name] = forward.ForwardPolicy(**changes)
    for name, changes in leaves_off.items():
        leaves = replicas.LeafPolicy(**changes)
        policies[name] = forward.ForwardPolicy(leaves=leaves)
    return policies


def run_one(
    job: tuple[scenarios.Scenario, str, int],
) -> results.RunFigures:
    """Run one policy of a scenario with one seed."""
    scenario, policy, seed = job
    lab_world = world.LabWorld(
        scenario=scenario, policy=scenario.policy_by_name[policy], seed=seed
    )
    lab_world.run()
    return results.measure(
        lab_world,
        policy=policy,
        seed=seed,
        warm_up_s=scenario.load.warm_up_s,
    )


def run_all(
    scenario: scenarios.Scenario, processes: int
) -> list[results.RunFigures]:
    """Run all policies with all seeds; print the progress."""
    jobs = [
        (scenario, policy, seed)
        for seed in scenario.seeds
        for policy in scenario.policy_by_name
    ]
    rows = []
    with multiprocessing.Pool(processes) as pool:
        for row in pool.imap_unordered(run_one, jobs):
            rows.append(row)
            print(
                f"# {len(rows)} of {len(jobs)}: {row.policy}, seed {row.seed}: "
                f"credit {row.credit:.4f}",
                flush=True,
            )
    return sorted(rows, key=lambda row: (row.policy, row.seed))


def _print_findings(findings: Iterable[object]) -> None:
    for finding in findings:
        print(f"bin/lab: {finding}", file=sys.stderr)


def _run_command(args: argparse.Namespace) -> int:
    read = scenarios.read_scenario(args.scenario)
    if read.is_error():
        _print_findings(read.error)
        return _EXIT_INVALID
    scenario = read.ok
    if args.command == "ablate":
        scenario = dataclasses.replace(scenario, policy_by_name=ablations())
    rows = run_all(scenario, args.jobs)
    policies = list(scenario.policy_by_name)
    print(results.table(rows, policies))
    if args.json:
        args.json.write_bytes(orjson.dumps(results.to_json(rows)))
    if args.report:
        _write_report(rows, scenario, args.scenario, args.report)
    return 0


def _write_report(
    rows: list[results.RunFigures],
    scenario: scenarios.Scenario,
    scenario_path: pathlib.Path,
    directory: pathlib.Path,
) -> None:
    # Imported only here, since the plotting library takes a second.
    from lab import report

    page = report.write_report(
        rows, scenario, title=scenario_path.stem, directory=directory
    )
    print(page)


def _report_command(args: argparse.Namespace) -> int:
    read = scenarios.read_scenario(args.scenario)
    if read.is_error():
        _print_findings(read.error)
        return _EXIT_INVALID
    rows = _read_rows(args.results)
    if rows is None:
        return _EXIT_INVALID
    if not rows:
        _print_findings([f"{args.results}: there are no runs in it"])
        return _EXIT_INVALID
    _write_report(rows, read.ok, args.scenario, args.directory)
    return 0


def _fleet_command(args: argparse.Namespace) -> int:
    sizes = memory_fleet.FleetSizes(
        large=args.large,
        small=args.small,
        zones=args.zones,
        shards=args.shards,
    )
    figures = fleet.run_experiment(
        sizes, rate=args.rate, seconds=args.seconds, seed=args.seed
    )
    print(fleet.table(figures))
    return 0


def _fuzz_command(args: argparse.Namespace) -> int:
    seeds = range(args.first, args.first + args.count)
    violated = 0
    with multiprocessing.Pool(args.jobs) as pool:
        for seed, (violations, faults) in zip(
            seeds, pool.imap(fuzz.run_seed, seeds), strict=True
        ):
            violated += bool(violations)
            print(f"seed {seed}: {len(faults)} faults", flush=True)
            if violations:
                print("\n".join([*faults, *violations]), flush=True)
    print(f"{violated} of {args.count} seeds violated a guarantee")
    return _EXIT_VIOLATED if violated else 0


def _read_rows(path: pathlib.Path) -> list[results.RunFigures] | None:
    try:
        return results.from_json(orjson.loads(path.read_bytes()))
    except (OSError, ValueError, TypeError, KeyError) as error:
        _print_findings([f"{path}: {error}"])
        return None


def _compare_command(args: argparse.Namespace) -> int:
    before, after = _read_rows(args.before), _read_rows(args.after)
    if before is None or after is None:
        return _EXIT_INVALID
    credit_by_key = {(row.policy, row.seed): row.credit for row in before}
    for policy in sorted({row.policy for row in after}):
        gains = [
            row.credit - credit_by_key[row.policy, row.seed]
            for row in after
            if row.policy == policy and (row.policy, row.seed) in credit_by_key
        ]
        gain, error = results.mean_and_error(gains)
        print(f"{policy:<24} {gain:+.4f} +- {error:.4f} over {len(gains)}")
    return 0


def main() -> None:
    """Run the command that the command line names."""
    parser = argparse.ArgumentParser(
        prog="bin/lab",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name in ("run", "ablate"):
        command = commands.add_parser(name)
        command.add_argument("scenario", type=pathlib.Path)
        command.add_argument("--json", type=pathlib.Path)
        command.add_argument("--report", type=pathlib.Path)
        command.add_argument("--jobs", type=int, default=_JOBS_DEFAULT)
        command.set_defaults(call=_run_command)
    command = commands.add_parser("fleet")
    for name, default in (("large", 3), ("small", 9), ("zones", 3)):
        command.add_argument(f"--{name}", type=int, default=default)
    command.add_argument("--shards", type=int, default=6)
    command.add_argument("--rate", type=float, default=40.0)
    command.add_argument("--seconds", type=float, default=10.0)
    command.add_argument("--seed", type=int, default=1)
    command.set_defaults(call=_fleet_command)
    command = commands.add_parser("fuzz")
    command.add_argument("--first", type=int, default=1)
    command.add_argument("--count", type=int, default=10)
    command.add_argument("--jobs", type=int, default=_JOBS_DEFAULT)
    command.set_defaults(call=_fuzz_command)
    command = commands.add_parser("report")
    command.add_argument("scenario", type=pathlib.Path)
    command.add_argument("results", type=pathlib.Path)
    command.add_argument("directory", type=pathlib.Path)
    command.set_defaults(call=_report_command)
    command = commands.add_parser("compare")
    command.add_argument("before", type=pathlib.Path)
    command.add_argument("after", type=pathlib.Path)
    command.set_defaults(call=_compare_command)
    args = parser.parse_args()
    sys.exit(args.call(args))


if __name__ == "__main__":
    main()
