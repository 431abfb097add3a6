"""The endpoints of a run: they queue, execute, fail and cancel the requests that arrive.

The simulation runs this code in virtual time, and a run with real processes runs it behind sockets. Endpoints
therefore behave the same. Only the sidecar, its sockets and its machine are simulated in one and real in the
other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from anisespool.balancer.interface import AttemptStatus
from anisespool.lab.model.checker import require
from anisespool.lab.model.endpoint import Endpoint, Job
from anisespool.lab.model.link_selector import Node
from anisespool.lab.model.random_streams import RandomStream, RandomStreams
from anisespool.lab.scenario import MS, SECOND, Endpoints, Scenario

RESET_SHARE = 0.5  # share of lost responses that end as a reset; the others end as a time-out


class Scheduler(Protocol):
    """A clock that calls functions later: virtual, or the machine's own."""

    @property
    def now(self) -> int:
        """The clock's current time, ns."""

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules `callback(*arguments)` at the time `when`, ns, on the clock of `now`."""

    def after(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules `callback(*arguments)` after a delay, ns."""


class Backend:
    """All endpoints of a run.

    Its methods raise RuleError if an execution breaks rule 2 or 4.
    """

    def __init__(self, scenario: Scenario, streams: RandomStreams, clock: Scheduler) -> None:
        self.scenario = scenario
        self.clock = clock
        self._failure_random = streams.named("failures")
        self._report_random = streams.named("reports")
        self.endpoints = list(self._create_endpoints(streams))

    def _create_endpoints(self, streams: RandomStreams) -> Iterator[Endpoint]:
        random = streams.named("endpoints")
        number = 0
        for group, spec in enumerate(self.scenario.endpoints):
            for _ in range(spec.count):
                number += 1
                yield self.make_endpoint(number, group, spec, random)

    def make_endpoint(self, number: int, group: int, spec: Endpoints, random: RandomStream) -> Endpoint:
        """Creates an endpoint of a group, and draws its speed."""
        speed = spec.speed * random.uniform(1 - spec.speed_spread, 1 + spec.speed_spread)
        return Endpoint(number, group, spec, self.scenario.rules, speed)

    def sidecar_knows_start(self, job: Job, endpoint: Endpoint) -> bool:
        """Whether the job's sidecar has been notified of the endpoint's last start."""
        raise NotImplementedError

    def send_response(
        self, endpoint: Endpoint, job: Job, status: AttemptStatus, load: tuple[float, ...]
    ) -> None:
        """Sends a response, with a load report, back to the sidecar."""
        raise NotImplementedError

    def receive_request(self, job: Job) -> None:
        """Handles a request that has arrived in full: the endpoint queues, executes, fails or rejects it."""
        endpoint = self.endpoints[job.endpoint - 1]
        if endpoint.incarnation != job.incarnation or endpoint.faults.dead:
            return  # the process has ended, and the sidecar got a reset
        rule_4_broken = endpoint.record_arrived_work(
            self.clock.now, job.work_ns, self.sidecar_knows_start(job, endpoint)
        )
        require(not rule_4_broken, f"rule 4: endpoint {endpoint.id} was pushed over while it was cold")
        if endpoint.overloaded or endpoint.faults.vanished:
            return  # the request is lost, and the sidecar gets no answer
        failure_rate = endpoint.faults.failure_rate
        if failure_rate and self._failure_random.uniform() < failure_rate:
            job.client_request.executions += 1
            self._respond(endpoint, job, AttemptStatus.ERROR)
            return
        if rejection := endpoint.enqueue(job):
            self._respond(endpoint, job, rejection)
            return
        self._execute_queued(endpoint)

    def cancel_request(self, job: Job) -> None:
        """Closes a job's connection, and cancels its request if the group's `cancel` setting covers it."""
        endpoint = self.endpoints[job.endpoint - 1]
        if endpoint.incarnation != job.incarnation or job.endpoint_done:
            return
        endpoint.connections -= 1
        if endpoint.spec.cancel == "none":
            return
        if not job.running:
            job.endpoint_done = True
        elif endpoint.spec.cancel == "all":
            job.endpoint_done = True
            job.running = False
            endpoint.busy_cores -= 1
            self._execute_queued(endpoint)

    def _execute_queued(self, endpoint: Endpoint) -> None:
        """Begins to execute requests from the queue while cores are free."""
        now = self.clock.now
        while job := endpoint.start_next():
            client_request = job.client_request
            client_request.executions += 1
            single_execution = self.scenario.classes[client_request.class_index].effect == "once"
            require(
                not single_execution or client_request.executions == 1,
                f"rule 2: wish {client_request.number} ran twice",
            )
            service_time = int(job.work_ns / endpoint.core_speed(now))
            endpoint.busy_ns += service_time
            self.clock.after(max(1, service_time), self._finish_execution, endpoint, job)

    def _finish_execution(self, endpoint: Endpoint, job: Job) -> None:
        if endpoint.incarnation != job.incarnation or job.endpoint_done:
            return
        if self.clock.now < endpoint.faults.paused_until:
            self.clock.at(endpoint.faults.paused_until, self._finish_execution, endpoint, job)
            return
        job.running = False
        job.endpoint_done = True
        self._respond(endpoint, job, AttemptStatus.OK)  # first: its load report includes this request
        endpoint.busy_cores -= 1
        self._execute_queued(endpoint)

    def _respond(self, endpoint: Endpoint, job: Job, status: AttemptStatus) -> None:
        if endpoint.faults.vanished or endpoint.overloaded:
            return
        now = self.clock.now
        new_valid_until = now + int(self._report_random.uniform(*self.scenario.reports.every_ms) * MS)
        self.send_response(endpoint, job, status, endpoint.load_report(now, self.columns, new_valid_until))

    @property
    def columns(self) -> tuple[str, ...]:
        """Names of the values in a load report."""
        return tuple(self.scenario.reports.columns)


def node_of(endpoint: Endpoint) -> Node:
    """The endpoint as a node, in the form that selectors of links match."""
    return Node("endpoint", endpoint.id - 1, endpoint.spec.zone)


def hop_ns(scenario: Scenario, same_zone: bool, spread_factor: float, delay_factor: float) -> int:
    """One-way delay between a sidecar and an endpoint, ns.

    Args:
        spread_factor: Factor of random variation, drawn for this message; 1: the mean delay.
        delay_factor: Factor by which a fault of the endpoint multiplies the delay.
    """
    network = scenario.network
    mean_ms = network.same_ms if same_zone else network.cross_ms
    return int(mean_ms * MS * spread_factor * delay_factor)


def span_ns(scenario: Scenario, first: int) -> tuple[int, int]:
    """Start and end of the scenario time, ns, in a run that begins at `first`, with its warm-up."""
    start = first + int(scenario.warm_s * SECOND)
    return start, start + int(scenario.seconds * SECOND)
