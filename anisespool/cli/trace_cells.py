"""Table cells with text from request records.

The text comes from clients. It is escaped so that no terminal control sequence is printed.
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
ABSENT = "-"  # shown for a parameter that the record does not have


def printable(text: str | None) -> Text:
    """Return the text without markup and with unprintable characters escaped; `-` for None."""
    if text is None:
        return Text(ABSENT)
    return Text("".join(char if char.isprintable() else _escaped(char) for char in text))


def _escaped(char: str) -> str:
    return char.encode("unicode_escape").decode()


def styled_outcome(outcome: str | None) -> Text:
    """Return an outcome in its colour, escaped like `printable` does."""
    text = printable(outcome)
    text.stylize(OUTCOME_COLOURS.get(text.plain, OTHER_OUTCOME_COLOUR))
    return text
