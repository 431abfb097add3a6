"""Output that commands share: the console and states' colours for people, JSON lines for scripts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, TypeAlias

from rich.console import Console
from rich.progress import Progress, ProgressColumn, TextColumn
from rich.text import Text

MS_PER_S = 1000
# Colours of states, as the control socket and agent.proto name them.
STATE_COLOURS = {
    "has": "green",
    "serving": "green",
    "settled": "green",
    "ready": "green",
    "answers": "green",
    "sent": "cyan",
    "running": "cyan",
    "lacks": "yellow",
    "draining": "yellow",
    "paused": "yellow",
    "refused": "red",
    "unreachable": "red",
    "silent": "red",
    "gone": "red",
    "strange": "red",
    "ahead": "magenta",
    "aborted": "magenta",
    "superseded": "dim",
}


JsonValue: TypeAlias = "str | int | float | bool | Sequence[JsonValue] | Mapping[str, JsonValue] | None"
JsonObject: TypeAlias = dict[str, JsonValue]


class DurationUnit(NamedTuple):
    """A unit in which durations are shown."""

    seconds: int
    symbol: str


DURATION_UNITS = [DurationUnit(86_400, "d"), DurationUnit(3600, "h"), DurationUnit(60, "min")]

console = Console(soft_wrap=False)


def message_to_dict(message: Any) -> JsonObject:
    """Return a protobuf message's fields under the proto's own names, defaults included.

    Not protobuf's own JSON mapping, which turns 64-bit numbers into strings.
    """
    fields: JsonObject = {}
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.is_repeated:
            fields[field.name] = [message_to_dict(item) if field.message_type else item for item in value]
        elif field.message_type:
            fields[field.name] = message_to_dict(value) if message.HasField(field.name) else None
        else:
            fields[field.name] = value
    return fields


def print_json(value: Any) -> None:
    """Print a value as one line of JSON, at once: scripts read a stream of them."""
    print(json.dumps(value), flush=True)


def print_warnings(lines: Iterable[str]) -> None:
    """Print what did not work, one indented line each."""
    for line in lines:
        console.print(f"  {line}", style="yellow", markup=False)


def transient_progress(*columns: ProgressColumn, quiet: bool) -> Progress:
    """Return a progress display that begins with each task's description and leaves nothing behind.

    Args:
        columns: what follows the description.
        quiet: show nothing.
    """
    return Progress(
        TextColumn("{task.description}"), *columns, console=console, transient=True, disable=quiet
    )


def styled_state(state: str) -> Text:
    """Return a state's name in its colour."""
    return Text(state, style=STATE_COLOURS.get(state, ""))


def format_duration(duration_ms: float) -> str:
    """Return a duration in the largest unit that it fills once, such as `1.5 h`."""
    seconds = duration_ms / MS_PER_S
    for unit in DURATION_UNITS:
        if seconds >= unit.seconds:
            return f"{seconds / unit.seconds:.1f} {unit.symbol}"
    return f"{seconds:.1f} s"
