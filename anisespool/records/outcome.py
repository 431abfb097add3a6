"""Outcomes of recorded requests, and their names in records."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How a recorded request ended; a value is also an index into per-outcome counts.

    Python 3.11 looks up members through a property, so code that runs for each record binds them once.
    """

    SERVED = 0
    SHED = 1
    """Answered with 503 to shed load; a retry is harmless."""
    FAILED = 2
    CLIENT_DISCONNECTED = 3
    REJECTED = 4
    """Answered by the listener: malformed, unknown class or path, or too many connections."""


OUTCOME_NAMES = ("served", "refused", "failed", "gone", "rejected")
"""Names of the outcomes in records, by value. Keep them: searches of the receivers' logs contain them."""
