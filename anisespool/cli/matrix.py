"""Who sees whom: a row for each instance that told, a column for each member of the fleet."""

from __future__ import annotations

from typing import Any

from rich.console import RenderableType
from rich.text import Text

from anisespool.cli import show

MARKS = {"alive": (".", "green"), "around": ("/", "yellow"), "suspect": ("?", "yellow"), "gone": ("x", "red"),
         "left": ("-", "dim"), "unheard": (" ", "dim"), "itself": ("o", "cyan")}  # fmt: skip
LEGEND = ". alive  / alive, heard only through others (a way is cut)  ? suspect  x gone  - left  o itself"
MOST_COLUMNS = 200  # members shown; further ones are in the counts
COLUMNS = ("instance", "sees", "lives", "age", "health", "datagrams", "accused", "refuted", "paused", "says")


def key(view: dict[str, Any]) -> tuple[int, ...]:
    """Views that differ in this differ in whom they hold for alive."""
    return tuple(sorted(view["alive"] + view["suspect"]))


def marks(view: dict[str, Any]) -> str:
    """One mark for each member, by number."""
    kinds = {
        number: kind for kind in ("unheard", "left", "gone", "suspect", "alive") for number in view[kind]
    }
    kinds |= dict.fromkeys(view["around"], "around") | {view["number"]: "itself"}
    return "".join(MARKS[kinds[number]][0] for number in sorted(kinds))


def draw(told: dict[str, dict[str, Any]], silent: dict[str, str]) -> list[RenderableType]:
    """A table of rows, a legend, and a line for those that told nothing."""
    table = show.table("Who sees whom", *COLUMNS)
    colours = {mark: colour for mark, colour in MARKS.values()}
    for name, view in told.items():
        row = Text()
        for mark in marks(view)[:MOST_COLUMNS]:
            row.append(mark, style=colours[mark])
        low, high = view["low"], view["high"]
        vain, probes = view["in_vain"]
        stats, datagrams = view["stats"], view["datagrams"]
        table.add_row(
            name, row, str(low) if low == high else f"{low} to {high}", show.span(view["age_ms"]),
            str(view["health"]), f"{datagrams.get('sent', 0)}/{datagrams.get('received', 0)}",
            str(stats["accusations"]), str(stats["refutations"]), str(stats["pauses"]),
            f"I may be cut off: {vain} of {probes} probes in vain" if view["cut_off"] else "",
        )  # fmt: skip
    views = len({key(view) for view in told.values()})
    said = f"{views} views differ: ask again in a few seconds" if views > 1 else "all of one view"
    parts: list[RenderableType] = [table, Text(LEGEND, style="dim")]
    if told:
        parts.append(Text(said, style="yellow" if views > 1 else "green"))
    parts += [Text(f"{name}: {detail}", style="yellow") for name, detail in silent.items()]
    return parts
