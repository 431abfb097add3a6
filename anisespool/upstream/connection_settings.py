"""Settings of the connections to all endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

from anisespool.buffer_budget import BufferBudget
from anisespool.input_scheduler import InputScheduler

READ_BYTES = 64 * 1024  # limit on one read


def _read_buffer() -> memoryview:
    return memoryview(bytearray(READ_BYTES))


@dataclass(slots=True)
class ConnectionSettings:
    """Settings that all pools share. The operator may change some of them at run time."""

    report_columns: tuple[str, ...]
    """Columns of an endpoint's load report, in the balancer's order."""
    connect_timeout_s: float
    """Time limit for establishing a connection, from its first packet."""
    idle_timeout_s: float
    """Time after which an idle connection is closed; shorter than the endpoint's keep-alive time."""
    reuse_delay_s: float
    """How long a connection stays idle after a response before it may carry the next request."""
    max_idle: int
    """Limit on idle connections for each endpoint."""
    budget: BufferBudget
    """What connections hold in memory, and its limit."""
    scheduler: InputScheduler
    """Shares the event loop between connections with input."""
    read_buffer: memoryview = field(default_factory=_read_buffer)
    """Buffer for the read of any connection, which takes its content at once."""
