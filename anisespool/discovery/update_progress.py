"""Tracks the revision up to which the endpoint list was applied, and skips updates that fail twice.

Pure: no I/O, no clock.
"""

from __future__ import annotations

NO_FAULT = ""


class UpdateProgress:
    """Decides after which revision the next attempt requests updates.

    The revision only advances past applied updates, so an update that could not be applied is requested once
    more. If it fails in the same way again, it is skipped and the updates after it are applied.

    Attributes:
        revision: Revision of the last update that was applied or skipped.
        fault: Why an update could not be applied, or the stream not be parsed, in this attempt; NO_FAULT
            otherwise. A skipped update leaves it unchanged.
    """

    def __init__(self, revision: int) -> None:
        """Start after `revision`, which has already been applied."""
        self.revision = revision
        self.fault = NO_FAULT
        self._previous_fault = NO_FAULT

    def begin_attempt(self) -> None:
        """Start an attempt, in which nothing has failed yet."""
        self.fault = NO_FAULT

    def end_attempt(self) -> None:
        """End an attempt. An update that failed in it is skipped if it fails in the same way again."""
        self._previous_fault = self.fault

    def record_update(self, revision: int | None, fault: str) -> None:
        """Record whether an update was applied, and advance the revision unless the attempt has a fault.

        Args:
            revision: Revision of the update; None if it could not be read.
            fault: Why the update could not be applied; NO_FAULT if it was.
        """
        if fault != NO_FAULT and fault != self._previous_fault:
            self.fault = self.fault or fault
        elif revision is not None and self.fault == NO_FAULT:
            self.revision = revision

    def record_invalid_stream(self, fault: str) -> None:
        """Record that the attempt ended because its stream could not be parsed."""
        self.fault = fault

    def request_complete_list(self) -> None:
        """Make the next attempt request the complete list."""
        self.revision = 0  # Discovery answers this revision with the complete list.
