"""Limits how often the same log line is written: attempts to reach discovery may be frequent. Pure."""

from __future__ import annotations

LOG_INTERVAL_S = 2.0  # between two identical log lines


class RepeatLimit:
    """Suppresses a log line that repeats the one before it, for LOG_INTERVAL_S."""

    def __init__(self) -> None:
        self._last_line = ""
        self._repeat_at_s = 0.0

    def is_due(self, line: str, now_s: float) -> bool:
        """Return whether to write the line; if so, it counts as written.

        Args:
            line: What identifies the line.
            now_s: Monotonic time, s.
        """
        if line == self._last_line and now_s < self._repeat_at_s:
            return False
        self._last_line = line
        self._repeat_at_s = now_s + LOG_INTERVAL_S
        return True
