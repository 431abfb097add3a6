"""A configuration change as it spreads: one line, a bar, and the live view of both."""

from __future__ import annotations

from collections.abc import Iterable

from rich.live import Live
from rich.text import Text

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli import output

BAR_WIDTH_CHARACTERS = 40
# Counters of agent.proto's Progress, in the order shown.
STANDINGS = ("has", "sent", "lacks", "refused", "unreachable", "ahead")


def summary(progress: pb.Progress) -> str:
    """Return a change's state and how many instances are where, as one line."""
    counts = ", ".join(f"{getattr(progress, key)} {key}" for key in STANDINGS if getattr(progress, key))
    name = f"generation {progress.generation}: " if progress.generation else ""
    text = f"{name}{progress.state}, of {progress.total}: {counts or 'none'}"
    return text + (f" ({progress.reason})" if progress.reason else "")


def progress_bar(progress: pb.Progress, width: int = BAR_WIDTH_CHARACTERS) -> Text:
    """Return a bar with a part for each standing, as wide as its share of instances, and the summary."""
    text = Text()
    if progress.total:
        for key in STANDINGS:
            part = round(width * getattr(progress, key) / progress.total)
            text.append("█" * part, style=output.STATE_COLOURS[key])
    text.append("  " + summary(progress))
    return text


def follow(updates: Iterable[pb.Progress], as_json: bool) -> pb.Progress:
    """Show a change until its stream ends, and return the last progress reported."""
    if as_json:
        return _print_each(updates)
    last = _show_live(updates) if output.console.is_terminal else _print_last(updates)
    output.print_warnings(last.trouble)
    return last


def _print_each(updates: Iterable[pb.Progress]) -> pb.Progress:
    last = pb.Progress()
    for last in updates:
        output.print_json(output.message_to_dict(last))
    return last


def _print_last(updates: Iterable[pb.Progress]) -> pb.Progress:
    last = pb.Progress()
    for update in updates:
        last = update
    output.console.print(summary(last))
    return last


def _show_live(updates: Iterable[pb.Progress]) -> pb.Progress:
    last = pb.Progress()
    with Live(console=output.console, refresh_per_second=10) as live:
        for last in updates:
            live.update(progress_bar(last))
    return last
