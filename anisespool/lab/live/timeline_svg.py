"""Draws a run of many processes as one picture: faults, served share, outages and reported events."""

from __future__ import annotations

import io
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

from anisespool.lab.live.history import History
from anisespool.lab.live.process_account import EventKind, OutageCause

FAULT_COLOR = "#d1603d"
SERVED_COLOR = "#2d7d46"
OUTAGE_COLORS = {
    OutageCause.KILLED: "#222222",
    OutageCause.FROZEN: "#7a8ba3",
    OutageCause.STARVED: "#c9a227",
}
MAX_ROWS = 60  # the picture grows with the members up to this number
MIN_FAULT_WIDTH_S = 0.05
TITLE_FONT = 9
SMALL_FONT = 7
POSITION_DECIMALS = 6  # of a share of the figure's size


class _Marker(NamedTuple):
    """The marker that an event of a member is drawn with."""

    kind: EventKind
    color: str
    symbol: str


MARKERS = (
    _Marker(EventKind.VIEW, "#1f6f8b", "|"),
    _Marker(EventKind.LIST, "#1f6f8b", "|"),
    _Marker(EventKind.DEAD, "#b00020", "x"),
    _Marker(EventKind.STALLED, "#555555", "."),
)


def render(history: History) -> str:
    """Return the picture as SVG. The same history always gives the same text."""
    matplotlib.rcParams["svg.hashsalt"] = "anisespool"
    fault_rows = max(1.0, 0.25 * len(history.faults()))
    member_rows = min(MAX_ROWS, len(history.outages)) * 0.11 + 0.6
    heights = [fault_rows, 1.4, member_rows]
    figure, (faults, served, members) = plt.subplots(
        3, 1, figsize=(10, sum(heights) + 1.2), height_ratios=heights, sharex=True, layout="constrained"
    )
    _draw_faults(faults, history)
    _draw_served(served, history)
    _draw_outages(members, history)
    _draw_events(members, history)
    members.set_xlabel("scenario time in s")
    members.set_xlim(0, history.scenario.seconds)
    _fix_layout(figure)
    output = io.StringIO()
    figure.savefig(output, format="svg", metadata={"Date": None})
    plt.close(figure)
    return output.getvalue()


def _fix_layout(figure: Any) -> None:
    """Compute the layout once, and round it.

    The layout's solver orders its terms by their addresses in memory, so that the last bits of a position
    vary. The ids of clip paths are hashes of unrounded positions.
    """
    figure.draw_without_rendering()
    figure.set_layout_engine("none")
    for axes in figure.axes:
        bounds = axes.get_position().bounds
        axes.set_position([round(float(bound), POSITION_DECIMALS) for bound in bounds])


def _draw_faults(axes: Any, history: History) -> None:
    faults = history.faults()
    for row, fault in enumerate(faults):
        width = max(MIN_FAULT_WIDTH_S, fault.end_s - fault.begin_s)
        axes.barh(row, width, left=fault.begin_s, color=FAULT_COLOR, height=0.6)
    axes.set_yticks(range(len(faults)), [fault.description for fault in faults], fontsize=SMALL_FONT)
    axes.invert_yaxis()
    axes.set_title("Faults", loc="left", fontsize=TITLE_FONT)


def _draw_served(axes: Any, history: History) -> None:
    shares = [sums.in_time / sums.requested if sums.requested else 0.0 for sums in history.served]
    axes.step(list(range(len(shares))), shares, where="post", color=SERVED_COLOR)
    axes.set_ylim(0, 1.05)
    title = "Share of requests served in time, by second"
    axes.set_title(title, loc="left", fontsize=TITLE_FONT)


def _draw_outages(axes: Any, history: History) -> None:
    for member, outages in enumerate(history.outages):
        for outage in outages:
            begin = history.second(outage.begin)
            end = min(history.scenario.seconds, history.second(outage.end))
            axes.barh(member, end - begin, left=begin, color=OUTAGE_COLORS[outage.cause], height=0.8)
    axes.set_ylim(len(history.outages) - 0.4, -0.6)
    title = "Members: outages (bars) and reported events (marks)"
    axes.set_title(title, loc="left", fontsize=TITLE_FONT)


def _draw_events(axes: Any, history: History) -> None:
    for marker in MARKERS:
        events = [event for event in history.events if event.kind == marker.kind]
        if events:
            axes.scatter(
                [event.at_s for event in events],
                [event.member for event in events],
                c=marker.color,
                marker=marker.symbol,
                s=14,
                linewidths=0.8,
                label=str(marker.kind),
            )
    if axes.get_legend_handles_labels()[1]:
        axes.legend(fontsize=SMALL_FONT, loc="upper right")
