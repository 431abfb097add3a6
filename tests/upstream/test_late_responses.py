"""A second response that an endpoint writes some milliseconds after the first is nobody's response."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from anisespool.balancer.interface import AttemptStatus
from anisespool.config.platform import Address
from anisespool.upstream.cluster import REUSE_DELAY_S
from tests.upstream.harness import ClusterHarness

EXCHANGES = 6
"""Exchanges on a connection, the last with a second response; the kernel delays acknowledgements by then."""
SECOND_RESPONSE_DELAY_S = 0.005
MAX_REQUEST_BYTES = 4096


@asynccontextmanager
async def numbering_endpoint() -> AsyncIterator[tuple[Address, list[bytes]]]:
    """Respond to each request with its number, and a second time to the last of EXCHANGES.

    Its small writes are held back until the one before is acknowledged (Nagle's algorithm), as the system
    does by default. The list has the responses in the order in which they were first written.
    """
    loop = asyncio.get_running_loop()
    responses: list[bytes] = []
    tasks: set[asyncio.Task[None]] = set()

    async def serve(connection: socket.socket) -> None:
        with connection, suppress(ConnectionError):
            while await loop.sock_recv(connection, MAX_REQUEST_BYTES):
                body = b"%d" % len(responses)
                response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                responses.append(body)
                await loop.sock_sendall(connection, response)
                if len(responses) == EXCHANGES:
                    await asyncio.sleep(SECOND_RESPONSE_DELAY_S)
                    await loop.sock_sendall(connection, response)

    async def accept(listener: socket.socket) -> None:
        while True:
            connection, _ = await loop.sock_accept(listener)
            tasks.add(asyncio.create_task(serve(connection)))

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        tasks.add(asyncio.create_task(accept(listener)))
        yield Address(*listener.getsockname()), responses
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_late_second_response_is_not_read_as_the_response_to_the_next_request() -> None:
    """A delayed acknowledgement held it back until the next request, whose client then got it."""
    async with numbering_endpoint() as (address, responses):
        harness = ClusterHarness(address, reuse_delay_s=REUSE_DELAY_S)
        for number in range(EXCHANGES + 1):
            attempt = await harness.send_and_wait()
            assert attempt.status is AttemptStatus.OK
            assert attempt.response
            assert attempt.response.body == b"%d" % number
            await asyncio.sleep(REUSE_DELAY_S + 0.002)
        assert len(responses) == EXCHANGES + 1
