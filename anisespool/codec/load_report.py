"""Parser for the load reports that endpoints send in a header of their responses."""

from __future__ import annotations

from functools import lru_cache

TEXT_FORMAT = b"TEXT"


@lru_cache(maxsize=64)  # an endpoint repeats its report in every response until it has a new one
def parse_load_report(value: bytes | None, columns: tuple[str, ...]) -> tuple[float, ...]:
    """Parse an endpoint's load report, `TEXT inflight=7, queue=2`.

    Returns:
        The values in the order of `columns`; empty if the report is invalid or lacks a column.
    """
    format_name, _, pairs = (value or b"").strip().partition(b" ")
    if format_name.upper() != TEXT_FORMAT:
        return ()
    values: dict[str, float] = {}
    for pair in pairs.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        try:
            values[name.strip()] = float(number)
        except ValueError:
            return ()
    if any(column not in values for column in columns):
        return ()
    return tuple(values[column] for column in columns)
