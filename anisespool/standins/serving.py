"""Endpoints with slots and a queue, behind a discovery, in a process of their own.

`python -m anisespool.standins.serving ENDPOINTS SLOTS SERVICE_MS SEED [SLOW]` prints the member list as one
line of JSON, discovery's address in it, serves until its input ends, then prints how many requests ran and
how many unsafe ones (trace ids that begin with "o") ran twice. SLOW is the number of endpoints
that take five times as long.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter, deque
from functools import partial
from random import Random
from typing import Any

REPORT_S = (0.37, 1.4)  # how long a load report is repeated before it is measured anew
QUEUE = 400  # requests that wait at an endpoint; more are turned away, never run


class Node:
    """One endpoint: `slots` requests at a time, the others wait in turn."""

    def __init__(self, slots: int, service_s: float, random: Random, ran: Counter[str]) -> None:
        self.slots, self.service_s, self.random, self.ran = slots, service_s, random, ran
        self.busy, self.waiting = 0, deque[tuple[Link, str]]()
        self.report, self.report_until = (0, 0), 0.0

    def take(self, link: Link, trace: str) -> None:
        if len(self.waiting) >= QUEUE:
            link.answer(b"503 Service Unavailable", b"X-Never-Ran: 1\r\n")
        else:
            self.waiting.append((link, trace))
            self._start()

    def _start(self) -> None:
        while self.waiting and self.busy < self.slots:
            link, trace = self.waiting.popleft()
            if link.gone:
                continue
            self.busy += 1
            self.ran[trace] += 1
            asyncio.get_running_loop().call_later(self.service_s, self._done, link)

    def _done(self, link: Link) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self.report_until:
            self.report = len(self.waiting), self.busy + len(self.waiting)  # this one is still held
            self.report_until = now + self.random.uniform(*REPORT_S)
        self.busy -= 1
        queue, inflight = self.report
        link.answer(b"200 OK", b"Endpoint-Load-Metrics: TEXT queue=%d, inflight=%d\r\n" % (queue, inflight))
        self._start()


class Link(asyncio.Protocol):
    """A sidecar's connection: one request at a time."""

    def __init__(self, node: Node) -> None:
        self.node, self.data, self.gone = node, b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, rest = self.data.partition(b"\r\n\r\n")
        fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
        if not end or len(rest) < int(fields.get(b"content-length", b"0")):
            return
        self.data = b""
        self.node.take(self, fields[b"x-trace-id"].decode())

    def answer(self, status: bytes, headers: bytes) -> None:
        if not self.gone:
            self.transport.write(b"HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\nok" % (status, headers))


async def _discover(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A watch that stays open, and a list that never changes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    try:
        while not writer.is_closing():
            writer.write(b"1\r\n\n\r\n")
            await asyncio.sleep(2)
    except (OSError, asyncio.CancelledError):
        writer.transport.abort()


async def serve(endpoints: int, slots: int, service_s: float, seed: int, slow: int) -> Counter[str]:
    loop, random, ran = asyncio.get_running_loop(), Random(seed), Counter[str]()
    members: list[dict[str, Any]] = []
    for n in range(endpoints):
        node = Node(slots, service_s * (5 if n < slow else 1), random, ran)
        server = await loop.create_server(partial(Link, node), "127.0.0.1", 0, backlog=1024)
        port = server.sockets[0].getsockname()[1]
        members.append(
            {
                "id": f"e{n}",
                "host_port": f"127.0.0.1:{port}",
                "locality": "east",
                "flavor": "m1",
                "cell": 0,
                "phase": "up",
                "size": 1.0,
                "up_since_ms": 0,
            }
        )
    discovery = await asyncio.start_server(_discover, "127.0.0.1", 0)
    port = discovery.sockets[0].getsockname()[1]
    print(json.dumps({"discovery": f"127.0.0.1:{port}", "members": members}), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    return ran


if __name__ == "__main__":
    count, width, service_ms, seed, slow = [*sys.argv[1:], "0"][:5]
    ran = asyncio.run(serve(int(count), int(width), float(service_ms) / 1000, int(seed), int(slow)))
    twice = sum(times > 1 for trace, times in ran.items() if trace[0] == "o")
    print(json.dumps({"requests": len(ran), "twice": twice}))
