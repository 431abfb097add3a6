"""Starts one sidecar by the deploy file's `run`, with stand-ins for the platform, endpoints and clients.

The stand-ins follow PROTOCOL and DEPLOY: discovery is a pushed list over a watch, an endpoint serves one
request at a time on a connection, reports its load, and drops waiting work whose connection was closed.
All addresses are loopback addresses, all ports free ones, all files in a temporary folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 30.0  # DEPLOY: "clients come when all sidecars are ready, or after 30 s"
RULE_SLACK_S = 0.05  # PROTOCOL: "each time limit is 50 ms longer"
CLASSES = (
    # name, effect, target_ms, deadline_ms, worth: the table "Request classes" of the BRIEF
    ("token-lookup", "repeatable", 400, 1000, 2.0),
    ("send-one", "once", 400, 2000, 10.0),
    ("send-segment", "once", 1200, 3000, 8.0),
)


class NotRunError(Exception):
    """The case could not run: its result would say nothing about the rule."""


class Record:
    """The file record.txt: one line an event, with the time since the start in seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Write a line; `at_s` is the event's time, now by default."""
        seconds = (time.monotonic() if at_s is None else at_s) - self._start_s
        self._file.write(f"{seconds:9.4f} {text}\n")
        self._file.flush()


def settings(classes: list[dict[str, Any]] | None = None, **changes: Any) -> dict[str, Any]:
    """Return the settings of the WIRE page's example (site lima-avisos), with `changes` at the top level."""
    example: dict[str, Any] = {
        "allowed": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 200_000_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 8000,
            "keepalive-ns": 30_000_000_000,
            "max-open": 20000,
            "max-retry-after-ns": 1_500_000_000,
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
        "fleet-size": 3,
        "goal": {"whole": 0.45, "worst-class": 0.3, "worst-tenant": 0.1, "worst-window": 0.15},
        "guarantees": {
            "answer-slack-ns": 20_000_000,
            "ask-within-ns": 10_000_000_000,
            "cold-ns": 23_000_000_000,
            "drain-grace-ns": 250_000_000,
            "fall-multiple": 3.0,
            "fall-ns": 1_500_000_000,
            "start-capacity": 0.15,
        },
        "layer": 0,
        "over-share-worth": 0.1,
        "prices": {"cross-zone": 0.12, "late-fail": 0.05, "waste": 0.02},
        "report": {"columns": ["queue", "inflight"], "how": "piggyback"},
        "request-classes": [
            {
                "name": name,
                "effect": effect,
                "target-ns": target_ms * 1_000_000,
                "deadline-ns": deadline_ms * 1_000_000,
                "dedup-scope": "all",
                "dedup-window-ns": 5_000_000_000,
                "late-worth": 0.0,
                "stream": False,
                "worth": worth,
            }
            for name, effect, target_ms, deadline_ms, worth in CLASSES
        ],
        "resolution-ns": 5_000_000,
        "self-index": 0,
        "skus": ["fast-3c", "std-3c", "slow-4c"],
        "tenants": [
            {"name": "tiendas-sol", "quota-per-s": 172.0, "share": 0.45},
            {"name": "banco-andes-sur", "quota-per-s": 80.0, "share": 0.21},
            {"name": "movil-inca", "quota-per-s": 69.0, "share": 0.18},
            {"name": "farmacia-vida", "quota-per-s": 61.0, "share": 0.16},
        ],
        "tiers": ["push-api"],
        "weight-kind": "nominal",
        "worth-by": "request",
        "zone": 2,
        "zones": ["surquillo", "ate", "callao"],
    }
    if classes is not None:
        example["request-classes"] = classes
    return example | changes


class Request:
    """A request as an endpoint has read it."""

    def __init__(self, target: str, headers: dict[str, str], body: bytes, read_s: float) -> None:
        self.target = target
        self.headers = headers
        self.body = body
        self.read_s = read_s
        self.trace_id = headers.get("x-trace-id", "")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP/1.1 message with Content-Length; return start line, headers in lower case, body.

    Raises:
        EOFError: the connection ended before a whole message.
        OSError: the connection was lost.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError:
        raise EOFError from None
    return start, headers, body


class Endpoint:
    """A push node: `slots` requests run at a time, the others wait; a closed connection drops them."""

    def __init__(
        self, name: str, record: Record, service_s: Callable[[Request], float], slots: int = 3
    ) -> None:
        self.name = name
        self.requests: list[Request] = []
        self.address = ""
        self._record = record
        self._service_s = service_s
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=2**20)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                start, headers, body = await read_message(reader)
                request = Request(start.split(" ")[1], headers, body, time.monotonic())
                self.requests.append(request)
                self._record.write(
                    f"endpoint {self.name} read {request.trace_id} {request.target}"
                    f" expires_in_ms={headers.get('x-expires-in-ms')}",
                    request.read_s,
                )
                await self._run(request, reader, writer)
        writer.close()

    async def _run(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a request, or drop it if its connection ends first (queued and running work alike)."""
        work = asyncio.ensure_future(self._work(request))
        while not work.done():
            await asyncio.wait([work], timeout=0.002)
            if reader.at_eof():
                work.cancel()
                raise EOFError
        body = request.trace_id.encode()
        load = f"TEXT queue={self._waiting}, inflight={self._waiting + self._running}"
        head = f"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: {load}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def _work(self, request: Request) -> None:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self._service_s(request))
        finally:
            self._running -= 1
            self._slots.release()


class Listed(Protocol):
    """What discovery lists: an endpoint of whatever kind."""

    name: str
    address: str

    async def start(self) -> None:
        """Listen on a free port, and set `address`."""


class Discovery:
    """The agent on the sidecar's machine: answers a watch at once, and sends each change to open watches."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 41
        self.members: dict[str, dict[str, Any]] = {}
        self._watches: set[asyncio.StreamWriter] = set()

    def add(self, endpoint: Listed, number: int) -> None:
        """List an endpoint as up, started long ago."""
        self.members[endpoint.name] = {
            "id": endpoint.name,
            "host_port": endpoint.address,
            "locality": ("callao", "surquillo", "ate")[number % 3],
            "flavor": "std-3c",
            "cell": number % 3,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def change(self, entry: dict[str, Any]) -> None:
        """Change one entry, and send it to all open watches in a line of its own."""
        self.revision += 1
        self.members[entry["id"]] = entry
        update = {"revision": self.revision, "complete": False, "members": [entry]}
        for writer in self._watches:
            if not writer.is_closing():
                self._send(writer, json.dumps(update).encode())

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._send(writer, json.dumps(self.whole_list()).encode())
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)  # PROTOCOL: an empty line every 2 s
                self._send(writer, b"")
        self._watches.discard(writer)

    @staticmethod
    def _send(writer: asyncio.StreamWriter, line: bytes) -> None:
        data = line + b"\n"
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


class Rig:
    """One sidecar with its stand-ins; `close` ends every process that was started."""

    def __init__(self, record: Record, name: str = "n3") -> None:
        self.record = record
        self.name = name
        self.discovery = Discovery()
        self.sidecar: subprocess.Popen[bytes] | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = Path(self._folder.name)
        self._settings: dict[str, Any] = {}
        self._run = ""
        self._port = 0

    @property
    def listen(self) -> tuple[str, int]:
        """The address of the sidecar."""
        return HOST, self._port

    async def start(
        self, platform_settings: dict[str, Any], endpoints: Sequence[Listed], operator_file: str = ""
    ) -> None:
        """Start the stand-ins and the sidecar, and return once its health check answers 200.

        Args:
            platform_settings: The platform's settings.
            endpoints: The endpoints that discovery lists.
            operator_file: Text of the operator's file; empty: the sidecar is started without one.

        Raises:
            NotRunError: the sidecar was not ready in time.
        """
        for endpoint in endpoints:
            await endpoint.start()
        await self.prepare(platform_settings, endpoints, operator_file)
        self.spawn()
        await self.wait_until_ready()

    async def prepare(
        self, platform_settings: dict[str, Any], endpoints: Sequence[Listed], operator_file: str = ""
    ) -> None:
        """Start discovery, and write the configuration, as `start` does. The endpoints listen already."""
        for number, endpoint in enumerate(endpoints):
            self.discovery.add(endpoint, number)
        await self.discovery.start()
        with socket.socket() as free:
            free.bind((HOST, 0))
            self._port = free.getsockname()[1]
        self._settings = platform_settings
        self.write_config(self.discovery)
        (self._path / "tmp").mkdir()
        self._run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if operator_file:
            (self._path / "operator.toml").write_text(operator_file)
            self._run += f" sidecar --config {self._path / 'operator.toml'}"

    def write_config(self, discovery: Discovery) -> None:
        """Write the file of LB_CONFIG, whole at once."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self._port}",
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": self._settings,
        }
        (self._path / "config.new").write_text(json.dumps(config))
        (self._path / "config.new").rename(self._path / "config.json")

    def spawn(self) -> None:
        """Start the sidecar by the deploy file's `run`."""
        config = json.loads((self._path / "config.json").read_text())
        environment = os.environ | {
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": config["discovery"],
            "LB_CONFIG": str(self._path / "config.json"),
            "TMPDIR": str(self._path / "tmp"),
        }
        with (self._path / "log").open("ab") as log:
            self.sidecar = subprocess.Popen(
                ["/bin/sh", "-c", self._run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Return once the health check answers 200.

        Raises:
            NotRunError: the sidecar was not ready in time.
        """
        assert self.sidecar
        end_s = time.monotonic() + READY_S
        while time.monotonic() < end_s and self.sidecar.poll() is None:
            with suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                start, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in start:
                    self.record.write(f"sidecar {self.name} ready")
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"the sidecar was not ready: {self.log()}")

    def log(self) -> str:
        """Return what the sidecar wrote to standard output and error."""
        path = self._path / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def check_alive(self) -> None:
        """Raise NotRunError if the sidecar has ended by itself: that would be another case."""
        if self.sidecar and self.sidecar.poll() is not None:
            raise NotRunError(f"the sidecar ended with {self.sidecar.returncode}: {self.log()}")

    def close(self) -> None:
        """End the sidecar, and remove the folder."""
        if self.sidecar and self.sidecar.poll() is None:
            self.sidecar.send_signal(signal.SIGKILL)
            self.sidecar.wait()
        for line in self.log().splitlines():
            if line.startswith("endpoint_added"):
                continue  # there may be thousands
            self.record.write(f"log of {self.name}: {line}")
        self._folder.cleanup()


def request_bytes(
    request_class: str, trace_id: str, expires_in_ms: int, body: bytes = b"", key: str = ""
) -> bytes:
    """Return a client's request by PROTOCOL: GET for the repeatable class, `key` for a keyed one."""
    method = "GET" if request_class == "token-lookup" else "POST"
    lines = [
        f"{method} /{request_class}/7f3a9c21e0b4d655 HTTP/1.1",
        "Host: api.internal",
        f"X-Trace-Id: {trace_id}",
        "X-Customer: tiendas-sol",
        f"X-Expires-In-Ms: {expires_in_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body if method == "POST" else b"")


def main(folder: Path, play: Callable[[Record, bool], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case, and exit with its status.

    Args:
        folder: The folder of the case.
        play: Plays the case, with the disruption if its second argument is true; tells if the rule held.
        limit_s: Time after which the case counts as not run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble={int(trouble)}")
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), limit_s))
        status = HELD if held else BROKEN
    except Exception as error:
        record.write(f"not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    record.write(f"exit={status}")
    print(f"exit={status} (0 held, 1 broken, 2 not run)")
    sys.exit(status)
