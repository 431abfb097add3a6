"""Renders a report of one run, or of two runs compared, as one HTML file that loads nothing else."""

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

RUN_COLOURS = ("#1f6f8b", "#d1603d")
FAULT_COLOUR = "#999999"
CLASS_LINE_STYLES = ("-", "--", ":", "-.")
COLUMNS = ("class", "asked", *REPORTED_OUTCOMES, "p50_ms", "p90_ms", "p99_ms", "p99.9_ms")
PERCENTILES = [50, 75, 90, 95, 99, 99.5, 99.9]
SIZE_INCHES = (9.0, 2.6)
MAX_DRAWN_CLASSES = 8  # further classes appear only in the table
MIN_FAULT_WIDTH_S = 0.05  # a narrower band would not be visible
FAULT_LABEL_ROWS = 4  # labels of faults alternate between this many heights
FAULT_LABEL_STEP = 0.09
HEAD = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>
body {{ font: 15px/1.45 system-ui, sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em }}
table {{ border-collapse: collapse; margin: 1em 0 }} td, th {{ padding: .2em .8em; text-align: right }}
th {{ border-bottom: 1px solid #999 }} td:first-child, th:first-child {{ text-align: left }}
svg {{ max-width: 100%; height: auto }} .broken {{ color: #b00; font-weight: bold }}
.run0 {{ color: #1f6f8b }} .run1 {{ color: #d1603d }}
</style>"""

Axes = Any  # matplotlib has no type hints
DrawFunction = Callable[[Axes, Sequence[ScenarioRun]], None]


class Diagram(NamedTuple):
    """A diagram of the report."""

    heading: str
    draw: DrawFunction


def render_report(title: str, runs: Sequence[ScenarioRun]) -> str:
    """Return the content of the HTML file.

    Args:
        title: Title and first heading.
        runs: One run, or two runs of the same duration.
    """
    scenario = runs[0].scenario
    parts = [
        HEAD.format(title=html.escape(title)),
        f"<h1>{html.escape(title)}</h1>",
        f"<p>{html.escape(scenario.question)}</p><p>{html.escape(describe_scenario(scenario))}</p>",
    ]
    for number, run in enumerate(runs):
        parts.append(f'<h2 class="run{number}">{html.escape(run.name)}</h2>{_table(run)}')
        if run.broken:
            parts.append(f'<p class="broken">{html.escape(run.broken)}</p>')
    for heading, draw in DIAGRAMS:
        parts.append(f"<h2>{heading}</h2>{_render_svg(draw, runs)}")
    return "\n".join(parts) + "\n</html>\n"


def describe_scenario(scenario: Scenario) -> str:
    """Describe the fleet, its traffic and its faults in one line."""
    fleet = f"{scenario.endpoint_count} endpoints, {scenario.sidecars} sidecars"
    traffic = f"{scenario.traffic.per_s:g} requests per second (capacity: {scenario.capacity_per_s():.0f})"
    faults = [f"{fault.kind} at {fault.at_s:g} s for {fault.for_s:g} s" for fault in scenario.faults]
    text = f"{fleet}, {traffic}, {scenario.seconds:g} s."
    return text + (f" Faults: {', '.join(faults)}." if faults else "")


def format_cell(column: str, value: Any) -> str:
    """Format a value of the table for its column (one of COLUMNS)."""
    if column in REPORTED_OUTCOMES:
        return f"{100 * value:.2f} %"
    return f"{value:.1f}" if column.endswith("ms") else str(value)


def _table(run: ScenarioRun) -> str:
    parts = ["<table><tr>", *(f"<th>{column.replace('_', ' ')}</th>" for column in COLUMNS), "</tr>"]
    for row in class_rows(run.metrics):
        cells = (f"<td>{html.escape(format_cell(column, row[column]))}</td>" for column in COLUMNS)
        parts.append("<tr>" + "".join(cells) + "</tr>")
    return "".join(parts) + f"</table><p>{_summary(run)}</p>"


def _summary(run: ScenarioRun) -> str:
    outcomes = run.metrics.retry_after_outcomes
    retries = sum(outcomes.values())
    text = f"service {run.metrics.service():.3f}"
    if retries:
        text += f"; of {retries} retries after a Retry-After, {outcomes[True]} were served"
    return text


def _render_svg(draw: DrawFunction, runs: Sequence[ScenarioRun]) -> str:
    """Return a diagram as inline SVG; equal runs give equal bytes."""
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


def _draw_faults(axes: Axes, scenario: Scenario) -> None:
    """Draw the faults as bands, and set up the time axis."""
    for number, fault in enumerate(scenario.faults):
        _draw_fault(axes, fault, 1.0 - FAULT_LABEL_STEP * (number % FAULT_LABEL_ROWS))
    axes.set_xlim(0, scenario.seconds)
    axes.set_xlabel("s")


def _draw_fault(axes: Axes, fault: Fault, label_height: float) -> None:
    axes.axvspan(
        fault.at_s,
        fault.at_s + max(fault.for_s, MIN_FAULT_WIDTH_S),
        color=FAULT_COLOUR,
        alpha=0.18,
        lw=0,
    )
    axes.text(
        fault.at_s,
        label_height,
        f" {fault.kind}",
        fontsize=7,
        va="top",
        transform=axes.get_xaxis_transform(),
    )


def _drawn_classes(run: ScenarioRun) -> Iterator[tuple[int, str, str]]:
    """Yield index, name and line style of each class that is drawn."""
    for number, request_class in enumerate(run.scenario.classes[:MAX_DRAWN_CLASSES]):
        yield number, request_class.name, CLASS_LINE_STYLES[number % len(CLASS_LINE_STYLES)]


def _outcome_percents(run: ScenarioRun, class_index: int, outcome: str) -> tuple[list[float], list[float]]:
    """Return the middle of each second, and the percentage of its client requests with an outcome."""
    seconds = []
    percents = []
    for second, counts in sorted(run.metrics.windows.items()):
        requested = sum(count for (index, _), count in counts.items() if index == class_index)
        if requested:
            seconds.append(second + 0.5)
            percents.append(100 * counts[class_index, outcome] / requested)
    return seconds, percents


def _outcome_diagram(outcome: str, label: str) -> DrawFunction:
    """Return a function that draws the share of an outcome over time, by class."""

    def draw(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
        _draw_faults(axes, runs[0].scenario)
        for run, colour in zip(runs, RUN_COLOURS, strict=False):
            for number, name, style in _drawn_classes(run):
                seconds, percents = _outcome_percents(run, number, outcome)
                axes.plot(seconds, percents, style, color=colour, lw=1.2, label=f"{run.name}: {name}")
        axes.set_ylabel(label)
        axes.set_ylim(-2, 102)

    return draw


def _draw_latency(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
    positions = list(range(len(PERCENTILES)))
    for run, colour in zip(runs, RUN_COLOURS, strict=False):
        for number, name, style in _drawn_classes(run):
            histogram = run.metrics.latency[number]
            if not histogram.get_total_count():
                continue
            times_ms = [histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES]
            axes.plot(
                positions,
                times_ms,
                style,
                marker=".",
                color=colour,
                lw=1.2,
                label=f"{run.name}: {name}",
            )
    axes.set_xticks(positions, [f"{percentile:g}" for percentile in PERCENTILES])
    axes.set_xlabel("percentile of served requests")
    axes.set_ylabel("ms")
    axes.set_yscale("log")


def _draw_queues(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
    _draw_faults(axes, runs[0].scenario)
    for run, colour in zip(runs, RUN_COLOURS, strict=False):
        times_s = [sample.at_s for sample in run.samples]
        waiting = [sample.waiting for sample in run.samples]
        longest = [sample.longest for sample in run.samples]
        axes.plot(times_s, waiting, color=colour, lw=1.2, label=f"{run.name}: all queues")
        axes.plot(times_s, longest, ":", color=colour, lw=1.2, label=f"{run.name}: longest queue")
    axes.set_ylabel("waiting requests")


def _draw_utilization(axes: Axes, runs: Sequence[ScenarioRun]) -> None:
    width = 0.8 / len(runs)
    for number, (run, colour) in enumerate(zip(runs, RUN_COLOURS, strict=False)):
        positions = [endpoint + number * width for endpoint in range(len(run.utilization))]
        percents = [100 * share for share in run.utilization]
        axes.bar(positions, percents, width, color=colour, label=run.name)
    axes.set_xlabel("endpoint")
    axes.set_ylabel("% of its cores' time")


DIAGRAMS = (
    Diagram("Served in time, by time of arrival", _outcome_diagram("in_time", "%")),
    Diagram("Rejected, by time of arrival", _outcome_diagram("refused", "%")),
    Diagram("Latency", _draw_latency),
    Diagram("Requests waiting at endpoints", _draw_queues),
    Diagram("Utilization of endpoints", _draw_utilization),
)
