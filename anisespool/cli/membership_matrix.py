"""Matrix of membership views: a row for each instance, with a mark for each member."""

from __future__ import annotations

from itertools import starmap
from typing import NamedTuple

from rich.console import RenderableType
from rich.text import Text

from anisespool.cli.instance_views import MembershipView
from anisespool.cli.output import format_duration
from anisespool.cli.tables import Column, build_table

MAX_DISPLAYED_MEMBERS = 200  # marks shown in a row, lowest numbers first; the counts cover all members


class Mark(NamedTuple):
    """Character and colour for a state of a member."""

    character: str
    colour: str


ALIVE = Mark(".", "green")
REACHED_INDIRECTLY = Mark("/", "yellow")
SUSPECT = Mark("?", "yellow")
DEAD = Mark("x", "red")
LEFT = Mark("-", "dim")
UNKNOWN = Mark(" ", "dim")
ITSELF = Mark("o", "cyan")  # the instance that has the view
LEGEND = ". alive  / alive, reached only indirectly (a path is cut)  ? suspect  x dead  - left  o itself"


class NamedView(NamedTuple):
    """Name of an instance, and its view: not the `MembershipView` of `membership/view.py`."""

    instance: str
    view: MembershipView


def member_marks(view: MembershipView) -> str:
    """Return one character for each member, in the order of their numbers."""
    return "".join(mark.character for mark in _marks(view))


def render(views: dict[str, MembershipView], reasons_without_view: dict[str, str]) -> list[RenderableType]:
    """Return the matrix, its legend, whether views agree, and a line for each instance without a view.

    Args:
        views: Views by name of the instance.
        reasons_without_view: Reasons why instances have no view, by name of the instance.
    """
    table = build_table("Who sees whom", VIEW_COLUMNS, starmap(NamedView, views.items()))
    parts: list[RenderableType] = [table, Text(LEGEND, style="dim")]
    if views:
        parts.append(_agreement(len({view.live_members() for view in views.values()})))
    parts += [Text(f"{name}: {detail}", style="yellow") for name, detail in reasons_without_view.items()]
    return parts


def _marks(view: MembershipView) -> list[Mark]:
    members_by_mark = {  # a member in several lists gets the last of their marks
        UNKNOWN: view.unknown,
        LEFT: view.left,
        DEAD: view.dead,
        SUSPECT: view.suspect,
        ALIVE: view.alive,
        REACHED_INDIRECTLY: view.reached_indirectly,
        ITSELF: [view.number],
    }
    marks = {number: mark for mark, members in members_by_mark.items() for number in members}
    return [marks[number] for number in sorted(marks)]


def _styled_marks(row: NamedView) -> Text:
    text = Text()
    for mark in _marks(row.view)[:MAX_DISPLAYED_MEMBERS]:
        text.append(mark.character, style=mark.colour)
    return text


def _live_count(row: NamedView) -> str:
    low = row.view.alive_min
    high = row.view.alive_max
    return str(low) if low == high else f"{low} to {high}"


def _datagram_counts(row: NamedView) -> str:
    datagrams = row.view.datagrams
    return f"{datagrams.get('sent', 0)}/{datagrams.get('received', 0)}"


def _isolation_warning(row: NamedView) -> str:
    probes = row.view.failed_probes
    if not row.view.is_isolated:
        return ""
    return f"may be isolated: {probes.failed} of {probes.total} probes failed"


VIEW_COLUMNS: list[Column[NamedView]] = [
    Column("instance", lambda row: row.instance),
    Column("sees", _styled_marks),
    Column("alive", _live_count),
    Column("age", lambda row: format_duration(row.view.age_ms)),
    Column("health", lambda row: str(row.view.health_score)),
    Column("datagrams", _datagram_counts),
    Column("accusations", lambda row: str(row.view.stats["accusations"])),
    Column("refutations", lambda row: str(row.view.stats["refutations"])),
    Column("pauses", lambda row: str(row.view.stats["pauses"])),
    Column("warning", _isolation_warning),
]


def _agreement(distinct_views: int) -> Text:
    if distinct_views > 1:
        return Text(f"{distinct_views} views differ: run it again in a few seconds", style="yellow")
    return Text("all of one view", style="green")
