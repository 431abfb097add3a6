"""Case 2: a sidecar with 3,200 endpoints, six in ten of them replaced within 7 s, stops answering.

TROUBLE=0: the same endpoints and traffic, and none is replaced.
"""

from __future__ import annotations

import asyncio
import os
import random
import resource
import socket
import sys
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from rig import HOST, RULE_SLACK_S, NotRunError, Record, Rig, main, read_message, request_bytes, settings

ENDPOINTS = int(os.environ.get("ENDPOINTS", "3200"))  # STANDING: "3,200 at most"
REPLACED_SHARE = 0.6  # STANDING, `join+mass`: "six in ten endpoints are replaced within 7 s"
REPLACED_WITHIN_S = 7.0
BEFORE_S = 2.0
AFTER_S = 7.0
REQUESTS_PER_S = 20.0
LOST_AFTER_S = 0.5  # STANDING: "Up to half a second after its time it only earns nothing; later [...] lost"
DRAIN_GRACE_S = 0.25 + RULE_SLACK_S  # BRIEF: 250 ms
MOST_LATE_S = 0.05  # a rig that was later than this proves nothing
SPARE_DESCRIPTORS = 600
# Request class: share, work in s, time that the client gives a try (BRIEF: 40 to 80 % of the deadline).
TRAFFIC = {
    "token-lookup": (0.38, 0.036, 600),
    "send-one": (0.35, 0.057, 1200),
    "send-segment": (0.27, 0.185, 1800),
}


class Node:
    """An endpoint: its listener is served by the loop of all nodes."""

    def __init__(self, name: str, nodes: Nodes) -> None:
        self.name = name
        self.address = ""
        self.draining_told_s = 0.0
        self._nodes = nodes
        self._listener = socket.socket()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener.bind((HOST, 0))
        self._listener.setblocking(False)
        self._listener.listen(16)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        with suppress(OSError):
            sock, _ = self._listener.accept()
            sock.setblocking(False)
            self._nodes.start(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        with suppress(OSError, EOFError):
            while True:
                start, headers, _ = await read_message(reader)
                now_s = time.monotonic()
                self._nodes.on_request(self, headers["x-trace-id"], now_s)
                await asyncio.sleep(TRAFFIC[start.split("/")[1]][1])
                body = headers["x-trace-id"].encode()
                head = "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=0, inflight=1\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        writer.close()


class Nodes:
    """All endpoints, and what they got after they had been told to drain."""

    def __init__(self, record: Record) -> None:
        self.late_sends = 0
        self.requests = 0
        self._record = record
        self._tasks: set[asyncio.Future[None]] = set()

    def start(self, connection: Coroutine[Any, Any, None]) -> None:
        """Serve a connection."""
        task: asyncio.Future[None] = asyncio.ensure_future(connection)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_request(self, node: Node, trace_id: str, now_s: float) -> None:
        """Note a request; one that comes to a draining endpoint after the grace breaks another rule."""
        self.requests += 1
        if node.draining_told_s and now_s > node.draining_told_s + DRAIN_GRACE_S:
            self.late_sends += 1
            self._record.write(
                f"SENT {trace_id} to {node.name}, told to drain {now_s - node.draining_told_s:.3f} s before",
                now_s,
            )


class Traffic:
    """An open-loop client: each request is sent when it is due, on a kept or a new connection."""

    def __init__(self, rig: Rig) -> None:
        self.sent = 0
        self.lost = 0
        self.late_s = 0.0
        self._rig = rig
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Future[None]] = set()

    async def run(self, until_s: float) -> None:
        """Send until then, and wait for the last answers."""
        due_s = time.monotonic()
        while due_s < until_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self.late_s = max(self.late_s, time.monotonic() - due_s)
            name = random.choices(list(TRAFFIC), [share for share, _, _ in TRAFFIC.values()])[0]
            self.sent += 1
            self._tasks.add(asyncio.ensure_future(self._send(name, f"{self.sent:016x}")))
            due_s += random.expovariate(REQUESTS_PER_S)
        await asyncio.wait(self._tasks)

    async def _send(self, name: str, trace_id: str) -> None:
        expires_in_ms = TRAFFIC[name][2]
        data = request_bytes(name, trace_id, expires_in_ms, b"x" * 212)
        status = "nothing"
        sent_s = time.monotonic()
        try:
            reader, writer = (
                self._idle.pop() if self._idle else await asyncio.open_connection(*self._rig.listen)
            )
            writer.write(data)
            sent_s = time.monotonic()
            last_moment_s = expires_in_ms / 1000 + LOST_AFTER_S + RULE_SLACK_S
            start, headers, _ = await asyncio.wait_for(read_message(reader), last_moment_s)
            status = start.split(" ")[1]
            if headers.get("connection") == "close":
                writer.close()
            else:
                self._idle.append((reader, writer))
        except TimeoutError:
            self.lost += 1
            writer.close()
            self._rig.record.write(
                f"LOST {trace_id} {name}: no answer {last_moment_s:.2f} s after it was sent, it had"
                f" {expires_in_ms / 1000:.1f} s"
            )
        except (OSError, EOFError) as error:
            status = type(error).__name__
        self._rig.record.write(f"client got {status} for {trace_id} after {time.monotonic() - sent_s:.3f} s")


async def replace(rig: Rig, nodes: list[Node], fresh: list[Node]) -> float:
    """Let each of `nodes` drain and a fresh one join in its place, one change a line; return the lateness."""
    late_s = 0.0
    start_s = time.monotonic()
    for number, (old, new) in enumerate(zip(nodes, fresh, strict=True)):
        due_s = start_s + REPLACED_WITHIN_S * number / len(nodes)
        if due_s > time.monotonic():
            await asyncio.sleep(due_s - time.monotonic())
        late_s = max(late_s, time.monotonic() - due_s)
        rig.discovery.change(rig.discovery.members[old.name] | {"phase": "draining"})
        old.draining_told_s = time.monotonic()
        rig.discovery.add(new, number)
        up_since = {"up_since_ms": int(time.time() * 1000)}
        rig.discovery.change(rig.discovery.members[new.name] | up_since)
    return late_s


async def play(record: Record, trouble: bool) -> bool:
    """Play the case, and return whether the rule held."""
    replaced = int(ENDPOINTS * REPLACED_SHARE)
    wanted = ENDPOINTS + replaced + SPARE_DESCRIPTORS
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise NotRunError(f"{wanted} descriptors are needed, at most {hard} allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    rig = Rig(record)
    all_nodes = Nodes(record)
    nodes = [Node(f"s-{number}", all_nodes) for number in range(ENDPOINTS)]
    fresh = [Node(f"f-{number}", all_nodes) for number in range(replaced)]
    try:
        for node in fresh:
            await node.start()
        await rig.start(settings(), nodes)
        traffic = Traffic(rig)
        end_s = time.monotonic() + BEFORE_S + REPLACED_WITHIN_S + AFTER_S
        run = asyncio.ensure_future(traffic.run(end_s))
        await asyncio.sleep(BEFORE_S)
        late_s = await replace(rig, random.sample(nodes, replaced), fresh) if trouble else 0.0
        await run
        rig.check_alive()
        rig_late_s = max(late_s, traffic.late_s)
        record.write(
            f"{traffic.sent} sent, {traffic.lost} lost; {all_nodes.requests} attempts, {all_nodes.late_sends}"
            f" to draining endpoints after the grace; the rig was late by {rig_late_s:.3f} s"
        )
        if rig_late_s > MOST_LATE_S:
            raise NotRunError("the rig itself was late")
        return not traffic.lost and not all_nodes.late_sends
    finally:
        rig.close()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
