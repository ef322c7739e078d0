"""Benchmark figures with target bounds, and their output formats."""

import pathlib
from collections.abc import Iterable
from dataclasses import dataclass

import orjson


@dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """One measured value and its target bounds.

    Attributes:
        name: Experiment and measured quantity, separated by a slash.
        value: The value.
        unit: Unit of the value.
        upper_bound: Upper bound of the target, or None.
        lower_bound: Lower bound of the target, or None.
        kind: ``virtual`` for values that are reproducible for a seed,
            ``process`` for all others.

    >>> Figure(name="x/p99", value=90, unit="ms", upper_bound=320).holds
    True
    """

    name: str
    value: float
    unit: str
    upper_bound: float | None = None
    lower_bound: float | None = None
    kind: str = "virtual"

    @property
    def holds(self) -> bool | None:
        """Whether the value is within its bounds; None without bounds."""
        if self.upper_bound is None and self.lower_bound is None:
            return None
        above_lower = self.lower_bound is None or self.value >= self.lower_bound
        below_upper = self.upper_bound is None or self.value <= self.upper_bound
        return above_lower and below_upper

    @property
    def bound_text(self) -> str:
        """Bounds as readable text."""
        parts = []
        if self.lower_bound is not None:
            parts.append(f">= {self.lower_bound:g}")
        if self.upper_bound is not None:
            parts.append(f"<= {self.upper_bound:g}")
        return ", ".join(parts) or "-"


def print_header() -> None:
    """Print the header of the table."""
    print(f"{'figure':<58} {'value':>10} {'unit':<10} {'bound':<14} holds")


def print_row(figure: Figure) -> None:
    """Print one table row for a figure and flush the output."""
    holds = {None: "-", True: "yes", False: "NO"}[figure.holds]
    print(
        f"{figure.name:<58} {figure.value:>10.4g} {figure.unit:<10} "
        f"{figure.bound_text:<14} {holds}",
        flush=True,
    )


def write_json(figures: Iterable[Figure], path: pathlib.Path) -> None:
    """Write the figures as a JSON list."""
    rows = [
        {
            "name": figure.name,
            "value": figure.value,
            "unit": figure.unit,
            "bound": figure.bound_text,
            "holds": figure.holds,
            "kind": figure.kind,
        }
        for figure in figures
    ]
    path.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


def write_plot(figures: Iterable[Figure], path: pathlib.Path) -> None:
    """Plot the figures of each unit as bars, with their bounds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = list(figures)
    units = sorted({figure.unit for figure in rows})
    height = 1.2 + 0.22 * len(rows)
    chart, axes = pyplot.subplots(
        len(units),
        1,
        figsize=(10, height),
        squeeze=False,
        height_ratios=[
            1 + sum(1 for figure in rows if figure.unit == unit)
            for unit in units
        ],
    )
    for axis, unit in zip(axes[:, 0], units, strict=True):
        unit_rows = [figure for figure in rows if figure.unit == unit][::-1]
        colors = [
            {None: "#8899aa", True: "#3a7d44", False: "#b3392f"}[f.holds]
            for f in unit_rows
        ]
        axis.barh(
            [f.name for f in unit_rows],
            [f.value for f in unit_rows],
            color=colors,
        )
        for index, figure in enumerate(unit_rows):
            for bound in (figure.upper_bound, figure.lower_bound):
                if bound is not None:
                    axis.plot([bound] * 2, [index - 0.4, index + 0.4], "k-")
        axis.set_xlabel(unit)
        axis.tick_params(labelsize=7)
    chart.tight_layout()
    chart.savefig(path, dpi=110)
    pyplot.close(chart)
