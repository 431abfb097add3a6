"""Up to which revision the endpoint list was applied, and which update that can't be applied is skipped.

Pure: no I/O, no clock.
"""

from __future__ import annotations

NO_FAULT = ""


class UpdateProgress:
    """Decides which revision the next attempt requests updates after.

    The revision only advances past what was applied, so that an update which could not be is requested once
    more. If it fails in the same way again it is skipped, and the updates behind it are applied.

    Attributes:
        revision: Of the last update that was applied or skipped.
        fault: Why an update could not be applied in this attempt; NO_FAULT: all were, or were skipped.
    """

    def __init__(self, revision: int) -> None:
        """Begin after `revision`, which was applied before."""
        self.revision = revision
        self.fault = NO_FAULT
        self._previous_fault = NO_FAULT

    def begin_attempt(self) -> None:
        """Begin an attempt, in which nothing has failed yet."""
        self.fault = NO_FAULT

    def end_attempt(self) -> None:
        """End an attempt: what failed in it is skipped if it fails in the same way in the next one."""
        self._previous_fault = self.fault

    def record_update(self, revision: int | None, fault: str) -> None:
        """Record an update.

        Args:
            revision: Of the update; None: it could not be read.
            fault: Why it could not be applied; NO_FAULT: it was.
        """
        if fault != NO_FAULT and fault != self._previous_fault:
            self.fault = self.fault or fault
        elif revision is not None and self.fault == NO_FAULT:
            self.revision = revision

    def record_invalid_stream(self, fault: str) -> None:
        """Record that the attempt ended as its stream could not be read."""
        self.fault = fault

    def request_complete_list(self) -> None:
        """Have the next attempt request the complete list."""
        self.revision = 0  # discovery answers it with the complete list
