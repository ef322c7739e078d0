"""Figures with bounds, and how they are printed and plotted."""

import pathlib
from collections.abc import Iterable
from dataclasses import dataclass

import orjson


@dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """One measured value.

    Attributes:
        name: What was measured, with the experiment before a slash.
        value: The value.
        unit: Its unit.
        most: Upper bound from a target, or None.
        least: Lower bound from a target, or None.
        kind: ``virtual`` repeats exactly for a seed; ``process`` does not.

    >>> Figure(name="x/p99", value=90, unit="ms", most=320).holds
    True
    """

    name: str
    value: float
    unit: str
    most: float | None = None
    least: float | None = None
    kind: str = "virtual"

    @property
    def holds(self) -> bool | None:
        """Whether the bounds hold; None without a bound."""
        if self.most is None and self.least is None:
            return None
        above = self.least is None or self.value >= self.least
        below = self.most is None or self.value <= self.most
        return above and below

    @property
    def bound(self) -> str:
        """The bound for a person."""
        parts = []
        if self.least is not None:
            parts.append(f">= {self.least:g}")
        if self.most is not None:
            parts.append(f"<= {self.most:g}")
        return ", ".join(parts) or "-"


def print_head() -> None:
    """Prints the head of the table."""
    print(f"{'figure':<58} {'value':>10} {'unit':<10} {'bound':<14} holds")


def print_row(figure: Figure) -> None:
    """Prints one line for a figure, at once."""
    holds = {None: "-", True: "yes", False: "NO"}[figure.holds]
    print(
        f"{figure.name:<58} {figure.value:>10.4g} {figure.unit:<10} "
        f"{figure.bound:<14} {holds}",
        flush=True,
    )


def write_json(figures: Iterable[Figure], path: pathlib.Path) -> None:
    """Writes the figures as a JSON list."""
    rows = [
        {
            "name": figure.name,
            "value": figure.value,
            "unit": figure.unit,
            "bound": figure.bound,
            "holds": figure.holds,
            "kind": figure.kind,
        }
        for figure in figures
    ]
    path.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


def write_plot(figures: Iterable[Figure], path: pathlib.Path) -> None:
    """Draws the figures of each unit as bars, with their bounds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = list(figures)
    units = sorted({figure.unit for figure in rows})
    height = 1.2 + 0.22 * len(rows)
    drawing, axes = pyplot.subplots(
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
        own = [figure for figure in rows if figure.unit == unit][::-1]
        colors = [
            {None: "#8899aa", True: "#3a7d44", False: "#b3392f"}[f.holds]
            for f in own
        ]
        axis.barh([f.name for f in own], [f.value for f in own], color=colors)
        for index, figure in enumerate(own):
            for bound in (figure.most, figure.least):
                if bound is not None:
                    axis.plot([bound] * 2, [index - 0.4, index + 0.4], "k-")
        axis.set_xlabel(unit)
        axis.tick_params(labelsize=7)
    drawing.tight_layout()
    drawing.savefig(path, dpi=110)
    pyplot.close(drawing)
