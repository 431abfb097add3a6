"""A limit on what all connections of a process together hold in memory: input and output in progress.

Each connection has limits of its own, but hundreds of them within their limits can use up the memory that the
platform allows. Holders report their bytes to one budget, and whoever would add to an exceeded one gives
something up instead. Pure: no I/O and no clock.
"""

from __future__ import annotations

# An input of this size is accepted whatever others hold, so that small requests are served at any time.
SMALL_BYTES = 8 * 1024

RESERVED_BYTES = 40_000_000  # interpreter, modules, endpoint list, and connections without their data
BUDGET_SHARE = 1 / 3  # of the memory beyond it; the rest is for copies and the allocator's fragmentation
MIN_LIMIT_BYTES = 4_000_000
MAX_LIMIT_BYTES = 64_000_000


class BufferBudget:
    """The bytes that connections hold, and their limit.

    Attributes:
        limit_bytes: Above it, holders give something up.
        used_bytes: What all holders have reported.
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget of which nothing is used."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @classmethod
    def for_memory(cls, memory_bytes: int) -> BufferBudget:
        """Create the budget of a process that may use `memory_bytes` in all."""
        limit_bytes = int((memory_bytes - RESERVED_BYTES) * BUDGET_SHARE)
        return cls(max(MIN_LIMIT_BYTES, min(limit_bytes, MAX_LIMIT_BYTES)))

    @property
    def is_exceeded(self) -> bool:
        """Whether holders have to give something up."""
        return self.used_bytes > self.limit_bytes

    @property
    def is_tight(self) -> bool:
        """Whether more than half is used, so that nobody should hold more than necessary."""
        return 2 * self.used_bytes > self.limit_bytes

    def has_room(self, size_bytes: int) -> bool:
        """Return whether so many bytes more would not exceed the limit."""
        return self.used_bytes + size_bytes <= self.limit_bytes


class BufferHolder:
    """What one connection holds."""

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        """Begin with nothing."""
        self._budget = budget
        self._bytes = 0

    def hold(self, size_bytes: int) -> None:
        """Report how many bytes the connection holds now."""
        self._budget.used_bytes += size_bytes - self._bytes
        self._bytes = size_bytes
