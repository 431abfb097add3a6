"""The endpoints and the discovery of a run with real processes: `python -m anisespool.lab.served`.

Reads one line of JSON (`scenario`, `seed`), prints where each sidecar finds its discovery and its members,
reads the moment at which the run begins (monotonic ns) and plays until its input ends. Then it prints what
the endpoints counted. Each sidecar meets every endpoint at an address of its own, so that the distance
between the two, and who was told what, are known without a word from the sidecar.

A request's path is `/CLASS/WISH.TRY.WORK_NS`: what its client drew travels with it.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from typing import Any

from anisespool.config.platform import Address
from anisespool.lab import scenario as scenarios
from anisespool.lab.backend import Backend, hop_ns, span_ns
from anisespool.lab.checker import RuleError
from anisespool.lab.endpoint import Endpoint, Job
from anisespool.lab.news import News, listed
from anisespool.lab.observe import Observer, borne
from anisespool.lab.scenario import MS, Scenario
from anisespool.lab.streams import Streams
from anisespool.lab.tally import Wish
from anisespool.lab.troubles import schedule
from anisespool.standins.roster import Roster
from anisespool.standins.site import member
from shuntlead.interface import EndpointState, Status

LOOPBACK_NS = MS  # hops below this are left to the loopback itself: timers are no finer
SLACK_NS = 50 * MS  # of a time limit, on sockets
HOST = "127.0.0.1"
MOST_WISHES = 2_000_000
PHASES = {EndpointState.READY: "up", EndpointState.DRAINING: "draining", EndpointState.GONE: "removed"}
LINES = {Status.OK: b"200 OK", Status.ERROR: b"500 Error", Status.FULL: b"503 Full"}


class WallClock:
    """The machine's, as the backend wants one."""

    def __init__(self) -> None:
        self.broken = ""  # the first rule that was seen to be broken
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> int:
        return time.monotonic_ns()

    def at(self, when: int, what: Callable[..., None], *words: Any) -> None:
        self._loop.call_at(when / 1e9, self._call, what, words)

    def after(self, delay: int, what: Callable[..., None], *words: Any) -> None:
        self._loop.call_later(delay / 1e9, self._call, what, words)

    def _call(self, what: Callable[..., None], words: tuple[Any, ...]) -> None:
        try:
            what(*words)
        except RuleError as error:
            self.broken = self.broken or str(error)


@dataclass(slots=True)
class Held(Job):
    """An attempt at an endpoint, with where its answer goes."""

    link: Link | None = None
    trace: bytes = b""


class Link(asyncio.Protocol):
    """A sidecar's connection to an endpoint: one request at a time."""

    def __init__(self, door: Door) -> None:
        self._door, self._data, self._fresh, self._dropped = door, b"", True, False
        self._job: Held | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._door.admit(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._door.links.discard(self)
        job = self._job
        if self._dropped:
            return
        if job and not job.over and not job.stopped:
            job.over = True
            self._door.farm.stop(job)
        else:
            self._door.endpoint.connections -= 1

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end or len(rest) < int(_field(head, b"content-length") or b"0"):
            return
        self._data = b""
        target, trace = head.split(b" ", 2)[1], _field(head, b"x-trace-id")
        self._job = self._door.farm.came(self._door, self, target, trace, self._fresh)
        self._fresh = False

    def answer(self, job: Held, status: Status, load: bytes) -> None:
        if job.over or job is not self._job:
            return
        job.over, self._job = True, None
        ran = b"X-Never-Ran: 1\r\n" if status is Status.FULL else b""
        body = job.trace if status is Status.OK else b""
        head = b"HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n" % (LINES[status], load, ran, len(body))
        self._transport.write(head + body)

    def drop(self) -> None:
        """As when the endpoint's process dies: the connection is reset."""
        self._dropped = True
        if self._job:
            self._job.over = True
        self._transport.abort()


def _field(head: bytes, name: bytes) -> bytes:
    return head.lower().partition(b"\r\n%s: " % name)[2].partition(b"\r\n")[0]


class Door:
    """Where one sidecar finds one endpoint."""

    def __init__(self, farm: Farm, endpoint: Endpoint, sidecar: int) -> None:
        self.farm, self.endpoint, self.sidecar, self.port = farm, endpoint, sidecar, 0
        self.links: set[Link] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        make = partial(Link, self)
        self._server = await asyncio.get_running_loop().create_server(make, HOST, self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def admit(self, link: Link) -> bool:
        self.endpoint.connections += 1
        self.links.add(link)
        return self.endpoint.connections <= self.endpoint.spec.connections

    def drop(self, shut: bool) -> None:
        """Reset all that is open; `shut`: and refuse what comes."""
        for link in list(self.links):
            link.drop()
        if shut and self._server:
            self._server.close()
            self._server = None

    @property
    def is_open(self) -> bool:
        return self._server is not None


class Farm(Backend):
    """The backend behind sockets, with what the troubles need of a run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.clock: WallClock
        streams = self._streams = Streams(seed)
        super().__init__(scenario, streams, WallClock())
        self._net, self.news = streams.named("network"), News(scenario, streams.named("membership"))
        self.begin = 0
        self.zones = scenario.places()
        count = range(scenario.sidecars)
        self.doors = {(e.id, n): Door(self, e, n) for e in self.endpoints for n in count}
        self.rosters: list[Roster] = []
        self.told: list[dict[int, int]] = [{} for _ in count]  # starts of endpoints, as lists had them
        self.barred: list[dict[int, int]] = [{} for _ in count]  # since when one is known to drain
        self.wishes: dict[int, Wish] = {}
        self.arrived = self.late_to_drained = 0
        self._classes = {c.name: n for n, c in enumerate(scenario.classes)}
        self._tasks: set[asyncio.Task[None]] = set()
        self.observer: Observer | None = None

    async def open(self) -> list[Roster]:
        """All doors, and a discovery for each sidecar."""
        await asyncio.gather(*(door.open() for door in self.doors.values()))
        for n in range(self.scenario.sidecars):
            self.rosters.append(Roster([self._entry(e, n) for e in self.endpoints]))
            self.told[n] = {e.id: e.started for e in self.endpoints}
        return self.rosters

    def start(self, first: int) -> None:
        """`first`: the run's first moment, monotonic ns."""
        self.begin, _ = span_ns(self.scenario, first)
        schedule(self, self._streams.named("troubles"))
        self.observer = Observer(self, *span_ns(self.scenario, first))

    # Requests -------------------------------------------------------------------------------------

    def came(self, door: Door, link: Link, target: bytes, trace: bytes, fresh: bool) -> Held:
        """A whole request; `fresh`: the first on its connection, which pays for the handshake."""
        cls, _, what = target.decode("latin-1")[1:].partition("/")
        number, tries, work_ns = (int(word) for word in what.split("."))
        now, endpoint = self.clock.now, door.endpoint
        if number not in self.wishes:
            if len(self.wishes) >= MOST_WISHES:
                raise RuntimeError(f"over {MOST_WISHES} wishes")
            self.wishes[number] = Wish(number, self._classes[cls], now, work_ns, door.sidecar, 1.0, False)
        self.arrived += 1
        since = self.barred[door.sidecar].get(endpoint.id)
        grace = int(self.scenario.rules.drain_grace_ms * MS) + SLACK_NS
        self.late_to_drained += since is not None and now > since + grace
        wish = self.wishes[number]
        job = Held(door.sidecar, number, tries, endpoint.id, now, work_ns, wish, endpoint.life,
                   link=link, trace=trace)  # fmt: skip
        trips = 2 * self.scenario.network.handshake_trips if fresh else 0
        self._later(1 + trips, door.sidecar, endpoint, self._arrive, job)
        return job

    def _arrive(self, job: Held) -> None:
        if not job.over:
            self.arrive(job)

    def told_of(self, job: Job, endpoint: Endpoint) -> bool:
        return self.told[job.sidecar].get(endpoint.id) == endpoint.started

    def answer(self, endpoint: Endpoint, job: Job, status: Status, load: tuple[float, ...]) -> None:
        assert isinstance(job, Held) and job.link
        fields = ", ".join(f"{name}={figure:g}" for name, figure in zip(self.columns, load, strict=True))
        line = f"Endpoint-Load-Metrics: TEXT {fields}\r\n".encode() if load else b""
        self._later(1, job.sidecar, endpoint, job.link.answer, job, status, line)

    def _later(
        self, hops: int, sidecar: int, endpoint: Endpoint, what: Callable[..., None], *words: Any
    ) -> None:
        wide = self.scenario.network.spread
        spread = self._net.uniform(1 - wide, 1 + wide) if wide else 1.0
        near = self.zones[sidecar] == endpoint.spec.zone
        delay = hops * hop_ns(self.scenario, near, spread, endpoint.ails.delay)
        if delay < LOOPBACK_NS:
            what(*words)
        else:
            self.clock.after(delay, what, *words)

    # What the troubles ask for --------------------------------------------------------------------

    def log(self, *words: object) -> None:
        """The model's own; a run in reality has no log to compare."""

    def set_rate(self, times: float) -> None:
        """The clients' plan has it."""

    def set_tenant(self, number: int, times: float) -> None:
        """The clients' plan has it."""

    def shift(self, zone: int, times: float) -> None:
        """The clients' plan has it."""

    def cut(self, zone: int, begins: bool, until: int) -> None:
        raise NotImplementedError("refused before the run (lab/reality.py)")

    def replace(self, endpoint: Endpoint) -> Endpoint:
        raise NotImplementedError("refused before the run (lab/reality.py)")

    def restart_sidecar(self, number: int) -> None:
        """Whoever started them does."""

    def roll_sidecar(self, place: int) -> None:
        raise NotImplementedError("refused before the run (lab/reality.py)")

    def lose(self, endpoint: Endpoint) -> None:
        for n in range(self.scenario.sidecars):
            self.doors[endpoint.id, n].drop(shut=endpoint.ails.dead)

    def tell(self, endpoint: Endpoint, state: EndpointState) -> None:
        endpoint.listed = state
        for n, at, revision in self.news.change(self.clock.now):
            door = self.doors[endpoint.id, n]
            if state is EndpointState.READY and not door.is_open:
                task = asyncio.get_running_loop().create_task(door.open())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            entry = self._entry(endpoint, n)
            self.clock.at(at, self._told, n, revision, endpoint, state, endpoint.started, entry)

    def _told(
        self, n: int, revision: int, e: Endpoint, state: EndpointState, started: int, entry: dict[str, Any]
    ) -> None:
        if self.news.takes(n, revision):
            self._note(n, e.id, state, started)
            self.rosters[n].tell(entry)

    def _note(self, n: int, endpoint: int, state: EndpointState, started: int) -> None:
        if state is EndpointState.READY:
            self.barred[n].pop(endpoint, None)
            self.told[n][endpoint] = started
        else:
            self.barred[n].setdefault(endpoint, self.clock.now)

    def tell_all(self, rows: bool) -> None:
        """The whole list, or (a registry that was wiped) an empty one."""
        self.news.whole()
        for n, roster in enumerate(self.rosters):
            for e in self.endpoints:
                self._note(n, e.id, e.listed if rows else EndpointState.GONE, e.started)
            roster.tell_all([self._entry(e, n) for e in listed(self.endpoints)] if rows else [])

    def _entry(self, e: Endpoint, sidecar: int) -> dict[str, Any]:
        epoch_ns = time.time_ns() - time.monotonic_ns()
        since_ms = max(1, (e.started + epoch_ns) // MS) if e.started else 0
        nominal = self.scenario.membership.weights == "nominal"
        return member(
            f"s-{e.id}", Address(HOST, self.doors[e.id, sidecar].port), PHASES[e.listed],
            locality=f"z{e.spec.zone}", flavor=f"m{e.kind}", up_since_ms=since_ms,
            size=e.spec.cores * e.spec.speed if nominal else 1.0,
        )  # fmt: skip

    def counts(self) -> dict[str, Any]:
        """What the endpoints saw."""
        return {
            "broken": self.clock.broken, "late_to_drained": self.late_to_drained, "arrived": self.arrived,
            "runs": {str(number): wish.runs for number, wish in self.wishes.items() if wish.runs},
            "borne": borne(self), "looks": self.observer.looks if self.observer else [],
        }  # fmt: skip


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    order = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    farm = Farm(scenarios.from_raw(order["scenario"], "scenario"), order["seed"])
    async with AsyncExitStack() as stack:
        rosters = await farm.open()
        for roster in rosters:
            await stack.enter_async_context(roster.serve())
        told = [(list(roster.address), list(roster.members.values())) for roster in rosters]
        print(json.dumps(told), flush=True)
        farm.start(int(await loop.run_in_executor(None, sys.stdin.readline)))
        await loop.run_in_executor(None, sys.stdin.read)
    print(json.dumps(farm.counts()), flush=True)


if __name__ == "__main__":
    asyncio.run(_serve())
