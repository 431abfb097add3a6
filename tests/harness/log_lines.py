"""Log lines as a process writes them."""

from __future__ import annotations

import re

TIME = re.compile(r" at_s=\d+\.\d{3}$")


def without_time(line: str) -> str:
    """Return a log line without the time that has to end it."""
    assert TIME.search(line), line
    return TIME.sub("", line)
