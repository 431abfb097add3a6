"""What a client connection needs of the listener that accepted it.

An interface in a module of its own: `Server` creates the connections.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from anisespool.balancer import Settings
from anisespool.codec import http1
from anisespool.config.platform import NameIndex
from anisespool.proxy.call import FinalResponse
from anisespool.proxy.proxy import Proxy

RejectionCallback = Callable[[FinalResponse, http1.Request | None], None]
"""Called with a response that the listener gives itself, and with the request, if one was parsed."""


class ListenerContext(Protocol):
    """State that all connections of one listener share.

    Attributes:
        proxy: Carries out valid requests.
        names: Request classes and tenants by name.
        settings: The platform's settings.
        stopping: Whether a graceful shutdown has begun; connections close with their response.
        idle_timeout_s: After which an idle connection that was used before is closed.
        open_trace_ids: Trace ids of the open requests.
        on_reject: Called with each response that the listener gives itself; None: not needed.
    """

    proxy: Proxy
    names: NameIndex
    settings: Settings
    stopping: bool
    idle_timeout_s: float
    open_trace_ids: set[bytes]
    on_reject: RejectionCallback | None
