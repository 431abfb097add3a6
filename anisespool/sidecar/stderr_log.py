"""A replacement for standard error that never blocks the process."""

from __future__ import annotations

import select
from contextlib import suppress
from typing import TextIO

from anisespool.log import format_event

# A character takes up to four bytes, and a pipe that polls as writable takes PIPE_BUF bytes without blocking.
MAX_LINE_CHARACTERS = select.PIPE_BUF // 4


class NonBlockingStderr:
    """Replaces `sys.stderr`: writes whole lines, and drops lines that would block.

    Writes to a pipe with a closed read end fail, and a write to a full pipe that nobody reads would block the
    event loop. So failed writes are ignored, and a line that can't be written at once is dropped. The next
    line that can be written is preceded by the number of dropped lines.
    """

    def __init__(self, stream: TextIO | None) -> None:
        """Wrap `stream`, which is None if the process was started without standard error."""
        self._stream = stream
        self._unfinished_line = ""
        self._dropped_lines = 0
        self._poll: select.poll | None = None
        if stream:
            self._poll = select.poll()
            self._poll.register(stream.fileno(), select.POLLOUT)

    def write(self, text: str) -> int:
        """Write the complete lines, and keep the unfinished line for the next call."""
        *lines, unfinished = (self._unfinished_line + text).split("\n")
        for line in lines:
            self._write_or_drop(line)
        self._unfinished_line = unfinished[:MAX_LINE_CHARACTERS]
        return len(text)

    def flush(self) -> None:
        """Flush the stream; the unfinished line is kept."""
        if self._stream:
            with suppress(OSError):
                self._stream.flush()

    def _write_or_drop(self, line: str) -> None:
        if self._dropped_lines and self._is_writable():
            self._write_line(format_event("log_lines_dropped", count=self._dropped_lines))
            self._dropped_lines = 0
        if self._dropped_lines or not self._is_writable():
            self._dropped_lines += 1
        else:
            self._write_line(line)

    def _is_writable(self) -> bool:
        """Return whether a write does not block. A write to a closed pipe fails at once."""
        return not self._poll or bool(self._poll.poll(0))

    def _write_line(self, line: str) -> None:
        if self._stream:
            with suppress(OSError):
                self._stream.write(line[:MAX_LINE_CHARACTERS] + "\n")
