"""A simulated endpoint: cores, a queue, faults, and a warm-up in which it can be overloaded.

A request's service time is fixed when its execution begins, by the endpoint's speed at that moment.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.balancer.interface import AttemptStatus, EndpointState
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.scenario import MS, SECOND, Endpoints, Rules

OVERLOAD_SLACK = 1.1  # tolerance for random variation, as a factor of the platform's limit


@dataclass(slots=True)
class Job:
    """An attempt, from the moment it is sent until its outcome is reported to the decision module.

    Attributes:
        attempt: Index of the attempt among those of its request, from 0.
        incarnation: Incarnation of the endpoint's process to which the attempt was sent.
        ended: The decision module has been notified of the outcome.
        connected: The request has been sent on a connection.
        fresh: The attempt opened a new connection.
        running: The endpoint is executing the request.
        endpoint_done: The endpoint has executed or cancelled the request.
        delayed_until: Time until which a link delays the request, ns.
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
    endpoint_done: bool = False
    delayed_until: int = 0


@dataclass
class EndpointFaults:
    """The faults of an endpoint that are in effect.

    Attributes:
        slowdown: Factor of service times.
        failure_rate: Share of requests that fail.
        stolen_cpu: Share of the machine's CPU that a neighbour uses.
        paused_until: Time before which no response is sent, ns.
        response_loss: Share of responses that the network loses.
        delay_factor: Factor of the network delay to and from the endpoint.
        dead: The process does not run. The machine does, and refuses connections.
        vanished: The machine is unreachable: all messages to and from it are lost.
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
    """Work that arrived while the endpoint was warming up.

    Attributes:
        at: Time of arrival, ns.
        notified: The sidecar that sent it had been notified of the endpoint's start.
    """

    at: int
    work_ns: int
    notified: bool


@dataclass
class Endpoint:
    """An endpoint of one of the scenario's groups.

    Attributes:
        id: Number of the endpoint, from 1.
        group: Index of its group in the scenario.
        speed: Work that each core does per second.
        started_at: When the process started, ns; 0: before the run, and it has warmed up.
        list_state: State in the registry's list.
        overloaded: It received too much work while it warmed up, and stays down until a restart.
        busy_ns: Core time spent on requests so far.
        incarnation: Number of restarts, which identifies the process.
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
        """Share of the full capacity: `start_capacity` at the start, rising linearly to 1."""
        if not self.started_at:
            return 1.0
        initial = self.rules.start_capacity
        warmup_ns = self.rules.cold_s * SECOND
        return min(1.0, initial + (1 - initial) * (now - self.started_at) / warmup_ns)

    def core_speed(self, now: int) -> float:
        """Work that one core does per second now."""
        return self.speed * self.capacity_share(now) * (1 - self.faults.stolen_cpu) / self.faults.slowdown

    def record_arrived_work(self, now: int, work_ns: int, notified: bool) -> bool:
        """Records arrived work, and sets `overloaded` if an endpoint that warms up gets too much (rule 4).

        The work that arrives within `fall_ms` has to stay below `fall_multiple` times what the endpoint can
        do in that window. The request with the most work is not counted: its work is unknown before its
        execution, and may exceed the limit on its own.

        Args:
            notified: Whether the sidecar that sent it has been notified of the endpoint's start.

        Returns:
            True if the rule was broken: sidecars notified of the start sent at least two thirds of the work.
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
        """Adds a request to the queue, or returns FULL if the queue is at its limit."""
        if len(self.waiting) >= self.spec.waiting and self.busy_cores >= self.spec.cores:
            return AttemptStatus.FULL
        self.waiting.append(job)
        return None

    def start_next(self) -> Job | None:
        """Takes the next request from the queue, if a core is free. Cancelled requests are dropped."""
        while self.waiting and self.busy_cores < self.spec.cores and not self.overloaded:
            job = self.waiting.popleft()
            if not job.endpoint_done:
                self.busy_cores += 1
                job.running = True
                return job
        return None

    def load_report(self, now: int, columns: tuple[str, ...], valid_until: int) -> tuple[float, ...]:
        """The last load report; if it has expired, a new one that expires at `valid_until`, ns."""
        if now >= self._load_report_until:
            queued = len(self.waiting)
            loads = {"queue": float(queued), "inflight": float(queued + self.busy_cores)}
            self._load_report = tuple(loads[column] for column in columns)
            self._load_report_until = valid_until
        return self._load_report

    def restart(self, now: int) -> None:
        """Replaces the process by a new one, which has to warm up. Requests of the old one are lost."""
        self.waiting.clear()
        self._warmup_arrivals.clear()
        self.busy_cores = 0
        self.connections = 0
        self.started_at = now
        self.overloaded = False
        self.incarnation += 1
        self.faults.dead = False
        self.faults.vanished = False
