"""Cells with text of request records.

The text comes from clients: it is escaped, so that none holds a terminal's control sequence.
"""

from __future__ import annotations

from rich.text import Text

OUTCOME_COLOURS = {
    "served": "green",
    "ok": "green",
    "refused": "yellow",
    "gone": "magenta",
    "rejected": "magenta",
}
OTHER_OUTCOME_COLOUR = "red"
ABSENT = "-"  # in place of a parameter that a record doesn't have


def printable(text: str | None) -> Text:
    """Return the text without markup, and with everything that isn't printable escaped; `-` for none."""
    if text is None:
        return Text(ABSENT)
    return Text("".join(char if char.isprintable() else _escaped(char) for char in text))


def _escaped(char: str) -> str:
    return char.encode("unicode_escape").decode()


def styled_outcome(outcome: str | None) -> Text:
    """Return an outcome in its colour, escaped as by `printable`."""
    text = printable(outcome)
    text.stylize(OUTCOME_COLOURS.get(text.plain, OTHER_OUTCOME_COLOUR))
    return text
