"""A message while it is being received: headers, parts of the body and the checks on its framing."""

from __future__ import annotations

from dataclasses import dataclass, field

from anisespool.codec.http1.limits import CHUNKED_OVERHEAD_FACTOR, MAX_HEAD_BYTES

# A message that repeats one of these headers could be interpreted differently at the next hop, which allows
# request smuggling (RFC 9112, 11.2).
SINGLE_VALUE_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"host", b"x-trace-id", b"idempotency-key", b"x-expires-in-ms")
)


# The headers that delimit a message or say how its connection is used.
FRAMING_HEADERS = SINGLE_VALUE_HEADERS | {b"connection", b"expect"}


@dataclass(slots=True, eq=False)
class MessageBuffer:
    """Headers and body of one message while it is being received, with limits on their size.

    httptools buffers a header's name and value before it calls back. The limits therefore apply both to the
    bytes fed to it and to those that it returns. What is stored takes hardly more memory than the bytes that
    were received: of the headers only those that are read later are stored, as an object for each of
    thousands of short fields takes many times their bytes, and so do the pieces of a body.

    Attributes:
        max_body_bytes: Limit on the size of the body.
        header_names: Names of the headers that are stored besides `FRAMING_HEADERS`, in lower case.
        raw_bytes: Number of bytes fed to the parser for this message.
        in_head: Whether the head is incomplete.
        ambiguous: Whether another HTTP implementation could interpret the message differently.
    """

    max_body_bytes: int
    header_names: frozenset[bytes] = frozenset()
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    raw_bytes: int = 0
    head_bytes: int = 0
    stored_head_bytes: int = 0
    body_bytes: int = 0
    in_head: bool = True
    ambiguous: bool = False

    @property
    def too_large(self) -> bool:
        """Whether a limit is exceeded."""
        max_raw_bytes = MAX_HEAD_BYTES
        if not self.in_head:
            max_raw_bytes += CHUNKED_OVERHEAD_FACTOR * self.max_body_bytes
        return (
            self.body_bytes > self.max_body_bytes
            or self.head_bytes > MAX_HEAD_BYTES
            or self.raw_bytes > max_raw_bytes
        )

    @property
    def content_length(self) -> int:
        """Declared length of the body; 0 without one. httptools rejects a value that is no number."""
        declared = self.headers.get(b"content-length")
        return int(declared) if declared else 0

    @property
    def has_framing(self) -> bool:
        """Whether the headers delimit the body (RFC 9112, 6.3)."""
        return b"content-length" in self.headers or b"transfer-encoding" in self.headers

    @property
    def closes_connection(self) -> bool:
        """Whether the sender has announced that the connection closes after this message."""
        options = self.headers.get(b"connection", b"").lower().split(b",")
        return b"close" in (option.strip() for option in options)

    @property
    def stored_bytes(self) -> int:
        """Number of bytes that the message has in memory, besides a fixed amount."""
        return self.stored_head_bytes + len(self.body)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header or trailer. It counts towards the limit even if it is not stored."""
        name = name.lower()
        value = value or b""
        self.head_bytes += len(name) + len(value)
        if self.in_head and (name in FRAMING_HEADERS or name in self.header_names):
            if name not in self.headers:
                self.stored_head_bytes += len(name) + len(value)
                # Whitespace around a value is no part of it (RFC 9110, 5.5). httptools removes only what is
                # before it. The value that frames the message stays as the parser saw it.
                self.headers[name] = value if name == b"transfer-encoding" else value.rstrip(b" \t")
            elif name in SINGLE_VALUE_HEADERS:
                self.ambiguous = True

    def add_body(self, data: bytes) -> None:
        """Add a part of the body. Beyond the limit it is counted but not stored."""
        self.body_bytes += len(data)
        if self.body_bytes <= self.max_body_bytes:
            self.body += data

    def end_head(self) -> None:
        """Mark the head as complete, and the message as ambiguous if its framing headers are."""
        self.in_head = False
        encoding = self.headers.get(b"transfer-encoding")
        if encoding is not None and (encoding.lower() != b"chunked" or b"content-length" in self.headers):
            self.ambiguous = True
