"""Bursts on a quiet stream, over real sockets: who is refused, who is late, and how soon a refusal comes.

Ten endpoints of three slots and 20 ms, real sidecars, and clients that open a connection for each request
that finds none at rest. A burst beyond what the fleet can do in the target arrives within 0.2 s, at a
slower fleet (60 ms: 500 requests a second), so that the sidecar's own CPU isn't what is measured.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from benchmarks.report import Report

ROOT = Path(__file__).parent.parent
TARGET_S, DEADLINE_S = 0.4, 1.0
ENDPOINTS, SLOTS = 10, 3
SIZES, REPEATS, REST_S = (8, 16, 32, 64, 128), 3, 1.5
BEYOND_RESTS = (("beyond, each 1.5 s", REST_S), ("beyond, each 5 s", 5.0))
BEYOND, BEYOND_OVER_S, BEYOND_MS = 400, 0.2, 60
MS = 1_000_000


@dataclass
class Seen:
    status: int
    took_s: float


class Fleet:
    """The stand-in endpoints in their own process, and sidecars before them."""

    def __init__(
        self, folder: Path, service_ms: float, source: Path, slow: int = 0, sidecars: int = 1
    ) -> None:
        words = [str(ENDPOINTS), str(SLOTS), str(service_ms), "1", str(slow)]
        pipe = subprocess.PIPE
        self.endpoints = subprocess.Popen(
            [sys.executable, "-m", "anisespool.standins.serving", *words],
            cwd=ROOT,
            stdin=pipe,
            stdout=pipe,
            text=True,
        )
        assert self.endpoints.stdout
        known = json.loads(self.endpoints.stdout.readline())
        self.sidecars: list[subprocess.Popen[bytes]] = []
        self.ports: list[int] = []
        for n in range(sidecars):
            port = _free_port()
            env = _write(folder, n, port, known, sidecars)
            log = (folder / f"log{n}").open("w")
            self.sidecars.append(
                subprocess.Popen(
                    [sys.executable, "-m", "anisespool"], cwd=source, env=os.environ | env, stderr=log
                )
            )
            self.ports.append(port)

    def kill(self) -> None:
        for sidecar in self.sidecars:
            sidecar.kill()
            sidecar.wait()
        self.endpoints.kill()
        self.endpoints.wait()

    def close(self) -> dict[str, int]:
        for sidecar in self.sidecars:
            sidecar.send_signal(signal.SIGTERM)
        for sidecar in self.sidecars:
            sidecar.wait(10)
        out, _ = self.endpoints.communicate(timeout=10)
        counted: dict[str, int] = json.loads(out)
        return counted


@contextmanager
def fleet(service_ms: float, source: Path = ROOT, slow: int = 0, sidecars: int = 1) -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(Path(folder), service_ms, source, slow, sidecars)
        try:
            yield made
        finally:
            made.kill()


def _free_port() -> int:
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _write(folder: Path, n: int, port: int, known: dict[str, object], sidecars: int) -> dict[str, str]:
    classes = [
        {
            "name": name,
            "target-ns": int(TARGET_S * 1e9),
            "deadline-ns": int(DEADLINE_S * 1e9),
            "effect": effect,
        }
        for name, effect in (("token-lookup", "repeatable"), ("send-one", "once"))
    ]
    settings = {
        "zone": 0,
        "fleet-size": sidecars,
        "self-index": n,
        "resolution-ns": 5 * MS,
        "allowed": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 200 * MS,
            "retry-after": True,
            "max-retry-after-ns": 1500 * MS,
            "keepalive-ns": 30_000 * MS,
        },
        "guarantees": {
            "drain-grace-ns": 250 * MS,
            "cold-ns": 23_000 * MS,
            "start-capacity": 0.15,
            "fall-multiple": 3.0,
            "fall-ns": 1500 * MS,
        },
        "report": {"columns": ["queue", "inflight"], "how": "piggyback"},
        "request-classes": classes,
        "tenants": [{"name": "acme", "share": 1.0, "quota-per-s": 1e6}],
        "zones": ["east"],
        "skus": ["m1"],
    }
    raw = {
        "name": f"n{n}",
        "seed": f"{n + 1:x}",
        "limits": {"sockets": 4096},
        "discovery": known["discovery"],
        "known": {"revision": 1, "complete": True, "members": known["members"]},
        "settings": settings,
    }
    path = folder / f"config{n}.json"
    path.write_text(json.dumps(raw))
    return {
        "LB_NAME": f"n{n}",
        "LB_LISTEN": f"127.0.0.1:{port}",
        "LB_CONFIG": str(path),
        "LB_DISCOVERY": str(known["discovery"]),
    }


class Client:
    """Sends each request on a connection at rest, or on a new one."""

    ids = itertools.count(1)

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ready(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            if b" 200 " in await reader.readuntil(b"\r\n"):
                writer.close()
                return
            writer.close()
            await asyncio.sleep(0.02)

    async def ask(self) -> Seen:
        start = monotonic()
        try:
            streams = self.idle.pop() if self.idle else await asyncio.open_connection("127.0.0.1", self.port)
            reader, writer = streams
            number = next(self.ids)  # every other one must never run twice
            what, mark = (b"POST /send-one", b"o") if number % 2 else (b"GET /token-lookup", b"t")
            writer.write(
                b"%s/1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s%d\r\nX-Customer: acme\r\n"
                b"X-Expires-In-Ms: %d\r\nContent-Length: 0\r\n\r\n" % (what, mark, number, DEADLINE_S * 1000)
            )
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)
        except (OSError, EOFError):
            return Seen(0, monotonic() - start)
        took = monotonic() - start
        if b"connection: close" in head:
            writer.close()
        else:
            self.idle.append(streams)
        return Seen(int(head[9:12]), took)

    def close(self) -> None:
        for _, writer in self.idle:
            writer.transport.abort()


async def _quiet(client: Client, rate: float) -> None:
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(client.ask())
            await asyncio.sleep(1 / rate)


async def burst(client: Client, size: int, over_s: float = 0.0) -> list[Seen]:
    """`size` requests at once, or evenly within `over_s`."""

    async def later(delay: float) -> Seen:
        await asyncio.sleep(delay)
        return await client.ask()

    return await asyncio.gather(*[later(over_s * n / size) for n in range(size)])


class Tally:
    def __init__(self, seen: list[Seen]) -> None:
        self.count = len(seen)
        self.refused = [s.took_s for s in seen if s.status in (429, 503)]
        self.served = [s.took_s for s in seen if s.status == 200]
        self.late = sum(took > TARGET_S for took in self.served)
        self.failed = self.count - len(self.refused) - len(self.served)

    @property
    def in_time(self) -> int:
        return len(self.served) - self.late

    @property
    def refused_share(self) -> float:
        return 100 * len(self.refused) / max(self.count, 1)

    def quantile(self, took: list[float], part: float) -> float:
        return 1000 * sorted(took)[min(len(took) - 1, int(part * len(took)))] if took else 0.0


async def _bursts(
    made: Fleet, rate: float, sizes: tuple[int, ...], over_s: float, rest_s: float = REST_S
) -> dict[int, Tally]:
    clients = [Client(port) for port in made.ports]
    for client in clients:
        await client.ready()
    streams = [asyncio.create_task(_quiet(client, rate)) for client in clients]
    found: dict[int, list[Seen]] = {size: [] for size in sizes}
    await asyncio.sleep(2.0)
    for size in sizes:
        for _ in range(REPEATS):
            for seen in await asyncio.gather(*[burst(client, size, over_s) for client in clients]):
                found[size] += seen
            await asyncio.sleep(rest_s)
    for stream in streams:
        stream.cancel()
    await asyncio.gather(*streams, return_exceptions=True)
    for client in clients:
        client.close()
    return {size: Tally(seen) for size, seen in found.items()}


def main() -> Report:
    columns = ("build", "case", "size", "asked", "refused %", "late", "failed", "p99 ms", "refusal p99 ms")
    report = Report("Bursts on a quiet stream, 10 endpoints x 3 slots", columns)
    before = os.environ.get("BURST_BEFORE")  # the root of an older checkout, to be measured beside this one
    builds = ([("before", Path(before))] if before else []) + [("now", ROOT)]
    for name, rate, slow, sidecars in (
        ("10/s", 10, 0, 1),
        ("100/s", 100, 0, 1),
        ("10/s, 1 slow", 10, 1, 1),
        ("10/s, five sidecars", 10, 0, 5),
    ):
        for build, source in builds:
            sizes = SIZES if sidecars == 1 else SIZES[:4]
            with fleet(20, source, slow, sidecars) as made:
                tallies = asyncio.run(_bursts(made, rate, sizes, 0.0))
                counted = made.close()
            for size, tally in tallies.items():
                _add(report, build, name, size, tally)
                if build == "now":
                    most = 2.0 if size <= 64 else 10.0
                    what = f"{name}, {size} at once: {tally.refused_share:.1f} % refused, {tally.late} late"
                    report.aim(tally.refused_share <= most and not tally.late, what)
            report.aim(not counted["twice"], f"{build}: {counted['twice']} requests ran twice")
    possible = ENDPOINTS * SLOTS / BEYOND_MS * 1000 * (TARGET_S + BEYOND_OVER_S - BEYOND_MS / 1000)
    for (name, rest_s), (build, source) in itertools.product(BEYOND_RESTS, builds):
        with fleet(BEYOND_MS, source) as made:
            tally = asyncio.run(_bursts(made, 10, (BEYOND,), BEYOND_OVER_S, rest_s))[BEYOND]
            made.close()
        _add(report, build, name, BEYOND, tally)
        share = 100 * tally.in_time / min(possible * REPEATS, tally.count)
        report.notes.append(f"{build}, {name}: {share:.0f} % of what was possible in time")
        if build == "now":
            report.aim(share >= 85, f"{name}: {share:.0f} % of the possible in time, 85 wanted")
            slowest = tally.quantile(tally.refused, 0.99)
            report.aim(slowest <= 20, f"{name}: refusals p99 {slowest:.0f} ms, 20 wanted")
    return report


def _add(report: Report, build: str, name: str, size: int, tally: Tally) -> None:
    report.add(
        build,
        name,
        size,
        tally.count,
        tally.refused_share,
        tally.late,
        tally.failed,
        tally.quantile(tally.served, 0.99),
        tally.quantile(tally.refused, 0.99),
    )
