"""The report of a benchmark: printed tables, one JSON object for scripts, and the missed objectives."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TextIO

Cell = str | int | float


@dataclass
class Report:
    """A main table, further tables, notes, and the missed objectives.

    The further tables are printed before the notes and the objectives.
    """

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[Cell, ...]] = field(default_factory=list)
    missed_objectives: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    tables: list[Report] = field(default_factory=list)

    def add_row(self, *cells: Cell) -> None:
        """Add a row to the main table, one cell for each column."""
        self.rows.append(cells)

    def add_note(self, text: str) -> None:
        """Add a line that is printed below the tables."""
        self.notes.append(text)

    def add_table(self, title: str, columns: tuple[str, ...], *rows: tuple[Cell, ...]) -> None:
        """Add a further table."""
        self.tables.append(Report(title, columns, list(rows)))

    def check_objective(self, met: bool, text: str) -> None:
        """Check an objective that was stated before the run; a missed one gives exit status 1."""
        if not met:
            self.missed_objectives.append(text)

    def print_to(self, out: TextIO) -> None:
        """Print the tables, the notes, and the missed objectives."""
        self._print_table(out)
        for table in self.tables:
            table._print_table(out)
        for note in self.notes:
            print(note, file=out)
        for text in self.missed_objectives:
            print(f"MISSED: {text}", file=out)
        if not self.missed_objectives:
            print("all objectives met", file=out)

    def _print_table(self, out: TextIO) -> None:
        lines = [self.columns, *[tuple(_format_cell(cell) for cell in row) for row in self.rows]]
        widths = [max(len(line[column]) for line in lines) for column in range(len(self.columns))]
        print(self.title, file=out)
        for line in lines:
            print("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)), file=out)

    def to_json(self) -> dict[str, Any]:
        """Return the report as one JSON object, with each row as an object that is keyed by column."""
        return {
            "title": self.title,
            "rows": [dict(zip(self.columns, row, strict=True)) for row in self.rows],
            "notes": self.notes,
            "missed": self.missed_objectives,
            "parts": [table.to_json() for table in self.tables],
        }


def _format_cell(cell: Cell) -> str:
    return f"{cell:.1f}" if isinstance(cell, float) else str(cell)
