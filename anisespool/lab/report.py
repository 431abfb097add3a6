"""A report of one run, or of two compared, as one HTML file without outside parts."""

from __future__ import annotations

import html
import io
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

from anisespool.lab.model.timeline import REPORTED_OUTCOMES, ScenarioRun, class_rows
from anisespool.lab.scenario import Fault, Scenario

COLOURS = ("#1f6f8b", "#d1603d")  # of the first run and the second
FAULT_COLOUR = "#999999"
STYLES = ("-", "--", ":", "-.")  # of classes
COLUMNS = ("class", "asked", *REPORTED_OUTCOMES, "p50_ms", "p90_ms", "p99_ms", "p99.9_ms")
PERCENTILES = [50, 75, 90, 95, 99, 99.5, 99.9]
SIZE_INCHES = (9.0, 2.6)
MAX_CLASSES = 8  # drawn; further ones are in the table only
MIN_FAULT_S = 0.05  # width at which a fault is still visible
LABEL_ROWS = 4  # labels of faults alternate between so many heights
LABEL_STEP = 0.09
HEAD = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>
body {{ font: 15px/1.45 system-ui, sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em }}
table {{ border-collapse: collapse; margin: 1em 0 }} td, th {{ padding: .2em .8em; text-align: right }}
th {{ border-bottom: 1px solid #999 }} td:first-child, th:first-child {{ text-align: left }}
svg {{ max-width: 100%; height: auto }} .broken {{ color: #b00; font-weight: bold }}
.run0 {{ color: #1f6f8b }} .run1 {{ color: #d1603d }}
</style>"""

Axes = Any  # matplotlib has no types
Draw = Callable[[Axes, Sequence[ScenarioRun]], None]


class Drawing(NamedTuple):
    """A diagram of the report."""

    heading: str
    draw: Draw


def page(title: str, runs: Sequence[ScenarioRun]) -> str:
    """The whole HTML file.

    Args:
        title: In its head.
        runs: One, or two of the same length.
    """
    scenario = runs[0].scenario
    parts = [
        HEAD.format(title=html.escape(title)),
        f"<h1>{html.escape(title)}</h1>",
        f"<p>{html.escape(scenario.question)}</p><p>{html.escape(describe(scenario))}</p>",
    ]
    for number, run in enumerate(runs):
        parts.append(f'<h2 class="run{number}">{html.escape(run.name)}</h2>{_table(run)}')
        if run.broken:
            parts.append(f'<p class="broken">{html.escape(run.broken)}</p>')
    for heading, draw in DRAWINGS:
        parts.append(f"<h2>{heading}</h2>{_picture(draw, runs)}")
    return "\n".join(parts) + "\n</html>\n"


def describe(scenario: Scenario) -> str:
    """The fleet and its faults, in a line."""
    fleet = f"{scenario.endpoint_count} endpoints, {scenario.sidecars} sidecars"
    traffic = f"{scenario.traffic.per_s:g} requests a second ({scenario.capacity_per_s():.0f} can be done)"
    faults = [f"{fault.kind} at {fault.at_s:g} s for {fault.for_s:g} s" for fault in scenario.faults]
    text = f"{fleet}, {traffic}, {scenario.seconds:g} s."
    return text + (f" Troubles: {', '.join(faults)}." if faults else "")


def cell(column: str, value: Any) -> str:
    """A value of a table as text, by its column (one of COLUMNS)."""
    if column in REPORTED_OUTCOMES:
        return f"{100 * value:.2f} %"
    return f"{value:.1f}" if column.endswith("ms") else str(value)


def _table(run: ScenarioRun) -> str:
    parts = ["<table><tr>", *(f"<th>{column.replace('_', ' ')}</th>" for column in COLUMNS), "</tr>"]
    for row in class_rows(run.metrics):
        cells = (f"<td>{html.escape(cell(column, row[column]))}</td>" for column in COLUMNS)
        parts.append("<tr>" + "".join(cells) + "</tr>")
    return "".join(parts) + f"</table><p>{_summary(run)}</p>"


def _summary(run: ScenarioRun) -> str:
    honest = run.metrics.retry_after_outcomes
    retries = sum(honest.values())
    text = f"service {run.metrics.service():.3f}"
    if retries:
        text += f"; of {retries} tries after a time to come back {honest[True]} were served"
    return text


def _picture(draw: Draw, runs: Sequence[ScenarioRun]) -> str:
    """An inline SVG, the same bytes for the same figures."""
    with matplotlib.rc_context({"svg.hashsalt": "lab", "svg.fonttype": "none", "font.size": 9}):
        figure, axes = plt.subplots(figsize=SIZE_INCHES, layout="constrained")
        draw(axes, runs)
        axes.grid(alpha=0.25)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), frameon=False)
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None, "Creator": None})
        plt.close(figure)
    text = buffer.getvalue()
    return text[text.index("<svg") :]


# Diagrams -----------------------------------------------------------------------------------------


def _draw_faults(axes: Axes, scenario: Scenario) -> None:
    """The time axis, with the faults as bands."""
    for number, fault in enumerate(scenario.faults):
        _draw_fault(axes, fault, 1.0 - LABEL_STEP * (number % LABEL_ROWS))
    axes.set_xlim(0, scenario.seconds)
    axes.set_xlabel("s")


def _draw_fault(axes: Axes, fault: Fault, label_height: float) -> None:
    axes.axvspan(fault.at_s, fault.at_s + max(fault.for_s, MIN_FAULT_S), color=FAULT_COLOUR, alpha=0.18, lw=0)
    axes.text(
        fault.at_s,
        label_height,
        f" {fault.kind}",
        fontsize=7,
        va="top",
        transform=axes.get_xaxis_transform(),
    )


def _classes(run: ScenarioRun) -> Iterator[tuple[int, str, str]]:
    """Index, name and line style of each class that is drawn."""
    for number, request_class in enumerate(run.scenario.classes[:MAX_CLASSES]):
        yield number, request_class.name, STYLES[number % len(STYLES)]


def _shares(run: ScenarioRun, class_index: int, outcome: str) -> tuple[list[float], list[float]]:
    """Middle of each second of the scenario, and percent of its client requests with that outcome."""
    seconds = []
    percents = []
    for second, counts in sorted(run.metrics.windows.items()):
        requested = sum(count for (found, _), count in counts.items() if found == class_index)
        if requested:
            seconds.append(second + 0.5)
            percents.append(100 * counts[class_index, outcome] / requested)
    return seconds, percents


def _by_class(outcome: str, label: str) -> Draw:
    """Makes the diagram of an outcome's share over time."""

    def draw(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
        _draw_faults(axes, runs[0].scenario)
        for run, colour in zip(runs, COLOURS, strict=False):
            for number, name, style in _classes(run):
                seconds, percents = _shares(run, number, outcome)
                axes.plot(seconds, percents, style, color=colour, lw=1.2, label=f"{run.name}: {name}")
        axes.set_ylabel(label)
        axes.set_ylim(-2, 102)

    return draw


def _latency(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
    places = list(range(len(PERCENTILES)))
    for run, colour in zip(runs, COLOURS, strict=False):
        for number, name, style in _classes(run):
            histogram = run.metrics.latency[number]
            if not histogram.get_total_count():
                continue
            times = [histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES]
            axes.plot(places, times, style, marker=".", color=colour, lw=1.2, label=f"{run.name}: {name}")
    axes.set_xticks(places, [f"{percentile:g}" for percentile in PERCENTILES])
    axes.set_xlabel("percentile of what was served")
    axes.set_ylabel("ms")
    axes.set_yscale("log")


def _queues(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
    _draw_faults(axes, runs[0].scenario)
    for run, colour in zip(runs, COLOURS, strict=False):
        times = [sample.at_s for sample in run.samples]
        waiting = [sample.waiting for sample in run.samples]
        longest = [sample.longest for sample in run.samples]
        axes.plot(times, waiting, color=colour, lw=1.2, label=f"{run.name}: all")
        axes.plot(times, longest, ":", color=colour, lw=1.2, label=f"{run.name}: longest")
    axes.set_ylabel("waiting")


def _utilization(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
    width = 0.8 / len(runs)
    for number, (run, colour) in enumerate(zip(runs, COLOURS, strict=False)):
        places = [endpoint + number * width for endpoint in range(len(run.utilization))]
        percents = [100 * share for share in run.utilization]
        axes.bar(places, percents, width, color=colour, label=run.name)
    axes.set_xlabel("endpoint")
    axes.set_ylabel("% of its time")


DRAWINGS = (
    Drawing("In time, by when it was asked", _by_class("in_time", "%")),
    Drawing("Refused, by when it was asked", _by_class("refused", "%")),
    Drawing("Latency", _latency),
    Drawing("Requests that wait at endpoints", _queues),
    Drawing("What each endpoint bore", _utilization),
)
