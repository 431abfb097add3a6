"""The known failures that CI passes over (KNOWN-RED.txt).

An entry is a paragraph of `key: value` lines; a line that starts with a space continues the one before. The
value of `test` is a test's id, which names all of its parameter sets unless it has one in brackets. An entry
whose test has no `::` is not a test of pytest.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
KEYS = ("test", "command", "seed", "seen", "issue")


class KnownRedError(ValueError):
    """An entry of the file lacks a key."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A known failure."""

    fields: dict[str, str]

    @property
    def test_id(self) -> str:
        """The id of the test, without the remark in parentheses that may follow it."""
        return self.fields["test"].partition(" (")[0]

    def matches(self, node_id: str) -> bool:
        """Return whether the entry names this test, as pytest identifies it."""
        return self.test_id in (node_id, node_id.partition("[")[0])


def parse(text: str) -> list[KnownRed]:
    """Return the entries of the file.

    Raises:
        KnownRedError: An entry lacks one of `KEYS`.
    """
    return [_parse_entry(paragraph) for paragraph in text.split("\n\n") if paragraph.strip()]


def _parse_entry(paragraph: str) -> KnownRed:
    fields: dict[str, str] = {}
    key = ""
    for line in paragraph.strip().splitlines():
        if line.startswith(" "):
            fields[key] += " " + line.strip()
        else:
            key, _, value = line.partition(":")
            fields[key] = value.strip()
    if missing := [key for key in KEYS if not fields.get(key)]:
        raise KnownRedError(f"an entry of {PATH.name} lacks {', '.join(missing)}: {paragraph.strip()[:60]}")
    return KnownRed(fields)
