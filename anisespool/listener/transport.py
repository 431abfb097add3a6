"""Helpers for the transport of a client connection: socket events and encoded responses."""

from __future__ import annotations

import asyncio
import select

from anisespool.codec import http1
from anisespool.proxy.call import FinalResponse

# Reported by poll() even while received bytes are unread.
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def poll_now(transport: asyncio.Transport | None, events: int) -> bool:
    """Whether an open transport's socket has one of these poll events now. Does not wait."""
    if not transport or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return any(reported & events for _, reported in poll.poll(0))


def end_output(transport: asyncio.Transport) -> None:
    """End the output of a connection; abort it if its client has closed it and reset what was written."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()


def encode_final_response(response: FinalResponse, close: bool) -> bytes:
    """Encode a response, with `Connection: close` if the connection closes after it."""
    return http1.encode_response(response.status, response.body, response.retry_after_s, close)
