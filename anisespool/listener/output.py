"""What a client has not read of the responses on its connection."""

from __future__ import annotations

import asyncio

from anisespool.buffer_budget import BufferBudget
from anisespool.codec.http1 import MAX_RESPONSE_BODY_BYTES

MAX_UNSENT_BYTES = MAX_RESPONSE_BODY_BYTES  # no request is started while more output is unsent


class UnsentOutput:
    """The write buffer of one connection.

    Attributes:
        exists: Whether part of a response is in the buffer. The transport tells by `pause_writing` and
            `resume_writing`, as its high-water mark is 0.
    """

    __slots__ = ("_budget", "_transport", "exists")

    def __init__(self, budget: BufferBudget) -> None:
        """Begin without a transport. `budget` is what connections hold in memory, and its limit."""
        self._budget = budget
        self._transport: asyncio.WriteTransport | None = None
        self.exists = False

    def attach(self, transport: asyncio.WriteTransport) -> None:
        """Use the write buffer of the connection's transport."""
        transport.set_write_buffer_limits(high=0)
        self._transport = transport

    @property
    def size_bytes(self) -> int:
        """Number of bytes in the buffer."""
        return self._transport.get_write_buffer_size() if self.exists and self._transport else 0

    @property
    def is_full(self) -> bool:
        """Whether the buffer holds so much that no further response may be added."""
        if not self.exists:
            return False
        return self.size_bytes > (0 if self._budget.is_tight else MAX_UNSENT_BYTES)
