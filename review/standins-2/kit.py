"""Stand-ins for the cases 6 to 10: agents of discovery, endpoints, clients, and the processes under test.

Written from the platform's pages, with the standard library alone. All addresses are loopback addresses. The
stand-ins live in the process of the script; each sidecar is a process of its own, started by the command
`run` of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
MS = 1_000_000
ZONE = "surquillo"
# PROTOCOL, "The rules on sockets": the figures of the settings hold, and each time limit is 50 ms longer.
SOCKET_SLACK_S = 0.05
DRAIN_GRACE_S = 0.25
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Entry = dict[str, Any]


class Classes:
    """The request classes of the site, with the mean work of a request in ms on a standard core."""

    SHARES: ClassVar[dict[str, float]] = {"token-lookup": 0.38, "send-one": 0.35, "send-segment": 0.27}
    WORK_MS: ClassVar[dict[str, float]] = {"token-lookup": 36.0, "send-one": 57.0, "send-segment": 185.0}
    DEADLINE_MS: ClassVar[dict[str, int]] = {"token-lookup": 1000, "send-one": 2000, "send-segment": 3000}
    TARGET_MS: ClassVar[dict[str, int]] = {"token-lookup": 400, "send-one": 400, "send-segment": 1200}
    EFFECT: ClassVar[dict[str, str]] = {
        "token-lookup": "repeatable",
        "send-one": "once",
        "send-segment": "once",
    }

    @classmethod
    def mean_work_ms(cls) -> float:
        """Return the mean work over the mix of classes."""
        return sum(cls.SHARES[name] * cls.WORK_MS[name] for name in cls.SHARES)


def settings(fleet_size: int, index: int) -> Entry:
    """Return the settings of one sidecar of the site `lima-avisos`, by the example on the page WIRE."""
    shares = {"tiendas-sol": 0.45, "banco-andes-sur": 0.21, "movil-inca": 0.18, "farmacia-vida": 0.16}
    return {
        "allowed": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 200 * MS,
            "cpu-us-per-s": 8000,
            "keepalive-ns": 30_000 * MS,
            "max-open": 20000,
            "max-retry-after-ns": 1500 * MS,
            "may-duplicate": True,
            "peers": False,
            "probes": False,
            "retry-after": True,
            "streams-per-conn": 1,
        },
        "callers": {"marks-retry": False},
        "discovery": "push",
        "family": "mesh",
        "family-info": {"warm-keys": False},
        "fleet-size": fleet_size,
        "goal": {"whole": 0.45, "worst-class": 0.3, "worst-tenant": 0.1, "worst-window": 0.15},
        "guarantees": {
            "answer-slack-ns": 20 * MS,
            "ask-within-ns": 10_000 * MS,
            "cold-ns": 23_000 * MS,
            "drain-grace-ns": int(DRAIN_GRACE_S * 1e9),
            "fall-multiple": 3.0,
            "fall-ns": 1500 * MS,
            "start-capacity": 0.15,
        },
        "layer": 0,
        "over-share-worth": 0.1,
        "prices": {"cross-zone": 0.12, "late-fail": 0.05, "waste": 0.02},
        "report": {"columns": ["queue", "inflight"], "how": "piggyback"},
        "request-classes": [
            {
                "deadline-ns": Classes.DEADLINE_MS[name] * MS,
                "dedup-scope": "all",
                "dedup-window-ns": 5000 * MS,
                "effect": Classes.EFFECT[name],
                "late-worth": 0.0,
                "name": name,
                "stream": False,
                "target-ns": Classes.TARGET_MS[name] * MS,
                "worth": worth,
            }
            for name, worth in (("token-lookup", 2.0), ("send-one", 10.0), ("send-segment", 8.0))
        ],
        "resolution-ns": 5 * MS,
        "self-index": index,
        "skus": ["fast-3c", "std-3c", "slow-4c"],
        "tenants": [
            {"name": name, "quota-per-s": 380.0 * share, "share": share} for name, share in shares.items()
        ],
        "tiers": ["push-api"],
        "weight-kind": "nominal",
        "worth-by": "request",
        "zone": 0,
        "zones": [ZONE, "ate", "callao"],
    }


class Record:
    """What was sent, answered and run; written to `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record; times are in seconds from now on."""
        self.path = folder / "record.txt"
        self.started_s = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def add(self, what: str, **fields: object) -> None:
        """Add a line with the present time."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():8.3f} {what} {text}".rstrip())

    def say(self, text: str) -> None:
        """Add a line of the result and print it."""
        self.lines.append(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def entry(endpoint: Endpoint, phase: str = "up") -> Entry:
    """Return an endpoint's entry in the list."""
    return {
        "id": endpoint.name,
        "host_port": f"{LOOPBACK}:{endpoint.port}",
        "locality": ZONE,
        "flavor": endpoint.flavor,
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": endpoint.up_since_ms,
    }


class Agent:
    """The agent on one sidecar's machine, at which lists are pushed.

    It answers at once with what it has been sent, and is silent while discovery is down.

    Attributes:
        revision: Revision of the latest change that it has been sent.
        silent: Whether discovery is down.
        told_at: Time of the first write of each revision to the sidecar, by `Record.now`.
    """

    def __init__(self, name: str, record: Record, entries: list[Entry], revision: int = 1) -> None:
        """Begin with the whole list as of `revision`."""
        self.name = name
        self.revision = revision
        self.silent = False
        self.told_at: dict[int, float] = {}
        self.port = 0
        self._record = record
        self._members = {one["id"]: one for one in entries}
        self._changes: list[tuple[int, Entry]] = []
        self._first_revision = revision
        self._watches: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all watches."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def receive(self, revision: int, changed: Entry) -> None:
        """Take a change from discovery and pass it on to the open watches."""
        self.revision = revision
        if changed["phase"] == "removed":
            self._members.pop(changed["id"], None)
        else:
            self._members[changed["id"]] = changed
        self._changes.append((revision, changed))
        self._record.add("list", agent=self.name, revision=revision, id=changed["id"], phase=changed["phase"])
        for watch in list(self._watches):
            self._write(watch, self._document([changed], complete=False))

    def end_watches(self) -> None:
        """End all open watches in order, as a service does that restarts."""
        for watch in list(self._watches):
            watch.write(b"0\r\n\r\n")
            watch.close()
        self._watches.clear()

    def replace_list(self, revision: int, entries: list[Entry]) -> None:
        """Take a whole list from discovery, without telling the open watches."""
        self.revision = self._first_revision = revision
        self._members = {one["id"]: one for one in entries}
        self._changes.clear()
        self._record.add("list", agent=self.name, revision=revision, whole=len(entries))

    def go_down(self) -> None:
        """Discovery goes down: say nothing more, and learn nothing."""
        self.silent = True
        self._resumed.clear()

    def come_back(self) -> None:
        """Discovery is back."""
        self.silent = False
        self._resumed.set()

    def _document(self, members: list[Entry], complete: bool) -> Entry:
        return {"revision": self.revision, "complete": complete, "members": members}

    def _write(self, writer: asyncio.StreamWriter, document: Entry | None) -> None:
        if writer.is_closing():
            return
        line = (json.dumps(document) if document else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        if document:
            self.told_at.setdefault(self.revision, self._record.now())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            index = int(head.split(b"index=")[1].split(b" ")[0].split(b"&")[0])
            await self._resumed.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if index < self._first_revision or index > self.revision:
                members = list(self._members.values())
                self._record.add("list", agent=self.name, revision=self.revision, whole=len(members))
                self._write(writer, self._document(members, complete=True))
            else:
                changed = [one for revision, one in self._changes if revision > index]
                self._record.add("list", agent=self.name, revision=self.revision, changes=len(changed))
                self._write(writer, self._document(changed, complete=False))
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                if not self.silent:
                    self._write(writer, None)
        self._watches.discard(writer)
        self._writers.discard(writer)
        writer.close()


class Work:
    """The requests that one process of an endpoint holds."""

    def __init__(self, cores: int) -> None:
        """Begin with none."""
        self.slots = asyncio.Semaphore(cores)
        self.waiting = 0
        self.running = 0


class Endpoint:
    """An endpoint: cores with one slot each, a waiting room, load reports, and a cold start.

    Attributes:
        arrivals: Time and request class of each request, at its last byte.
        phase: `up` or `draining`; a draining one turns requests away unseen.
        up_since_ms: Start of its process as the list has it; 0 for long ago.
    """

    START_CAPACITY = 0.15
    WARM_AFTER_S = 22.0
    REPORT_S = 0.6

    def __init__(
        self, name: str, record: Record, flavor: str, cores: int, speed: float, room: int = 40
    ) -> None:
        """Create an endpoint that does not listen yet."""
        self.name = name
        self.flavor = flavor
        self.cores = cores
        self.speed = speed
        self.arrivals: list[tuple[float, str]] = []
        self.phase = "up"
        self.port = 0
        self.up_since_ms = 0
        self._cold_since_s = -1.0
        self._record = record
        self._room = room
        self._work = Work(cores)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._report = b"TEXT inflight=0, queue=0"
        self._reported_s = 0.0

    async def start(self) -> None:
        """Listen, on the same port as before if it has been started before."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Die as a process does: connections are reset, and new ones refused."""
        assert self._server
        self._server.close()
        for writer in list(self._connections):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        self._connections.clear()
        self._work = Work(self.cores)

    async def restart(self, down_s: float) -> None:
        """Die, and start again cold after a while."""
        self.die()
        await asyncio.sleep(down_s)
        await self.start_cold()

    async def start_cold(self) -> None:
        """Start now, cold, and with a start that the list tells."""
        await self.start()
        self._cold_since_s = self._record.now()
        self.up_since_ms = time.time_ns() // MS
        self._record.add("restart", endpoint=self.name)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def capacity_share(self) -> float:
        """Return the share of its capacity that it has now."""
        if self._cold_since_s < 0:
            return 1.0
        age_s = self._record.now() - self._cold_since_s
        return min(1.0, self.START_CAPACITY + (1 - self.START_CAPACITY) * age_s / self.WARM_AFTER_S)

    def arrived_between(self, start_s: float, end_s: float) -> int:
        """Return how many requests arrived in a time."""
        return sum(start_s < at_s < end_s for at_s, _ in self.arrivals)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = _fields(head)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self._answer(head.split(b" ")[1].decode(), fields, body, writer)
        self._connections.discard(writer)
        writer.close()

    async def _answer(
        self, path: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_class = path.split("/")[1]
        trace_id = fields.get("x-trace-id", "")
        if not trace_id or request_class not in Classes.WORK_MS:
            self._write(writer, 404, b"")
            return
        self.arrivals.append((self._record.now(), request_class))
        work = self._work
        if self.phase != "up" or work.waiting >= self._room:
            self._record.add("turned-away", endpoint=self.name, id=trace_id, phase=self.phase)
            self._write(writer, 503, b"", b"X-Never-Ran: 1\r\n")
            return
        work.waiting += 1
        async with work.slots:
            work.waiting -= 1
            work.running += 1
            self._record.add("run", endpoint=self.name, id=trace_id)
            work_s = Classes.WORK_MS[request_class] / 1e3 / self.speed / self.capacity_share()
            await asyncio.sleep(work_s)
            work.running -= 1
        self._write(writer, 200, trace_id.encode())

    def _write(self, writer: asyncio.StreamWriter, status: int, body: bytes, more: bytes = b"") -> None:
        now_s = time.monotonic()
        if now_s - self._reported_s > self.REPORT_S:
            self._reported_s = now_s
            held = self._work.waiting + self._work.running
            self._report = b"TEXT inflight=%d, queue=%d" % (held, self._work.waiting)
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nEndpoint-Load-Metrics: %s\r\n%s\r\n"
        if not writer.is_closing():
            writer.write(head % (status, len(body), self._report, more) + body)


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def reserve_port() -> socket.socket:
    """Return a bound socket that keeps a port for a process which allows reuse of addresses."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, 0))
    return sock


class Sidecar:
    """One sidecar process and its configuration."""

    def __init__(
        self, folder: Path, name: str, config_settings: Entry, operator_file: Path | None = None
    ) -> None:
        """Choose a port; `start` runs the process, with an operator's file if there is one."""
        self._operator_file = operator_file
        self.is_terminated = False
        self.name = name
        self._reserved = reserve_port()
        self.port = int(self._reserved.getsockname()[1])
        self._folder = folder / name
        self._folder.mkdir()
        (self._folder / "tmp").mkdir()
        self._settings = config_settings
        self._process: subprocess.Popen[bytes] | None = None
        self._known: Entry = {}

    @property
    def _config_path(self) -> Path:
        return self._folder / "config.json"

    def configure(self, discovery: Agent) -> None:
        """Write the configuration with this agent as discovery."""
        raw = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._known,
            "settings": self._settings,
        }
        new_path = self._config_path.with_suffix(".new")
        new_path.write_text(json.dumps(raw))
        new_path.replace(self._config_path)

    def start(self, discovery: Agent, known: list[Entry]) -> None:
        """Start the process by the deploy file's command."""
        self._known = {"revision": discovery.revision, "complete": True, "members": known}
        self.configure(discovery)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self._folder / "tmp"),
            "LB_NAME": self.name,
            "LB_LISTEN": f"{LOOPBACK}:{self.port}",
            "LB_DISCOVERY": f"{LOOPBACK}:{discovery.port}",
            "LB_CONFIG": str(self._config_path),
        }
        with (self._folder / "log").open("ab") as log:
            run = deploy["run"]
            if self._operator_file:
                run += f" sidecar --config {self._operator_file}"
            command = ["/bin/sh", "-c", run]
            self._process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log, stdout=log)

    def move_discovery(self, agent: Agent) -> None:
        """Give it a new configuration with SIGHUP that moves discovery."""
        assert self._process
        self.configure(agent)
        self._process.send_signal(signal.SIGHUP)

    async def wait_ready(self) -> None:
        """Return once its health check answers 200; TimeoutError after 30 s."""
        async with asyncio.timeout(30):
            while True:
                with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    if b" 200 " in head:
                        return
                await asyncio.sleep(0.05)

    def log_lines(self) -> list[str]:
        """Return the lines of its log."""
        path = self._folder / "log"
        return path.read_text(errors="replace").splitlines() if path.exists() else []

    def has_crashed(self) -> bool:
        """Return whether the process has ended by itself."""
        return bool(self._process and self._process.poll() is not None)

    async def terminate(self) -> None:
        """Send SIGTERM, and wait until the process has ended."""
        assert self._process
        self._process.send_signal(signal.SIGTERM)
        self.is_terminated = True
        await asyncio.to_thread(self._process.wait)

    def kill(self) -> None:
        """End the process."""
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._reserved.close()


class Client:
    """The application beside one sidecar: an open stream of requests over kept connections."""

    def __init__(self, sidecar: Sidecar, record: Record, per_s: float, seed: int) -> None:
        """Prepare a client that sends `per_s` requests a second."""
        self.answers: dict[str, int] = {}
        self._sidecar = sidecar
        self._record = record
        self._per_s = per_s
        self._random = random.Random(seed)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, until_s: float) -> None:
        """Send until a time of the record, and wait for the answers."""
        while self._record.now() < until_s:
            await asyncio.sleep(self._random.expovariate(self._per_s))
            task = asyncio.create_task(self._send())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        if self._open:
            await asyncio.wait(self._open, timeout=4.0)
        for _, writer in self._idle:
            writer.close()

    async def _send(self) -> None:
        request_class = self._random.choices(list(Classes.SHARES), list(Classes.SHARES.values()))[0]
        trace_id = f"{self._random.getrandbits(64):016x}"
        wait_ms = Classes.DEADLINE_MS[request_class]
        is_safe = Classes.EFFECT[request_class] == "repeatable"
        method, body = ("GET", "") if is_safe else ("POST", f"notify {trace_id}")
        length = "" if is_safe else f"Content-Length: {len(body)}\r\n"
        head = (
            f"{method} /{request_class}/{trace_id[:8]} HTTP/1.1\r\nHost: api.internal\r\n"
            f"X-Trace-Id: {trace_id}\r\nX-Customer: tiendas-sol\r\nX-Expires-In-Ms: {wait_ms}\r\n{length}\r\n"
        )
        outcome = "no-answer"
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(wait_ms / 1e3 + 0.5):
                reader, writer = await self._connection()
                writer.write(head.encode() + body.encode())
                answer = await reader.readuntil(b"\r\n\r\n")
                fields = _fields(answer)
                answer_body = await reader.readexactly(int(fields.get("content-length", "0")))
                outcome = answer.split(b" ")[1].decode()
                if outcome == "200" and answer_body.decode() != trace_id:
                    outcome = "foreign"
                if fields.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self._idle.append((reader, writer))
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        self._record.add("answered", sidecar=self._sidecar.name, id=trace_id, outcome=outcome)

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not writer.is_closing() and not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(LOOPBACK, self._sidecar.port)


def has_trouble() -> bool:
    """Return whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Fleet:
    """A small deployment: three sidecars, each with two agents of discovery, and nine endpoints.

    Attributes:
        old: The agent that each sidecar is configured with at first.
        new: The agent that a later configuration names; it learns of changes later than `old`.
    """

    KINDS = (("fast-3c", 3, 1.6), ("std-3c", 3, 0.97), ("slow-4c", 4, 0.6))

    def __init__(
        self,
        record: Record,
        folder: Path,
        per_s: float,
        sidecars: int = 3,
        endpoints: int = 9,
        operator_file: Path | None = None,
    ) -> None:
        """Prepare the processes; the clients of all sidecars together send `per_s` requests a second."""
        self.record = record
        self.endpoints = [
            Endpoint(f"s-{number}", record, *self.KINDS[number % len(self.KINDS)])
            for number in range(endpoints)
        ]
        self.sidecars = [
            Sidecar(folder, f"n{index}", settings(sidecars, index), operator_file)
            for index in range(sidecars)
        ]
        seed = int(os.environ.get("SEED", "1"))
        self.clients = [
            Client(sidecar, record, per_s / sidecars, 100 * seed + index)
            for index, sidecar in enumerate(self.sidecars)
        ]
        self.old: list[Agent] = []
        self.new: list[Agent] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all, and return once every sidecar is ready."""
        for endpoint in self.endpoints:
            await endpoint.start()
        entries = [entry(endpoint) for endpoint in self.endpoints]
        for sidecar in self.sidecars:
            old = Agent(f"{sidecar.name}-old", self.record, entries)
            new = Agent(f"{sidecar.name}-new", self.record, entries)
            await old.start()
            await new.start()
            self.old.append(old)
            self.new.append(new)
            sidecar.start(old, entries)
        await asyncio.gather(*(sidecar.wait_ready() for sidecar in self.sidecars))
        self.record.started_s = time.monotonic()

    def tell(self, agents: list[Agent], after_s: float, revision: int, changed: Entry) -> None:
        """Send a change to agents after the time that discovery takes."""
        self.later(after_s, lambda: [agent.receive(revision, changed) for agent in agents])

    def later(self, after_s: float, action: Callable[[], object]) -> None:
        """Do something after a time."""

        async def wait() -> None:
            await asyncio.sleep(after_s)
            action()

        task = asyncio.create_task(wait())
        self._tasks.add(task)

    def move_discovery(self) -> None:
        """Give all sidecars a new configuration that names their new agents."""
        self.record.add("sighup", sidecars=len(self.sidecars))
        for sidecar, agent in zip(self.sidecars, self.new, strict=True):
            sidecar.move_discovery(agent)

    def drain_sends(self, endpoint: Endpoint, revision: int, until_s: float) -> int:
        """Return how many requests reached an endpoint after all were told and the grace was over."""
        told_s = max(
            min(agent.told_at.get(revision, until_s) for agent in pair)
            for pair in zip(self.old, self.new, strict=True)
        )
        late_s = told_s + DRAIN_GRACE_S + SOCKET_SLACK_S
        self.record.say(
            f"all sidecars were told at {told_s:.3f} s; nothing new may come after {late_s:.3f} s"
        )
        return endpoint.arrived_between(late_s, until_s)

    def answers(self) -> dict[str, int]:
        """Return the number of answers by outcome."""
        total: dict[str, int] = {}
        for client in self.clients:
            for outcome, count in client.answers.items():
                total[outcome] = total.get(outcome, 0) + count
        return total

    async def stop(self) -> None:
        """End all processes; sidecars that ended by themselves are told."""
        for sidecar in self.sidecars:
            if sidecar.has_crashed() and not sidecar.is_terminated:
                self.record.say(f"{sidecar.name} has ended by itself")
            self.record.lines += [f"log {sidecar.name} {line}" for line in sidecar.log_lines()]
            sidecar.kill()
        for server in (*self.old, *self.new, *self.endpoints):
            server.stop()
        await asyncio.sleep(0.05)


Play = Callable[[Record, Path], Awaitable[int]]
LATE_CHECK_S = 0.02
MAX_LATE_S = 0.2  # shorter than the grace of a drain: a script that is later itself proves nothing


async def _watched(play: Play, record: Record, folder: Path, limit_s: float) -> int:
    """Play a case; a rule that was broken counts only if the script's own event loop was on time."""
    worst_s = 0.0

    async def watch() -> None:
        nonlocal worst_s
        while True:
            due_s = time.monotonic() + LATE_CHECK_S
            await asyncio.sleep(LATE_CHECK_S)
            worst_s = max(worst_s, time.monotonic() - due_s)

    watching = asyncio.create_task(watch())
    try:
        status = await asyncio.wait_for(play(record, folder), limit_s)
    finally:
        watching.cancel()
    record.say(f"the script's own event loop was late by {worst_s:.3f} s at most")
    return COULD_NOT_RUN if status == BROKEN and worst_s > MAX_LATE_S else status


def main(case_folder: Path, play: Play, limit_s: float = 110.0) -> int:
    """Run a case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(case_folder)
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    status = COULD_NOT_RUN
    try:
        status = asyncio.run(_watched(play, record, folder, limit_s))
    except Exception as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        record.write()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(folder, ignore_errors=True)
    return status


def exit_with(status: int) -> None:
    """End the script."""
    sys.exit(status)
