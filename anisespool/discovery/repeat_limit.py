"""Limits how often the same log line is written, as attempts to reach discovery may be frequent. Pure."""

from __future__ import annotations

# Minimum time between two identical log lines.
LOG_INTERVAL_S = 2.0


class RepeatLimit:
    """Suppresses a log line that repeats the previous one, for LOG_INTERVAL_S."""

    def __init__(self) -> None:
        self._last_line = ""
        self._repeat_at_s = 0.0

    def is_due(self, line: str, now_s: float) -> bool:
        """Return whether to write the line; if so, it counts as written.

        Args:
            line: Text that identifies the line.
            now_s: Monotonic time.
        """
        if line == self._last_line and now_s < self._repeat_at_s:
            return False
        self._last_line = line
        self._repeat_at_s = now_s + LOG_INTERVAL_S
        return True
