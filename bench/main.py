"""``bin/bench [NAME] [--json FILE] [--plot FILE]``."""

import argparse
import pathlib
import sys
from collections.abc import Callable, Iterator

from bench import decisions, figures

_BENCH_BY_NAME: dict[str, Callable[[], Iterator[figures.Figure]]] = {
    "decisions": decisions.run,
}


def main() -> None:
    """Runs the chosen benchmarks and exits 1 if a bound does not hold."""
    parser = argparse.ArgumentParser(prog="bin/bench", description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(_BENCH_BY_NAME))
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path)
    args = parser.parse_args()
    names = [args.name] if args.name else sorted(_BENCH_BY_NAME)
    rows: list[figures.Figure] = []
    for name in names:
        rows += _BENCH_BY_NAME[name]()
    figures.print_table(rows)
    if args.json:
        figures.write_json(rows, args.json)
    if args.plot:
        figures.write_plot(rows, args.plot)
    missed = [row.name for row in rows if row.holds is False]
    if missed:
        print("bounds that do not hold: " + "; ".join(missed))
        sys.exit(1)


if __name__ == "__main__":
    main()
