"""Tables from typed columns: each has the function that makes its cell of a row."""

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
    """One column of a table whose rows are shown from values of type `RowT`.

    Attributes:
        title: Shown above the column. In a string rich's markup is applied, in a `Text` it is not.
        cell: Returns what a row's cell shows; markup as in the title.
        justify: Where the column's cells are aligned.
    """

    title: str | Text
    cell: Callable[[RowT], str | Text]
    justify: JustifyMethod = "left"


def build_table(title: str, columns: Sequence[Column[RowT]], rows: Iterable[RowT]) -> Table:
    """Return a table with a title and a frame; long cells are folded."""
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
