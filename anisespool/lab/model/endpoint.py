"""A simulated endpoint: cores, a queue, a warm-up in which it can be overloaded, and what is wrong with it.

A request's service time is fixed when its execution begins, by the endpoint's speed at that moment.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.balancer.interface import AttemptStatus, EndpointState
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.scenario import MS, SECOND, Endpoints, Rules

OVERLOAD_SLACK = 1.1  # the platform's limit has "a little slack for chance"


@dataclass(slots=True)
class Job:
    """An attempt, from its send until its module has been notified of its outcome.

    Attributes:
        number: Of the request's attempts, from 0.
        incarnation: Which process of the endpoint it was sent to.
        over: Its module has been notified of its outcome.
        connected: Its request has left on a connection.
        fresh: It opened a connection of its own.
        stopped: It was cancelled at the endpoint, or has been executed.
        held_until: A link delays it until then, ns.
    """

    sidecar: int
    request: int
    attempt: int
    endpoint: int
    sent_at: int
    work_ns: int
    client_request: ClientRequest
    incarnation: int = 0
    ended: bool = False
    connected: bool = False
    fresh: bool = False
    running: bool = False
    stopped: bool = False
    held_until: int = 0


@dataclass
class EndpointFaults:
    """What is wrong with an endpoint now.

    Attributes:
        slowdown: Multiplies service times.
        failure_rate: Share of requests that fail.
        stolen_cpu: Share of its machine that a neighbour takes.
        paused_until: It sends no response before then, ns.
        loses: Share of its responses that are lost.
        delay: Multiplies the time of messages to and from it.
        dead: It refuses connections.
        vanished: Its machine sends nothing, and nothing reaches it.
    """

    slowdown: float = 1.0
    failure_rate: float = 0.0
    stolen_cpu: float = 0.0
    paused_until: int = 0
    response_loss: float = 0.0
    delay_factor: float = 1.0
    dead: bool = False
    vanished: bool = False


class WarmupArrival(NamedTuple):
    """Work that arrived while the endpoint was warming up."""

    at: int  # ns
    work_ns: int
    notified: bool  # its sidecar knew that the endpoint had started


@dataclass
class Endpoint:
    """One endpoint, of one group of the scenario.

    Attributes:
        id: From 1.
        kind: Index of its group.
        speed: Work done per second of each core.
        started: When its process started, ns; 0: long ago.
        listed: Its state in the registry.
        overloaded: It was sent too much while it was warming up, and stays down.
        busy: Cores in use.
        faults: What is wrong with it.
        busy_ns: Core time spent so far.
        incarnation: Counts its restarts: which process it is.
    """

    id: int
    group: int
    spec: Endpoints
    rules: Rules
    speed: float
    started_at: int = 0
    list_state: EndpointState = EndpointState.READY
    overloaded: bool = False
    busy_cores: int = 0
    connections: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    busy_ns: int = 0
    incarnation: int = 0
    _load_report: tuple[float, ...] = ()
    _load_report_until: int = 0
    _warmup_arrivals: deque[WarmupArrival] = field(default_factory=deque)

    def capacity_share(self, now: int) -> float:
        """Share of its capacity that it has: `start_capacity` at its start, rising evenly to 1."""
        if not self.started_at:
            return 1.0
        initial = self.rules.start_capacity
        warmup_ns = self.rules.cold_s * SECOND
        return min(1.0, initial + (1 - initial) * (now - self.started_at) / warmup_ns)

    def core_speed(self, now: int) -> float:
        """Work done per second of one core now."""
        return self.speed * self.capacity_share(now) * (1 - self.faults.stolen_cpu) / self.faults.slowdown

    def check_overload(self, now: int, work_ns: int, notified: bool) -> bool:
        """Rule 4: counts work that has arrived, and overloads an endpoint that is still warming up by it.

        The work that arrives within `fall_ms` must stay below `fall_multiple` of what the endpoint can do
        then. The request with the most work is not counted: nobody can know its work before its execution,
        and it alone may exceed the limit.

        Args:
            now: Present moment, ns.
            work_ns: What has arrived.
            notified: Whether the sidecar that sent it knows of the endpoint's start.

        Returns:
            True if the rule was broken: two thirds came from sidecars that knew of the start.
        """
        if not self.started_at or self.overloaded or self.capacity_share(now) >= 1:
            return False
        arrivals = self._warmup_arrivals
        window_ns = self.rules.fall_ms * MS
        arrivals.append(WarmupArrival(now, work_ns, notified))
        while arrivals[0].at <= now - window_ns:
            arrivals.popleft()
        limit = self.rules.fall_multiple * self.spec.cores * self.speed * self.capacity_share(now) * window_ns
        total = sum(arrival.work_ns for arrival in arrivals)
        largest = max(arrival.work_ns for arrival in arrivals)
        self.overloaded = total - largest > limit * OVERLOAD_SLACK
        return self.overloaded and 3 * sum(a.work_ns for a in arrivals if a.notified) >= 2 * total

    def enqueue(self, job: Job) -> AttemptStatus | None:
        """Accepts a request; returns FULL if the queue has no room for it."""
        if len(self.waiting) >= self.spec.waiting and self.busy_cores >= self.spec.cores:
            return AttemptStatus.FULL
        self.waiting.append(job)
        return None

    def start_next(self) -> Job | None:
        """Takes the next request from the queue, if a core is free. Cancelled ones are dropped."""
        while self.waiting and self.busy_cores < self.spec.cores and not self.overloaded:
            job = self.waiting.popleft()
            if not job.stopped:
                self.busy_cores += 1
                job.running = True
                return job
        return None

    def load_report(self, now: int, columns: tuple[str, ...], valid_until: int) -> tuple[float, ...]:
        """The load report that goes with a response; measured anew when the last has grown old."""
        if now >= self._load_report_until:
            queued = len(self.waiting)
            loads = {"queue": float(queued), "inflight": float(queued + self.busy_cores)}
            self._load_report = tuple(loads[column] for column in columns)
            self._load_report_until = valid_until
        return self._load_report

    def restart(self, now: int) -> None:
        """Starts another process in its place, which has to warm up. Requests of the old one are lost."""
        self.waiting.clear()
        self._warmup_arrivals.clear()
        self.busy_cores = 0
        self.connections = 0
        self.started_at = now
        self.overloaded = False
        self.incarnation += 1
        self.faults.dead = False
        self.faults.vanished = False
