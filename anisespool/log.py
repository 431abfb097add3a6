"""The log on standard error, one logfmt line per event: `event_name key=value key="two words"`.

Sidecars and the agent write every line with `log_event`, so that an event has one name, and a field the same
key in all events. docs/on-call.md lists all events, and tests/test_log_lines.py compares that list with the
code.
"""

from __future__ import annotations

import sys

MAX_LINE_CHARACTERS = 300


def log_event(event: str, /, **fields: object) -> None:
    """Write one line for `event`. Control characters are escaped, so that each event is a single line."""
    print(format_event(event, **fields), file=sys.stderr)


def format_event(event: str, /, **fields: object) -> str:
    """Return the line that `log_event` writes, without the line end."""
    parts = [event]
    parts += [f"{key}={_quoted(str(value))}" for key, value in fields.items()]
    return " ".join(parts)[:MAX_LINE_CHARACTERS]


def _quoted(value: str) -> str:
    """Return `value` unchanged if it is unambiguous, otherwise in double quotes with escapes."""
    if value and value.isprintable() and not any(character in value for character in ' "=\\'):
        return value
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(_printable(character) for character in escaped) + '"'


def _printable(character: str) -> str:
    return character if character.isprintable() else character.encode("unicode_escape").decode()
