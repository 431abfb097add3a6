"""A world without sockets or clocks: endpoints with cores, queues, cold starts and stale reports, several
modules that share nothing, and clients that come back when they are told to. All chance comes from one seed.

It follows the settings' rules by books of its own: tests/checker.py for each module, and the work sent to
cold endpoints by all of them together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from anisespool.lab.checker import Checker
from shuntlead import Balancer
from shuntlead import interface as api
from shuntlead.interface import Settings, Status
from tests.support import MS, SECOND

HOP_NS = 300_000  # one way, between any two
REPORT_NS = (370 * MS, 1_400 * MS)  # how old a load report grows before it is measured anew
TELL_NS = 100 * MS  # from a change to the modules' lists


@dataclass
class Machine:
    """An endpoint: `cores` requests at a time, each in its own service time over `speed`."""

    id: int
    cores: int = 3
    speed: float = 1.0
    most_waiting: int = 60
    fails: float = 0.0  # share of requests that it fails at once
    started: int = 0  # 0: long ago
    fallen: bool = False
    busy: int = 0
    waiting: deque[tuple[Job, int]] = field(default_factory=deque)
    load: tuple[float, float] = (0.0, 0.0)
    load_until: int = 0
    sent: deque[tuple[int, float]] = field(default_factory=deque)  # work that reached it while cold
    ran: dict[int, int] = field(default_factory=dict)  # request -> how often it was begun


@dataclass
class Job:
    """An attempt on its way."""

    module: int
    request: int
    attempt: int
    endpoint: int
    sent_at: int
    over: bool = False


@dataclass
class Try:
    """A client's request, with its tries."""

    came: int
    cls: int
    work_ns: int
    module: int
    tries: int = 0
    served_at: int = 0
    refused: int = 0
    failed: bool = False
    told: list[tuple[int, int]] = field(default_factory=list)  # when it was refused, and the wait told


class World:
    def __init__(
        self, settings: Settings, machines: list[Machine], modules: int = 1, seed: int = 1,
        client_tries: int = 1, module: Callable[[Settings, int], Any] = Balancer,
    ) -> None:  # fmt: skip
        self.settings, self.random, self.now = settings, Random(seed), 100 * SECOND
        self.machines = {m.id: m for m in machines}
        self.client_tries = client_tries
        self._order, self._queue = count(), list[tuple[int, int, Callable[[], None]]]()
        self._ids = count(1)
        self.modules: list[Any] = []
        self.checkers = [Checker(settings) for _ in range(modules)]
        self.open: dict[tuple[int, int], tuple[Try, int]] = {}  # with when it is due
        self.jobs: dict[tuple[int, int, int], Job] = {}
        self.done: list[Try] = []
        for n in range(modules):
            self.modules.append(module(settings, seed * 1000 + n))
            self._handle(n, self._roster(api.RosterForm.CACHED, list(machines)))

    # Time -------------------------------------------------------------------------------------------

    def at(self, when: int, what: Callable[[], None]) -> None:
        heappush(self._queue, (when, next(self._order), what))

    def run(self, until: int) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heappop(self._queue)
            what()
        self.now = max(self.now, until)

    def settle(self) -> None:
        """Until nothing is owed any more."""
        self.run(self.now + 3 * max(c.deadline_ns for c in self.settings.classes))
        assert not self.open, "a request was never answered"

    # Clients ----------------------------------------------------------------------------------------

    def ask(self, when: int, cls: int, work_ns: int, module: int) -> None:
        wish = Try(when, cls, work_ns, module)
        self.done.append(wish)
        self.at(when, lambda: self._ask(wish))

    def steady(
        self, start: int, seconds: float, rate: float, work_ns: int, cls: int = 0, spread: float = 0.0
    ) -> None:
        """Arrivals by chance at `rate` a second, each at any module; work with `spread` (0: all alike)."""
        when, end = float(start), start + seconds * SECOND
        while (when := when + self.random.expovariate(rate) * SECOND) < end:
            work = work_ns * (1 - spread + spread * self.random.expovariate(1.0))
            self.ask(int(when), cls, int(work), self.random.randrange(len(self.modules)))

    def _ask(self, wish: Try) -> None:
        wish.tries += 1
        cls, request = self.settings.classes[wish.cls], next(self._ids)
        # Each try is given the same time, as the site's clients do: its first is all that counts for service.
        self.open[wish.module, request] = wish, self.now + cls.deadline_ns
        self._handle(wish.module, api.Request(request, wish.cls, cls.deadline_ns))

    def _refused(self, wish: Try, wait: int) -> None:
        wish.refused += 1
        if wait:
            wish.told.append((self.now, wait))
        if wish.tries < self.client_tries:
            self.at(self.now + (wait or 50 * MS), lambda: self._ask(wish))

    # Modules ----------------------------------------------------------------------------------------

    def _handle(self, module: int, event: api.Event) -> None:
        self.checkers[module].event(self.now, event)
        actions = self.modules[module].handle(self.now, event)
        self.checkers[module].actions(self.now, actions)
        for action in actions:
            self._carry_out(module, action)

    def _carry_out(self, module: int, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(module, action)
            case api.Refuse() | api.Fail():
                wish, _ = self.open.pop((module, action.request))
                if isinstance(action, api.Fail):
                    wish.failed = True
                else:
                    self._refused(wish, action.retry_after_ns)
            case api.SetTimer():
                token = action.token
                self.at(self.now + action.delay_ns, lambda: self._handle(module, api.Timer(token)))
            case api.Cancel():
                if job := self.jobs.get((module, action.request, action.attempt)):
                    self._over(job, Status.CANCELLED)

    def _send(self, module: int, send: api.Send) -> None:
        number = len(self.checkers[module].requests[send.request].copies) - 1
        job = Job(module, send.request, number, send.endpoint, self.now)
        self.jobs[module, send.request, number] = job
        wish, due = self.open[module, send.request]
        until = min(self.now + send.timeout_ns, due) if send.timeout_ns else due
        self.at(until, lambda: self._over(job, Status.TIMEOUT))
        self.at(self.now + HOP_NS, lambda: self._arrive(job, wish.work_ns))

    def _over(self, job: Job, status: Status, load: tuple[float, ...] = ()) -> None:
        """The attempt ends for its module, once."""
        if job.over:
            return
        job.over = True
        del self.jobs[job.module, job.request, job.attempt]
        finished, key = status is Status.OK, (job.module, job.request)
        if finished and key in self.open:
            wish, _ = self.open.pop(key)
            wish.served_at = self.now
        event = api.Outcome(job.request, job.endpoint, job.attempt, self.now - job.sent_at, status,
                            finished or key not in self.open, load)  # fmt: skip
        self._handle(job.module, event)

    # Endpoints --------------------------------------------------------------------------------------

    def warmth(self, machine: Machine) -> float:
        """The part of its capacity that it has now."""
        if not machine.started:
            return 1.0
        s = self.settings
        return min(1.0, s.start_capacity + (1 - s.start_capacity) * (self.now - machine.started) / s.cold_ns)

    def _arrive(self, job: Job, work_ns: int) -> None:
        machine = self.machines[job.endpoint]
        if self.warmth(machine) < 1:
            self._weigh(machine, work_ns)
        if machine.fallen:
            return  # says nothing ever again
        if self.random.random() < machine.fails:
            self._reply(job, Status.ERROR, machine)
        elif len(machine.waiting) >= machine.most_waiting:
            self._reply(job, Status.FULL, machine)
        else:
            machine.waiting.append((job, work_ns))
            self._start(machine)

    def _weigh(self, machine: Machine, work_ns: int) -> None:
        """Rule 4: the work sent within any `fall_ns` stays under the multiple of what it can do then."""
        s, sent = self.settings, machine.sent
        sent.append((self.now, work_ns))
        while sent[0][0] <= self.now - s.fall_ns:
            sent.popleft()
        able = s.fall_multiple * machine.cores * machine.speed * self.warmth(machine) * s.fall_ns
        if sum(work for _, work in sent) > able:
            machine.fallen = True

    def _start(self, machine: Machine) -> None:
        while machine.waiting and machine.busy < machine.cores and not machine.fallen:
            job, work_ns = machine.waiting.popleft()
            if job.over:
                continue  # given up while it waited
            machine.busy += 1
            machine.ran[job.request] = machine.ran.get(job.request, 0) + 1
            took = int(work_ns / machine.speed / self.warmth(machine))
            self.at(self.now + took, lambda job=job: self._finish(machine, job))  # type: ignore[misc]

    def _finish(self, machine: Machine, job: Job) -> None:
        self._reply(job, Status.OK, machine)  # still held while its answer, with the report, is made
        machine.busy -= 1
        self._start(machine)

    def _reply(self, job: Job, status: Status, machine: Machine) -> None:
        if self.now >= machine.load_until:
            machine.load = float(len(machine.waiting)), float(machine.busy + len(machine.waiting))
            machine.load_until = self.now + self.random.randint(*REPORT_NS)
        load = machine.load
        if not machine.fallen:
            self.at(self.now + HOP_NS, lambda: self._over(job, status, load))

    def start_cold(self, machine: Machine) -> None:
        """A process that has just started takes the place of the one before."""
        machine.started, machine.busy = self.now, 0
        machine.waiting.clear()
        self._tell(machine, api.EndpointState.READY)

    def drain(self, machine: Machine) -> None:
        self._tell(machine, api.EndpointState.DRAINING)

    def _tell(self, machine: Machine, state: api.EndpointState) -> None:
        row = self._row(machine, state)
        for n in range(len(self.modules)):
            delay = TELL_NS + self.random.randrange(TELL_NS)
            self.at(self.now + delay, lambda n=n: self._handle(  # type: ignore[misc]
                n, api.Roster(2, api.RosterForm.DELTA, (row,))))  # fmt: skip

    def _row(self, machine: Machine, state: api.EndpointState = api.EndpointState.READY) -> api.Listed:
        return api.Listed(machine.id, 1.0, 0, 0, 0, state, machine.started)

    def _roster(self, form: api.RosterForm, machines: list[Machine]) -> api.Roster:
        return api.Roster(1, form, tuple(self._row(m) for m in machines))

    # What came of it --------------------------------------------------------------------------------

    def between(self, start: int, end: int) -> Iterator[Try]:
        return (t for t in self.done if start <= t.came < end)

    def check(self) -> None:
        """Rules 1 to 4 over all that has been, by the world's own books."""
        assert not any(m.fallen for m in self.machines.values()), "rule 4: a cold endpoint was pushed over"
        for checker in self.checkers:
            checker.nothing_owed(self.now)


@dataclass
class Count:
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0  # in the end: refused by every try
    failed: int = 0

    @classmethod
    def of(cls, world: World, start: int = 0, end: int = 10**18) -> Count:
        found = cls()
        for t in world.between(start, end):
            found.asked += 1
            if t.served_at:
                target = world.settings.classes[t.cls].target_ns
                in_time = t.served_at - t.came <= target
                found.in_time, found.late = found.in_time + in_time, found.late + (not in_time)
            elif t.failed:
                found.failed += 1
            else:
                found.refused += 1
        return found
