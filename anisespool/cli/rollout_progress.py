"""Progress of a rollout: a one-line summary, a bar, and a live display of both."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from rich.live import Live
from rich.text import Text

from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli import output

BAR_WIDTH_CHARACTERS = 40
DISPLAY_ORDER = (
    RolloutStatus.UP_TO_DATE,
    RolloutStatus.IN_FLIGHT,
    RolloutStatus.OUTDATED,
    RolloutStatus.REJECTED,
    RolloutStatus.UNREACHABLE,
    RolloutStatus.AHEAD,
)


class StatusCount(NamedTuple):
    """Number of instances with a status; `name` is its field in agent.proto's Progress."""

    name: str
    instances: int


def summary(progress: pb.Progress) -> str:
    """Return a line with the state of a change, and its numbers of instances by status."""
    counts = ", ".join(f"{count.instances} {count.name}" for count in _counts(progress) if count.instances)
    name = f"generation {progress.generation}: " if progress.generation else ""
    text = f"{name}{progress.state}, of {progress.total}: {counts or 'none'}"
    return text + (f" ({progress.reason})" if progress.reason else "")


def progress_bar(progress: pb.Progress, width: int = BAR_WIDTH_CHARACTERS) -> Text:
    """Return the summary after a bar, in which each status takes up its share of instances."""
    text = Text()
    if progress.total:
        for count in _counts(progress):
            part = round(width * count.instances / progress.total)
            text.append("█" * part, style=output.STATE_COLOURS[count.name])
    text.append("  " + summary(progress))
    return text


def follow(updates: Iterable[pb.Progress], as_json: bool) -> pb.Progress:
    """Show progress until the stream of updates ends, and return the last one."""
    if as_json:
        return _print_each(updates)
    last = _show_live(updates) if output.console.is_terminal else _print_last(updates)
    output.print_warnings(last.trouble)
    return last


def _counts(progress: pb.Progress) -> list[StatusCount]:
    return [StatusCount(status.value, getattr(progress, status.value)) for status in DISPLAY_ORDER]


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
