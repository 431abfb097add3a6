"""A simulated run: a fleet in virtual time, with the real decision module in each sidecar.

docs/lab.md describes what is modelled, and how coarsely. The parts of a run:

- `clients` sends requests and checks responses, `attempts` carries them to endpoints and back;
- `Backend`, the base class, executes requests at the endpoints;
- `endpoint_list` delivers endpoint lists to sidecars, `gossip` carries messages between sidecars;
- `processes` holds the sidecars and applies faults to their processes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

from anisespool.balancer import Balancer
from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, EndpointState, Settings
from anisespool.lab.model.arrivals import Arrivals
from anisespool.lab.model.attempts import Attempts
from anisespool.lab.model.backend import Backend, span_ns
from anisespool.lab.model.checker import RuleError
from anisespool.lab.model.clients import Clients
from anisespool.lab.model.clock import Clock
from anisespool.lab.model.endpoint import Endpoint, Job
from anisespool.lab.model.endpoint_list import EndpointListPublisher
from anisespool.lab.model.faults import ProcessFault, schedule
from anisespool.lab.model.gossip import Gossip
from anisespool.lab.model.links import Links
from anisespool.lab.model.metrics import ClientRequest, RunMetrics
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.sidecar_processes import SidecarProcesses
from anisespool.lab.model.watch_delay import WatchDelay
from anisespool.lab.scenario import MS, SECOND, Scenario

__all__ = ["VIRTUAL_START_NS", "ModuleFactory", "Sidecar", "World", "make_balancer"]

VIRTUAL_START_NS = 100 * SECOND  # start of the run: not 0, which the decision module takes for "never"
SETTLE_NS = 10 * SECOND  # time that the run continues after the last deadlines
ModuleFactory = Callable[[Settings, int, "World"], Any]


def make_balancer(settings: Settings, seed: int, world: World) -> Any:
    """Creates the real decision module."""
    return Balancer(settings, seed)


class World(Backend):
    """One run of a scenario.

    It implements `SimulatedRun` for its parts and `FaultTarget` for the scenario's faults.

    Attributes:
        scenario_start: Start of the scenario time, after the warm-up, ns.
        scenario_end: End of the scenario time, ns.
        broken: One-line description of the first broken rule, which ends the run; empty without one.
    """

    def __init__(
        self, scenario: Scenario, seed: int, module: ModuleFactory = make_balancer, logged: bool = False
    ) -> None:
        self.clock: Clock
        self._streams = RandomStreams(seed)
        super().__init__(scenario, self._streams, Clock(VIRTUAL_START_NS))
        self.seed = seed
        self.broken = ""
        self._module = module
        self._log_digest = hashlib.blake2b(digest_size=16) if logged else None
        self._endpoint_random = self._streams.named("machines")
        self.scenario_start, self.scenario_end = span_ns(scenario, VIRTUAL_START_NS)
        self.metrics = RunMetrics(scenario, self.scenario_start)
        self.watch_delay = WatchDelay(scenario, self._streams.named("membership"))
        self.links = Links(scenario.links, self._streams.named("links"), self.scenario_start)
        self.clients = Clients(self)
        self.attempts = Attempts(self, self.clients, self._streams)
        self.endpoint_list = EndpointListPublisher(self)
        self.gossip = Gossip(self)
        self.processes = SidecarProcesses(
            self, self.clients, self.attempts, self.endpoint_list, self._make_module
        )
        self.sidecars = self.processes.sidecars
        span = (VIRTUAL_START_NS, self.scenario_start, self.scenario_end)
        self.arrivals = Arrivals(
            scenario, self._streams.named("arrivals"), self.clock, span, self.on_client_request
        )

    def run(self) -> RunMetrics:
        """Runs the scenario until all requests have ended, or until a rule is broken.

        Raises:
            VoidError: The model's own counts do not balance.
        """
        try:
            self._run_to_end()
        except RuleError as error:
            self.broken = str(error)
        return self.metrics

    def _run_to_end(self) -> None:
        self.processes.start_all()
        schedule(self, self._streams.named("troubles"), self._streams.named("processes"))
        self.arrivals.start()
        self.clock.run(self.scenario_end)
        deadline_ms = max(request_class.deadline_ms for request_class in self.scenario.classes)
        longest_ms = deadline_ms * self.scenario.clients.max_attempts
        self.clock.run(self.scenario_end + int(2 * longest_ms * MS) + SETTLE_NS)
        for sidecar in self.sidecars:
            sidecar.checker.check_all_answered(self.clock.now)
        self.metrics.check_balance(self.clock.now)

    def _make_module(self, sidecar: Sidecar) -> Any:
        seed = self.seed * 1_000_003 + sidecar.number * 101 + sidecar.incarnation
        return self._module(sidecar.settings, seed, self)

    def on_client_request(self, client_request: ClientRequest) -> None:
        """Handles the arrival of a client request: the client sends it for the first time."""
        self.clients.start(client_request)

    def serving(self, slot: int) -> Sidecar:
        """The sidecar that currently serves a slot's clients."""
        return self.processes.serving(slot)

    def log(self, *values: object) -> None:
        """Adds a line to the run's log. Only a digest of the log is kept."""
        if self._log_digest:
            self._log_digest.update(" ".join(map(str, (self.clock.now, *values, "\n"))).encode())

    @property
    def digest(self) -> str:
        """Digest of the log, equal for equal runs; empty if the run was not logged."""
        return self._log_digest.hexdigest() if self._log_digest else ""

    def handle(self, sidecar: Sidecar, event: api.Event) -> None:
        """Passes an event to a sidecar's module and performs the returned actions."""
        now = self.clock.now
        if isinstance(event, api.EndpointListUpdate):
            self._record_list(sidecar, event)
        sidecar.checker.observe(now, event)
        actions = sidecar.module.handle(now, event)
        sidecar.checker.check(now, actions)
        for action in actions:
            self._perform(sidecar, action)

    def _record_list(self, sidecar: Sidecar, event: api.EndpointListUpdate) -> None:
        sidecar.known_starts |= {listing.endpoint: listing.started_ns for listing in event.entries}
        if self.clock.now >= self.scenario_start:
            self.metrics.list_entries += len(event.entries)

    def _perform(self, sidecar: Sidecar, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.attempts.send(sidecar, action)
        elif isinstance(action, api.SetTimer):
            self.clock.after(action.delay_ns, self._expire, sidecar, sidecar.incarnation, action.token)
        elif isinstance(action, api.Reject | api.Fail):
            self.clients.respond(sidecar, action)
        elif isinstance(action, api.Cancel):
            self.attempts.cancel(sidecar, action)
        elif isinstance(action, api.SendGossip) and self.scenario.talk:
            self.gossip.send(sidecar, action)

    def _expire(self, sidecar: Sidecar, incarnation: int, token: int) -> None:
        if sidecar.frozen_until > self.clock.now:
            self.clock.at(sidecar.frozen_until, self._expire, sidecar, incarnation, token)
        elif sidecar.incarnation == incarnation:
            self.handle(sidecar, api.TimerExpired(token))

    def sidecar_knows_start(self, job: Job, endpoint: Endpoint) -> bool:
        """Whether the job's sidecar has been notified of the endpoint's last start."""
        return self.sidecars[job.sidecar].known_starts.get(endpoint.id) == endpoint.started_at

    def send_response(
        self, endpoint: Endpoint, job: Job, status: AttemptStatus, load: tuple[float, ...]
    ) -> None:
        """Sends an endpoint's response, with a load report, back to the sidecar."""
        self.attempts.send_response(endpoint, job, status, load)

    def publish(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Changes an endpoint's state in the list."""
        self.endpoint_list.publish(endpoint, state)

    def publish_all(self, with_entries: bool) -> None:
        """Sends every sidecar the complete list, or an empty one."""
        self.endpoint_list.publish_all(with_entries)

    def reset_connections(self, endpoint: Endpoint) -> None:
        """Resets an endpoint's connections, in use and idle."""
        self.attempts.reset_connections(endpoint)

    def make_unreachable(self, endpoint: Endpoint) -> None:
        """Does nothing: with `faults.vanished` the simulation loses the endpoint's messages."""

    def set_traffic_factor(self, factor: float) -> None:
        """Multiplies the traffic of all clients."""
        self.arrivals.set_traffic_factor(factor)

    def set_tenant_traffic_factor(self, tenant: int, factor: float) -> None:
        """Multiplies one tenant's traffic."""
        self.arrivals.set_tenant_traffic_factor(tenant, factor)

    def set_zone_traffic_factor(self, zone: int, factor: float) -> None:
        """Multiplies one zone's traffic. Other zones get less: the total stays the same."""
        self.arrivals.set_zone_traffic_factor(zone, factor)

    def isolate_zone(self, zone: int, begins: bool, until: int) -> None:
        """Isolates a zone, or ends its isolation. Its sidecars get no endpoint updates before `until`."""
        self.attempts.isolate_zone(zone, begins)
        if begins:
            self.watch_delay.hold_back(until, [s.slot for s in self.sidecars if s.zone == zone])

    def add_replacement(self, endpoint: Endpoint) -> Endpoint:
        """Adds a new endpoint of the same group. It has to warm up, and is not listed yet."""
        new = self.make_endpoint(
            len(self.endpoints) + 1, endpoint.group, endpoint.spec, self._endpoint_random
        )
        new.restart(self.clock.now)
        self.endpoints.append(new)
        return new

    def apply_process_fault(self, process_fault: ProcessFault) -> None:
        """Applies a fault to a sidecar's process."""
        self.processes.apply(process_fault)
