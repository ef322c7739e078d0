"""Page with the figures and plots of an experiment."""

import html
import math
import pathlib
from collections.abc import Callable, Iterable

import matplotlib

from lab import results
from lab import scenario as scenarios

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

_PLOT_SIZE_IN = (9, 4)
_FAULT_COLOR = "0.9"
_PAGE = """<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>{title}</title>
<style>
body {{ font-family: sans-serif; max-width: 60em; margin: 2em auto; }}
td, th {{ text-align: right; padding: 0.1em 0.6em; }}
td:first-child, th:first-child {{ text-align: left; }}
img {{ max-width: 100%; }}
</style></head>
<body>
<h1>{title}</h1>
<p>{summary}</p>
{table}
<p>Figures are means over the seeds. A difference to the first policy is paired
by seed; within two standard errors it is no finding.</p>
{plots}
</body>
</html>
"""
# Columns beside the credit: heading, figure of a run, format.
_COLUMNS: tuple[tuple[str, Callable[[results.RunFigures], float], str], ...] = (
    ("covered", lambda row: row.coverage, ".4f"),
    ("in time", lambda row: row.in_time, ".4f"),
    ("refused", lambda row: row.refused, ".4f"),
    ("failed", lambda row: row.failed, ".4f"),
    ("p50 ms", lambda row: row.p50_ms, ".1f"),
    ("p99 ms", lambda row: row.p99_ms, ".1f"),
    ("extra sends", lambda row: row.extra, ".3f"),
    ("other zone", lambda row: row.far, ".3f"),
)


def write_report(
    rows: list[results.RunFigures],
    scenario: scenarios.Scenario,
    *,
    title: str,
    directory: pathlib.Path,
) -> pathlib.Path:
    """Write the page and its plots; return the path of the page.

    Args:
        rows: Figures of the runs.
        scenario: The experiment that was run.
        title: Heading of the page.
        directory: Directory of the files; made if it does not exist.
    """
    directory.mkdir(parents=True, exist_ok=True)
    played = {row.policy for row in rows}
    policies = [name for name in scenario.policy_by_name if name in played]
    policies += sorted(played - set(policies))
    plot_by_name = {
        "Credit over time": _plot_credit(rows, policies, scenario.faults),
        "Differences in credit to the first policy": _plot_gains(
            rows, policies
        ),
    }
    images = []
    for number, (name, figure) in enumerate(plot_by_name.items(), 1):
        file_name = f"plot-{number}.svg"
        figure.savefig(directory / file_name, bbox_inches="tight")
        pyplot.close(figure)
        images.append(f'<h2>{name}</h2>\n<img src="{file_name}" alt="{name}">')
    page = directory / "index.html"
    page.write_text(
        _PAGE.format(
            title=html.escape(title),
            summary=html.escape(_summary(rows, scenario)),
            table=_table(rows, policies),
            plots="\n".join(images),
        )
    )
    return page


def _summary(
    rows: list[results.RunFigures], scenario: scenarios.Scenario
) -> str:
    sizes, load = scenario.deployment, scenario.load
    seeds = len({row.seed for row in rows})
    return (
        f"{sizes.vms} VMs in {sizes.zones} availability zones, {sizes.shards} "
        f"shards of {sizes.replicas} leaves, {load.rate:g} requests a second "
        f"for {load.seconds:g} s, {len(scenario.faults)} faults, {seeds} seeds."
    )


def _table(rows: list[results.RunFigures], policies: list[str]) -> str:
    headings = ["policy", "credit", "to the first"]
    headings += [heading for heading, _, _ in _COLUMNS]
    lines = [_table_row("th", headings)]
    for name in policies:
        own = [row for row in rows if row.policy == name]
        cells = [
            html.escape(name),
            _with_error([row.credit for row in own], ".4f"),
            _with_error(
                results.credit_differences(rows, name, policies[0]), "+.4f"
            ),
        ]
        cells += [
            format(
                results.mean_and_error([value(row) for row in own])[0],
                specification,
            )
            for _, value, specification in _COLUMNS
        ]
        lines.append(_table_row("td", cells))
    return "<table>\n" + "\n".join(lines) + "\n</table>"


def _table_row(tag: str, cells: Iterable[str]) -> str:
    row = "".join(f"<{tag}>{cell}</{tag}>" for cell in cells)
    return f"<tr>{row}</tr>"


def _with_error(values: list[float], specification: str) -> str:
    """Return the mean with its standard error, if there is one.

    >>> _with_error([1.0, 3.0], ".1f"), _with_error([2.0], ".1f")
    ('2.0 ± 1.0', '2.0')
    """
    mean, error = results.mean_and_error(values)
    text = format(mean, specification)
    if math.isnan(error):
        return text
    return f"{text} ± {format(error, specification.lstrip('+'))}"


def _plot_credit(
    rows: list[results.RunFigures],
    policies: list[str],
    faults: Iterable[scenarios.Fault],
) -> pyplot.Figure:
    """Plot the credit by second, with the faults as shaded spans."""
    figure, axes = pyplot.subplots(figsize=_PLOT_SIZE_IN)
    for fault in faults:
        axes.axvspan(fault.at, fault.at + fault.seconds, color=_FAULT_COLOR)
        axes.text(fault.at, 0.02, fault.name, fontsize="small")
    for name in policies:
        own = [row.credit_by_second for row in rows if row.policy == name]
        seconds = sorted({second for row in own for second in row})
        means = [
            results.mean_and_error(
                [row[second] for row in own if second in row]
            )[0]
            for second in seconds
        ]
        axes.plot(seconds, means, label=name)
    axes.set_xlabel("seconds")
    axes.set_ylabel("mean credit")
    axes.set_ylim(0.0, 1.02)
    axes.legend(fontsize="small")
    return figure


def _plot_gains(
    rows: list[results.RunFigures], policies: list[str]
) -> pyplot.Figure:
    """Plot each policy's difference to the first, with two errors each way."""
    figure, axes = pyplot.subplots(figsize=_PLOT_SIZE_IN)
    gains = [
        results.mean_and_error(
            results.credit_differences(rows, name, policies[0])
        )
        for name in policies
    ]
    axes.errorbar(
        [gain for gain, _ in gains],
        range(len(policies)),
        xerr=[0.0 if math.isnan(error) else 2 * error for _, error in gains],
        fmt="o",
    )
    axes.axvline(0.0, color="0.6")
    axes.set_yticks(range(len(policies)), policies)
    axes.set_xlabel("difference in credit, with two standard errors each way")
    return figure
