"""A scenario played with real processes over loopback, by the same wishes as the model's.

Sidecars are processes as the platform starts them; endpoints serve as the model's do (`lab/served.py`);
clients are here: open loop, and a latency counts from when its request was *due*. The run is void when this
process itself was late by more than a stated bound. Rules are judged by the endpoints' counts and by what
clients saw.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from anisespool.config.platform import Address
from anisespool.lab import scenario as scenarios
from anisespool.lab.arrivals import plan
from anisespool.lab.backend import span_ns
from anisespool.lab.observe import Look
from anisespool.lab.scenario import MS, SECOND, Scenario, ScenarioError
from anisespool.lab.tally import LONGEST_US, Tally, VoidError, Wish
from anisespool.lab.troubles import struck
from anisespool.standins import site

MOST_SIDECARS, MOST_DOORS = 16, 4000  # processes, and listeners of endpoints
LACKING = frozenset(("vanish", "cut", "lossy", "replace", "sidecars", "roll"))  # loopback answers for a
# machine that is not there, and nothing of ours stands between two processes
LEAD_NS = SECOND // 2  # from the order to begin until the first request may be due
SLACK_NS = 100 * MS  # a final answer past its deadline: the rule's 50 ms, and as much for this process
LATE_P99_MS = 20.0  # of this process's own sends: beyond it the run says nothing
READY_S = 30.0
SOCKETS = 4096
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class Played:
    """What came of it."""

    tally: Tally
    lateness: HdrHistogram  # microseconds, of the sends
    refusals: HdrHistogram  # microseconds until a try was refused
    broken: str = ""  # the first rule that was broken
    cpu_s: list[float] = field(default_factory=list)  # of each sidecar
    borne: list[float] = field(default_factory=list)  # by endpoint, share of its cores' time
    looks: list[Look] = field(default_factory=list)

    def late_ms(self) -> float:
        return float(self.lateness.get_value_at_percentile(99)) / 1000


def refuse(scenario: Scenario, source: str) -> None:
    """ScenarioError where it asks for what real processes here can't give."""
    for n, trouble in enumerate(scenario.troubles):
        if trouble.kind in LACKING:
            raise ScenarioError(
                f"{source}: troubles[{n}].kind: found {trouble.kind}, which loopback can't show"
            )
    doors = scenario.sidecars * scenario.size
    if scenario.sidecars > MOST_SIDECARS or doors > MOST_DOORS:
        text = f"found {scenario.sidecars} with {scenario.size} endpoints, wanted at most {MOST_SIDECARS}"
        raise ScenarioError(f"{source}: sidecars: {text} and {MOST_DOORS} pairs: their processes are real")


class Sidecar:
    """One process, and the connections of its client."""

    def __init__(
        self, number: int, folder: Path, scenario: Scenario, found: tuple[list[Any], list[Any]],
        source: Path | None = None,
    ) -> None:  # fmt: skip
        self.number, self._folder, self._source = number, folder / f"n{number}", source
        self._folder.mkdir()
        self._held = site.hold_port()
        self.address = Address(*self._held.getsockname())
        place = scenario.places()
        raw = scenarios.raw_settings(scenario, number, place[number])
        kinds, most = len(scenario.endpoints), max(group.zone for group in scenario.endpoints)
        raw |= {"zones": [f"z{n}" for n in range(most + 1)], "skus": [f"m{n}" for n in range(kinds)],
                "tenants": raw["tenants"] or [{"name": "all", "share": 1.0, "quota-per-s": 1e9}]}  # fmt: skip
        raw["allowed"]["keepalive-ns"] = 60 * SECOND
        discovery, members = found
        listen = "{}:{}".format(*self.address)
        self._env = site.write_config(
            self._folder, Address(*discovery), members, raw, listen, f"n{number}", SOCKETS
        )
        self.idle: list[Streams] = []
        self.killed_at = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "anisespool", env=os.environ | self._env, stderr=log, cwd=self._source
            )
        async with asyncio.timeout(READY_S):
            while not await self._ready():
                await asyncio.sleep(0.02)

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readuntil(b"\r\n")
        except (OSError, EOFError):
            return False
        finally:
            writer.close()

    async def restart(self) -> None:
        """Killed outright, and started anew: what it held is for clients to repeat."""
        self.killed_at = time.monotonic_ns()
        if self.process:
            self.process.kill()
            await self.process.wait()
        await self.start()

    async def end(self) -> None:
        for _, writer in self.idle:
            writer.close()
        if self.process:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self._held.close()

    def cpu_s(self) -> float:
        """Of the process so far, user and system."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        parts = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    async def ask(self, data: bytes, trace: bytes) -> tuple[int, float, bool]:
        """Status (0: no whole answer), seconds to come back (0: not told), whether the body is this one's."""
        for again in (False, True):
            kept = bool(self.idle) and not again
            streams = self.idle.pop() if kept else None
            try:
                streams = streams or await asyncio.open_connection(*self.address)
                streams[1].write(data)
                head = (await streams[0].readuntil(b"\r\n\r\n")).lower()
                length = int(_field(head, b"content-length") or b"0")
                body = await streams[0].readexactly(length) if length else b""
            except asyncio.CancelledError:
                if streams:
                    streams[1].transport.abort()
                raise
            except (OSError, EOFError):
                if streams:
                    streams[1].transport.abort()
                if kept:
                    continue  # it may close one between requests: once more, on a new one
                return 0, 0.0, False
            if _field(head, b"connection") == b"close":
                streams[1].close()
            else:
                self.idle.append(streams)
            return int(head[9:12]), float(_field(head, b"retry-after") or b"0"), body == trace
        return 0, 0.0, False


class Run:
    """The clients of one run."""

    def __init__(self, scenario: Scenario, sidecars: list[Sidecar], first: int) -> None:
        self.scenario, self.sidecars = scenario, sidecars
        self.first, (self.begin, _) = first, span_ns(scenario, first)
        late, refusals = HdrHistogram(1, LONGEST_US, 3), HdrHistogram(1, LONGEST_US, 3)
        self.played = Played(Tally(scenario, self.begin), late, refusals)
        self.refused: list[int] = []  # wishes that ended so, of classes that may run once only
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, wishes: list[Wish]) -> None:
        """All of them, each when it is due; then all that is open is waited for."""
        for wish in wishes:
            wish.came += self.first
            while (wait := wish.came - time.monotonic_ns()) > 0:
                await asyncio.sleep(wait / 1e9)
            self.played.tally.wished(wish)
            self._spawn(self._ask(wish))
        while self._tasks:
            await asyncio.wait(self._tasks)
        self.played.tally.balance(time.monotonic_ns())

    def restarts(self) -> None:
        """Sidecars that the scenario has killed, each at its moment."""
        for trouble in self.scenario.troubles:
            if trouble.kind == "sidecar":
                sidecar = self.sidecars[struck(trouble, self.scenario)]
                at = self.begin + int(trouble.at_s * SECOND)
                self._spawn(self._restart(sidecar, at))

    async def _restart(self, sidecar: Sidecar, at: int) -> None:
        await asyncio.sleep(max(0, at - time.monotonic_ns()) / 1e9)
        await sidecar.restart()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, wish: Wish) -> None:
        """A wish with all its tries, as the model's clients do them."""
        due = wish.came
        while True:
            wish.tries += 1
            pause = await self._try(wish, due)
            if pause is None:
                return
            due = time.monotonic_ns() + max(pause, MS)
            await asyncio.sleep((due - time.monotonic_ns()) / 1e9)

    async def _try(self, wish: Wish, due: int) -> int | None:
        """One try; how long until the next, ns, or None where there is none."""
        tally, clients = self.played.tally, self.scenario.clients
        spec, sidecar = self.scenario.classes[wish.cls], self.sidecars[wish.sidecar]
        left = int(spec.deadline_ms * MS * wish.patience)
        trace = b"w%dt%d" % (wish.number, wish.tries)
        began = time.monotonic_ns()
        self.played.lateness.record_value(max(1, min(LONGEST_US, (began - due) // 1000)))
        tally.opened(began)
        status, wait_s, own = 0, 0.0, False
        with suppress(TimeoutError):
            async with asyncio.timeout((left + SLACK_NS) / 1e9):
                data = _request(spec, wish, trace, left, self._tenant(wish))
                status, wait_s, own = await sidecar.ask(data, trace)
        now = time.monotonic_ns()
        tally.closed(now, began)
        if not status and sidecar.killed_at < began - SECOND and now - began >= left + SLACK_NS:
            self._broke(f"rule 1: wish {wish.number} was not answered in time")
        if status == 200:
            if not own:
                self._broke(f"rule 1: wish {wish.number} was answered with another's body")
            if wish.told[1]:
                tally.honest[True] += 1
            tally.end(wish, now, "served")
            return None
        refused = status in (429, 503)
        if refused:
            self.played.refusals.record_value(max(1, (now - began) // 1000))
        if refused and wish.told[1]:
            tally.honest[False] += 1
        wish.told = (now, int(wait_s * SECOND)) if refused else wish.told
        again = refused or spec.effect == "repeatable"
        if not again or wish.tries >= clients.tries:
            if refused and spec.effect == "once":
                self.refused.append(wish.number)
            tally.end(wish, now, "refused" if refused else "failed")
            return None
        return wish.told[1] if refused and wish.told[1] and wish.honours else int(clients.backoff_ms * MS)

    def _tenant(self, wish: Wish) -> bytes:
        tenants = self.scenario.tenants
        return tenants[wish.tenant].name.encode() if tenants else b"all"

    def _broke(self, text: str) -> None:
        self.played.broken = self.played.broken or text

    def judge(self, counts: dict[str, Any]) -> None:
        """What the endpoints counted against what clients were told."""
        if counts["broken"]:
            self._broke(counts["broken"])
        if counts["late_to_drained"]:
            self._broke(f"rule 3: {counts['late_to_drained']} requests reached an endpoint after its drain")
        for number in self.refused:
            if counts["runs"].get(str(number)):
                self._broke(f"rule 2: wish {number} was refused, and had run")
        self.played.borne, self.played.looks = counts["borne"], [Look(*look) for look in counts["looks"]]
        self.played.tally.attempts = counts["arrived"]
        if self.played.late_ms() > LATE_P99_MS:
            late = f"sent {self.played.late_ms():.1f} ms late (p99), {LATE_P99_MS:g} at most"
            raise VoidError(f"{late}: the machine is too small or too busy for this scenario")


def _request(spec: scenarios.Class, wish: Wish, trace: bytes, left: int, tenant: bytes) -> bytes:
    method = b"GET" if spec.effect == "repeatable" else b"POST"
    key = b"Idempotency-Key: w%d\r\n" % wish.number if spec.effect == "by_key" else b""
    again = b"X-Second-Try: 1\r\n" if wish.tries > 1 else b""
    path = b"/%s/%d.%d.%d" % (spec.name.encode(), wish.number, wish.tries, wish.work_ns)
    head = b"%s %s HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: %s\r\n" % (method, path, trace)
    end = b"X-Expires-In-Ms: %d\r\n%s%sContent-Length: 0\r\n\r\n" % (left // MS, key, again)
    return head + b"X-Customer: %s\r\n" % tenant + end


def _field(head: bytes, name: bytes) -> bytes:
    return head.partition(b"\r\n%s: " % name)[2].partition(b"\r\n")[0]


@asynccontextmanager
async def _endpoints(scenario: Scenario, seed: int) -> AsyncIterator[asyncio.subprocess.Process]:
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "anisespool.lab.served", stdin=pipe, stdout=pipe, limit=2**26
    )
    try:
        order = {"scenario": json.loads(scenarios.encode(scenario)), "seed": seed}
        _say(process, json.dumps(order))
        yield process
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def _say(process: asyncio.subprocess.Process, line: str) -> None:
    assert process.stdin
    process.stdin.write(line.encode() + b"\n")


async def _hear(process: asyncio.subprocess.Process) -> Any:
    assert process.stdout
    line = await process.stdout.readline()
    if not line:
        raise RuntimeError("the endpoints' process ended before its time; its error stands above")
    return json.loads(line)


async def play(scenario: Scenario, seed: int, source: Path | None = None) -> Played:
    """One run in real time; `source`: the root of another checkout, for its sidecars. VoidError if it says
    nothing."""
    with tempfile.TemporaryDirectory() as folder:
        async with _endpoints(scenario, seed) as endpoints:
            found = await _hear(endpoints)
            sidecars = [Sidecar(n, Path(folder), scenario, told, source) for n, told in enumerate(found)]
            try:
                await asyncio.gather(*(sidecar.start() for sidecar in sidecars))
                wishes = plan(scenario, seed)  # before the clock starts: a long one takes its time
                first = time.monotonic_ns() + LEAD_NS
                _say(endpoints, str(first))
                run = Run(scenario, sidecars, first)
                run.restarts()
                await run.run(wishes)
                run.played.cpu_s = [sidecar.cpu_s() for sidecar in sidecars]
            finally:
                await _end(sidecars)
            assert endpoints.stdin
            endpoints.stdin.close()
            run.judge(await _hear(endpoints))
    return run.played


async def _end(sidecars: list[Sidecar]) -> None:
    await asyncio.gather(*(sidecar.end() for sidecar in sidecars))
