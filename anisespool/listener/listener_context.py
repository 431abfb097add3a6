"""Interface of the listener, as used by the client connections that it accepted.

The interface has its own module because `Server` imports `ClientConnection`, which uses this interface.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from anisespool.balancer import Settings
from anisespool.buffer_budget import BufferBudget
from anisespool.codec import http1
from anisespool.config.platform import NameIndex
from anisespool.input_scheduler import InputScheduler
from anisespool.loop_delay import LoopDelay
from anisespool.proxy.call import FinalResponse
from anisespool.proxy.proxy import Proxy

RejectionCallback = Callable[[FinalResponse, http1.Request | None], None]
"""Called with a response that the listener itself produced, and with the request if one was parsed."""


class ListenerContext(Protocol):
    """State shared by all connections of one listener.

    Attributes:
        proxy: Handles valid requests.
        names: Request classes and tenants by name.
        settings: The platform's settings.
        stopping: Whether a graceful shutdown has begun, during which connections close after their response.
        idle_timeout_s: Idle time after which a connection that has sent a request is closed.
        open_trace_ids: Trace ids of the open requests.
        on_reject: Called with each response that the listener itself produces; None if not needed.
        loop_delay: The delay of the event loop.
        budget: What connections hold in memory, and its limit.
        scheduler: Shares the event loop between connections with input.
        read_buffer: The buffer of the read in progress.
    """

    proxy: Proxy
    names: NameIndex
    settings: Settings
    stopping: bool
    idle_timeout_s: float
    open_trace_ids: set[bytes]
    on_reject: RejectionCallback | None
    loop_delay: LoopDelay
    budget: BufferBudget
    scheduler: InputScheduler
    read_buffer: memoryview

    def timeout_ns_of(self, request: http1.Request) -> int | None:
        """Return how long the client of a request waits for its response; None without a limit."""

    def may_read_late(self, now_ns: int) -> bool:
        """Return whether input that is read now may have arrived a while ago, as others came first."""
