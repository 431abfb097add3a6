"""A file through which a run sets the wall clock offset of a mutated sidecar."""

from __future__ import annotations

from pathlib import Path

NAME = "clock"


def write_offset(folder: Path, seconds: float) -> None:
    """Write the offset for the sidecar whose configuration is in `folder`."""
    (folder / NAME).write_text(f"{seconds}")


def read_offset(folder: Path) -> float:
    """Return the offset in seconds, from the file in `folder`."""
    return float((folder / NAME).read_text())
