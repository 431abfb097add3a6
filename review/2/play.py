"""Case 2: a request that was refused is still delivered, and runs after its client's retry has run.

TROUBLE=0: no endpoint hangs.
"""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import sys
import termios
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from rig import HOST, RULE_SLACK_S, NotRunError, Record, Rig, main, read_message, request_bytes, settings

REQUEST_CLASS = "send-one"
WINDOW_S = 1.5  # for so long endpoints drop repeats; STANDING: "a shorter window for repeats"
EXPIRES_IN_MS = 1200  # BRIEF: 60 % of the 2 s after which a client gives up
BODY_BYTES = 60_000  # PROTOCOL: "Bodies hold at most 64 KiB"
RECEIVE_BUFFER_BYTES = 8192  # of a node's connections
FIRST_READ_BYTES = 1024
HANG_S = 3.0
CLIENT_BACKOFF_S = 0.1  # site file: 20 to 160 ms
SERVICE_S = 0.057  # BRIEF: 41 to 73 ms of work
NODES = 3
WARM_UP_REQUESTS = 3

CLASSES = [
    {
        "name": REQUEST_CLASS,
        "effect": "by_key",
        "target-ns": 400_000_000,
        "deadline-ns": 2_000_000_000,
        "dedup-scope": "all",
        "dedup-window-ns": int(WINDOW_S * 1e9),
        "late-worth": 0.0,
        "stream": False,
        "worth": 10.0,
    }
]


class Memory:
    """What all nodes remember of keyed requests: a repeat within the window does not run again."""

    def __init__(self, record: Record) -> None:
        self.runs: dict[str, list[float]] = {}
        self.next_hangs = False
        self.came_during_hang = False  # whether the whole request was at the node before the node went on
        self._record = record

    def run(self, node: str, key: str) -> None:
        """Run a request, unless its first run was within the window and PROTOCOL's 50 ms."""
        now_s = time.monotonic()
        runs = self.runs.setdefault(key, [])
        if runs and now_s <= runs[0] + WINDOW_S + RULE_SLACK_S:
            self._record.write(f"node {node} drops the repeat of {key}", now_s)
            return
        runs.append(now_s)
        self._record.write(
            f"node {node} RUNS {key}, {now_s - runs[0]:.3f} s after its first run, window {WINDOW_S} s", now_s
        )


class Node:
    """An endpoint with a small receive buffer. It begins a request when its last byte has come."""

    def __init__(self, name: str, memory: Memory, record: Record) -> None:
        self.name = name
        self.address = ""
        self._memory = memory
        self._record = record
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((HOST, 0))
        listener.setblocking(False)
        listener.listen(64)
        self.address = f"{HOST}:{listener.getsockname()[1]}"
        self._tasks.add(asyncio.ensure_future(self._accept(listener)))

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(listener)
            self._tasks.add(asyncio.ensure_future(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError, EOFError):
            while True:
                headers, body = await self._read_head(sock)
                trace_id = headers["x-trace-id"]
                body_bytes = int(headers["content-length"])
                if self._memory.next_hangs:
                    self._memory.next_hangs = False
                    await self._hang(sock, trace_id, body_bytes - len(body))
                while len(body) < body_bytes:
                    body += await self._receive(sock, 65536)
                self._record.write(f"node {self.name} has the last byte of {trace_id}")
                self._memory.run(self.name, headers["idempotency-key"])
                await asyncio.sleep(SERVICE_S)
                answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(trace_id)}\r\n\r\n{trace_id}"
                await loop.sock_sendall(sock, answer.encode())
        sock.close()

    async def _hang(self, sock: socket.socket, trace_id: str, missing_bytes: int) -> None:
        """Read nothing for a while, and note how much of the request has come to this machine by then."""
        self._record.write(
            f"node {self.name} HANGS for {HANG_S} s, {missing_bytes} bytes of {trace_id} missing"
        )
        await asyncio.sleep(HANG_S)
        waiting = array.array("i", [0])
        fcntl.ioctl(sock, termios.FIONREAD, waiting)
        self._memory.came_during_hang = waiting[0] >= missing_bytes
        self._record.write(f"node {self.name} goes on; {waiting[0]} of {missing_bytes} bytes had come")

    async def _read_head(self, sock: socket.socket) -> tuple[dict[str, str], bytes]:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self._receive(sock, FIRST_READ_BYTES)
        head, _, body = data.partition(b"\r\n\r\n")
        headers = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        self._record.write(
            f"node {self.name} begins to read {headers['x-trace-id']}"
            f" expires_in_ms={headers.get('x-expires-in-ms')}"
        )
        return headers, body

    @staticmethod
    async def _receive(sock: socket.socket, most_bytes: int) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(sock, most_bytes)
        if not data:
            raise EOFError
        return data


async def send(rig: Rig, trace_id: str, key: str) -> str:
    """Send one request on a connection of its own, and return the status of its answer."""
    reader, writer = await asyncio.open_connection(*rig.listen)
    writer.write(request_bytes(REQUEST_CLASS, trace_id, EXPIRES_IN_MS, b"x" * BODY_BYTES, key))
    rig.record.write(f"client sent {trace_id} with key {key}")
    try:
        start, _, _ = await asyncio.wait_for(read_message(reader), EXPIRES_IN_MS / 1000 + 1.0)
        status = start.split(" ")[1]
    except (OSError, EOFError, TimeoutError) as error:
        status = f"no answer ({type(error).__name__})"
    rig.record.write(f"client got {status} for {trace_id}")
    writer.close()
    return status


async def play(record: Record, trouble: bool) -> bool:
    """Play the case, and return whether the rule held."""
    rig = Rig(record)
    memory = Memory(record)
    nodes = [Node(f"s-{number}", memory, record) for number in range(NODES)]
    try:
        await rig.start(settings(classes=CLASSES), nodes)
        for number in range(WARM_UP_REQUESTS):
            await send(rig, f"w{number}", f"kw{number}")
        memory.next_hangs = trouble
        status = await send(rig, "q1", "k1")
        if status in ("429", "503"):  # WIRE: clients retry after a refusal; a retry has an id of its own
            await asyncio.sleep(CLIENT_BACKOFF_S)
            await send(rig, "q2", "k1")
        await asyncio.sleep(HANG_S + 1.0)
        rig.check_alive()
        runs = memory.runs.get("k1", [])
        record.write(f"k1 ran {len(runs)} times")
        if memory.came_during_hang:
            raise NotRunError("the whole request had come to the node before it hung")
        if not runs:
            raise NotRunError("no node ran the request")
        return len(runs) == 1
    finally:
        rig.close()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
