"""Harness for a cluster with one endpoint, and handlers of endpoints that misbehave."""

from __future__ import annotations

import asyncio
from time import monotonic_ns

from anisespool.codec.http1 import Request
from anisespool.config.platform import Address
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.cluster import Cluster
from tests.harness.waiting import wait_until
from tests.support import MS, SECOND

GET = Request(b"GET", b"/look/1?q=2", {b"x-trace-id": b"t9", b"x-other": b"no"}, b"", True)


def http_response(status: str, headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n".encode()


class ClusterHarness:
    """A cluster with one endpoint, number 1, and the attempts that have finished."""

    def __init__(
        self,
        address: Address,
        keepalive_ns: int = 10 * SECOND,
        max_connections: int = 16,
        reuse_delay_s: float = 0.0,
    ) -> None:
        self.cluster = Cluster(("queue", "inflight"), 200 * MS, keepalive_ns, max_connections, reuse_delay_s)
        self.cluster.update(1, address, 0, True)
        self.finished: list[Attempt] = []

    def send(self, request: Request = GET, timeout_ns: int = 2 * SECOND, endpoint: int = 1) -> Attempt:
        deadline_ns = monotonic_ns() + timeout_ns
        attempt = Attempt(1, 0, endpoint, request, deadline_ns, self.finished.append, lambda attempt: None)
        self.cluster.send(attempt)
        return attempt

    async def send_and_wait(self, request: Request = GET, timeout_ns: int = 2 * SECOND) -> Attempt:
        attempt = self.send(request, timeout_ns)
        await wait_until(lambda: attempt.status is not None)
        return attempt


async def close_immediately(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
