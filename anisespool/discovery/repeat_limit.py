"""Limits how often the same log line is written, as attempts to reach discovery may be frequent. Pure."""

from __future__ import annotations

# Minimum time between two identical log lines.
LOG_INTERVAL_S = 2.0


class RepeatLimit:
    """Suppresses a log line that repeats the previous one, for LOG_INTERVAL_S."""

    def __init__(self) -> None:
        self._last_key = ""
        self._repeat_at_s = 0.0

    def allow(self, key: str, now_s: float) -> bool:
        """Return whether to write a line; if so, it counts as written at `now_s`.

        Args:
            key: Text that identifies the line; lines with equal keys count as repetitions.
            now_s: Monotonic time.
        """
        if key == self._last_key and now_s < self._repeat_at_s:
            return False
        self._last_key = key
        self._repeat_at_s = now_s + LOG_INTERVAL_S
        return True
