"""Splits a stream into syslog messages (RFC 6587), by octet counting or by newlines."""

from __future__ import annotations

from anisespool.fakes.syslog.parser import ERROR_EXCERPT_BYTES, SyslogError

MAX_LENGTH_DIGITS = 9


class FrameDecoder:
    """Splits the octets of one connection into frames.

    Attributes:
        incomplete: Octets of a frame that is not complete yet; at the end of the stream they are no message.
    """

    def __init__(self, is_octet_counted: bool) -> None:
        """Create a decoder of frames with octet counting, or otherwise of frames that end with a newline."""
        self.incomplete = b""
        self._next_frame = self._next_counted if is_octet_counted else self._next_line

    def feed(self, data: bytes) -> list[bytes]:
        """Add octets, and return the messages that they complete.

        Raises:
            SyslogError: A length is not a valid MSG-LEN (RFC 6587, 3.4.1).
        """
        self.incomplete += data
        frames = []
        while (frame := self._next_frame()) is not None:
            frames.append(frame)
        return frames

    def _next_line(self) -> bytes | None:
        frame, newline, following = self.incomplete.partition(b"\n")
        if not newline:
            return None
        self.incomplete = following
        return frame

    def _next_counted(self) -> bytes | None:
        digits, space, following = self.incomplete.partition(b" ")
        if not space and len(digits) <= MAX_LENGTH_DIGITS:
            if digits and not digits.isdigit():
                raise _invalid_length(digits)
            return None
        if not digits.isdigit() or digits.startswith(b"0") or len(digits) > MAX_LENGTH_DIGITS:
            raise _invalid_length(digits)
        size = int(digits)
        if len(following) < size:
            return None
        self.incomplete = following[size:]
        return following[:size]


def _invalid_length(digits: bytes) -> SyslogError:
    return SyslogError(f"found {digits[:ERROR_EXCERPT_BYTES]!r}, wanted MSG-LEN")
