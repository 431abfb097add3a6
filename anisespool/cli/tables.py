"""Tables built from typed columns: each column has a function that returns its cell for a row."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from rich.console import JustifyMethod
from rich.table import Table
from rich.text import Text

RowT = TypeVar("RowT")


@dataclass(frozen=True, slots=True)
class Column(Generic[RowT]):
    """A column of a table whose rows are values of type `RowT`.

    Attributes:
        title: Heading of the column. Rich interprets markup in a string, but not in a `Text`.
        cell: Returns the content of the cell for a row; markup as in the title.
        justify: Alignment of the cells.
    """

    title: str | Text
    cell: Callable[[RowT], str | Text]
    justify: JustifyMethod = "left"


def build_table(title: str, columns: Sequence[Column[RowT]], rows: Iterable[RowT]) -> Table:
    """Return a table with a title and a frame. Long cells are folded."""
    table = Table(title=title, title_justify="left", header_style="bold")
    for column in columns:
        table.add_column(column.title, justify=column.justify, overflow="fold")
    return _with_rows(table, columns, rows)


def build_plain_table(
    columns: Sequence[Column[RowT]], rows: Iterable[RowT], title: str | None = None
) -> Table:
    """Return a table without a frame, for many rows."""
    table = Table(title=title, box=None)
    for column in columns:
        table.add_column(column.title, justify=column.justify)
    return _with_rows(table, columns, rows)


def _with_rows(table: Table, columns: Sequence[Column[RowT]], rows: Iterable[RowT]) -> Table:
    for row in rows:
        table.add_row(*(column.cell(row) for column in columns))
    return table
