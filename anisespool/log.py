"""The log on standard error, one logfmt line per event: `event_name key=value key="two words" at_s=12.345`.

Sidecars and the agent write every line with `log_event`, so that an event has one name, and a field the same
key in all events. docs/on-call.md lists all events, and tests/test_log_lines.py compares that list with the
code. Each line ends with its time on the monotonic clock, which all processes of a machine share and which
changes of the wall clock do not affect.
"""

from __future__ import annotations

import sys
import time

MAX_LINE_CHARACTERS = 300
LIMITED_INTERVAL_S = 1.0


def log_event(event: str, /, **fields: object) -> None:
    """Write one line for `event`. Control characters are escaped, so that each event is a single line."""
    write_event(format_event(event, **fields))


def write_event(line: str) -> None:
    """Write a line that `format_event` returned, with the current time."""
    print(f"{line} at_s={time.monotonic():.3f}", file=sys.stderr)


def format_event(event: str, /, **fields: object) -> str:
    """Return the line that `log_event` writes, without the line end."""
    parts = [event]
    parts += [f"{key}={_quoted(str(value))}" for key, value in fields.items()]
    return " ".join(parts)[:MAX_LINE_CHARACTERS]


class EventLimit:
    """Bounds how often an event is logged: for each reason, once in `LIMITED_INTERVAL_S`."""

    def __init__(self) -> None:
        self._next_at_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def count_to_log(self, reason: str) -> int:
        """Count an occurrence; return how many there were since the last line, or 0 if none is due yet.

        Args:
            reason: One of a small set of texts, as each has an entry that is never removed.
        """
        count = self._unlogged.get(reason, 0) + 1
        now_s = time.monotonic()
        if now_s < self._next_at_s.get(reason, 0.0):
            self._unlogged[reason] = count
            return 0
        self._unlogged[reason] = 0
        self._next_at_s[reason] = now_s + LIMITED_INTERVAL_S
        return count


def _quoted(value: str) -> str:
    """Return `value` unchanged if it is unambiguous, otherwise in double quotes with escapes."""
    if value and value.isprintable() and not any(character in value for character in ' "=\\'):
        return value
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(_printable(character) for character in escaped) + '"'


def _printable(character: str) -> str:
    return character if character.isprintable() else character.encode("unicode_escape").decode()
