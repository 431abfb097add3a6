"""A client that sends the raw bytes of its requests to a sidecar."""

from __future__ import annotations

import asyncio
import itertools

from anisespool.config.platform import Address
from anisespool.fakes import http1
from tests.harness.waiting import POLL_INTERVAL_S

HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\n\r\n"
DEADLINE_TOLERANCE_S = 0.07
"""Time after a deadline that the rules still allow on sockets."""
_request_numbers = itertools.count(1)


def new_trace_id() -> str:
    """Return an id that no other request has, as the platform's protocol wants."""
    return f"request-{next(_request_numbers)}"


def request_bytes(
    request_class: str = "look",
    trace_id: str = "t1",
    left_ms: int = 2000,
    body: bytes = b"",
    headers: str = "",
) -> bytes:
    """Return the bytes of one request of a class, with `left_ms` until its deadline."""
    method = "GET" if request_class == "look" else "POST"
    head = f"{method} /{request_class}/00ab?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace_id}\r\n"
    head += f"X-Customer: acme\r\nX-Expires-In-Ms: {left_ms}\r\n{headers}"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def send_request(address: Address, request: bytes) -> http1.Response:
    """Send one request on a new connection, and return the response."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await http1.read_response(reader)
    finally:
        writer.close()


async def wait_until_health(address: Address, status: int) -> None:
    """Wait until the sidecar's health check returns `status`."""
    while (await send_request(address, HEALTH_CHECK)).status != status:
        await asyncio.sleep(POLL_INTERVAL_S)
