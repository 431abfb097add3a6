"""Output shared by the commands: console and colours for people, JSON lines for scripts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, TypeAlias

from rich.console import Console
from rich.progress import Progress, ProgressColumn, TextColumn
from rich.text import Text

MS_PER_S = 1000
# Keys are states as the control socket and agent.proto name them.
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
    """Unit of a displayed duration."""

    seconds: int
    symbol: str


DURATION_UNITS = [DurationUnit(86_400, "d"), DurationUnit(3600, "h"), DurationUnit(60, "min")]

console = Console(soft_wrap=False)


def message_to_dict(message: Any) -> JsonObject:
    """Return all fields of a protobuf message, defaults included, under their names in the .proto file.

    Protobuf's own JSON mapping is not used because it turns 64-bit numbers into strings.
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
    """Print a value as one line of JSON, and flush it for scripts that read line by line."""
    print(json.dumps(value), flush=True)


def print_warnings(lines: Iterable[str]) -> None:
    """Print warnings, each as an indented line."""
    for line in lines:
        console.print(f"  {line}", style="yellow", markup=False)


def transient_progress(*columns: ProgressColumn, quiet: bool) -> Progress:
    """Return a progress display that disappears when it ends.

    Args:
        columns: Columns after the description of each task.
        quiet: Whether to show nothing.
    """
    return Progress(
        TextColumn("{task.description}"), *columns, console=console, transient=True, disable=quiet
    )


def styled_state(state: str) -> Text:
    """Return the name of a state in its colour."""
    return Text(state, style=STATE_COLOURS.get(state, ""))


def format_duration(duration_ms: float) -> str:
    """Return a duration as text in the largest unit that it reaches, such as `1.5 h`."""
    seconds = duration_ms / MS_PER_S
    for unit in DURATION_UNITS:
        if seconds >= unit.seconds:
            return f"{seconds / unit.seconds:.1f} {unit.symbol}"
    return f"{seconds:.1f} s"
