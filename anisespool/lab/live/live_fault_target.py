"""Applies the scenario's faults to the endpoints and the network of a run with real processes."""

from __future__ import annotations

from typing import Protocol

import msgspec

from anisespool.balancer.interface import EndpointState
from anisespool.lab.live.arrival_log import ArrivalLog
from anisespool.lab.live.connection_proxy import ListenerState
from anisespool.lab.live.endpoint_list_feeds import EndpointListFeeds
from anisespool.lab.live.proxy_table import ProxyTable
from anisespool.lab.live.wall_clock import WallClock
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.faults import ProcessFault
from anisespool.lab.model.random_streams import RandomStream
from anisespool.lab.model.watch_delay import WatchDelay
from anisespool.lab.scenario import SECOND, Endpoints, Link, Scenario

MIN_CUT_S = 0.001


class FaultBackend(Protocol):
    """The parts of the backend that faults act on (live_backend.py)."""

    scenario: Scenario
    scenario_start: int
    endpoints: list[Endpoint]
    watch_delay: WatchDelay
    clock: WallClock
    zones: list[int]
    arrival_log: ArrivalLog
    proxies: ProxyTable
    feeds: EndpointListFeeds

    def make_endpoint(self, number: int, group: int, spec: Endpoints, random: RandomStream) -> Endpoint:
        """Return a new machine of a group of endpoints."""

    def add_link(self, link: Link) -> None:
        """Add a faulty link between nodes, starting now."""

    def apply_links(self) -> None:
        """Apply the link faults that are in effect now to listeners and discoveries."""


class LiveFaultTarget:
    """The target on which the model's schedule of faults acts (`FaultTarget` in lab/model/faults.py)."""

    def __init__(self, backend: FaultBackend, machine_draws: RandomStream) -> None:
        self.scenario: Scenario = backend.scenario
        self.scenario_start: int = backend.scenario_start
        self.endpoints: list[Endpoint] = backend.endpoints
        self.watch_delay: WatchDelay = backend.watch_delay
        self._backend = backend
        self._machine_draws = machine_draws

    @property
    def clock(self) -> WallClock:
        """The machine's clock."""
        return self._backend.clock

    def log(self, *words: object) -> None:
        """Record a fault for the history of the run; other entries of the model's log are ignored."""
        if words[0] == "trouble":
            self._backend.arrival_log.add_fault_note(self.clock.now, " ".join(map(str, words[1:])))

    def set_traffic_factor(self, factor: float) -> None:
        """Do nothing: the clients' plan contains it."""

    def set_tenant_traffic_factor(self, tenant: int, factor: float) -> None:
        """Do nothing: the clients' plan contains it."""

    def set_zone_traffic_factor(self, zone: int, factor: float) -> None:
        """Do nothing: the clients' plan contains it."""

    def apply_process_fault(self, process_fault: ProcessFault) -> None:
        """Do nothing: the process that started the members injects it."""

    def isolate_zone(self, zone: int, begins: bool, until: int) -> None:
        """Cut a zone off from all others in both directions, and stop its sidecars' list updates."""
        if not begins:
            return
        for_s = max(MIN_CUT_S, (until - self.clock.now) / SECOND)
        for carries in ("requests", "talk"):
            link = {
                "at_s": 0,
                "for_s": for_s,
                "from": f"zone:{zone}",
                "to": f"!zone:{zone}",
                "both": True,
                "cut": "silent",
                "carries": carries,
            }
            self._backend.add_link(msgspec.convert(link, Link))
        self._backend.apply_links()
        in_zone = [number for number, own_zone in enumerate(self._backend.zones) if own_zone == zone]
        self.watch_delay.hold_back(until, in_zone)

    def add_replacement(self, endpoint: Endpoint) -> Endpoint:
        """Add another machine to the endpoint's group, under a new name and warming up."""
        number = len(self.endpoints) + 1
        new = self._backend.make_endpoint(number, endpoint.group, endpoint.spec, self._machine_draws)
        new.restart(self.clock.now)
        self.endpoints.append(new)
        self._backend.proxies.add(new)
        return new

    def make_unreachable(self, endpoint: Endpoint) -> None:
        """Leave new connections to the endpoint hanging."""
        self._backend.proxies.shut(endpoint, ListenerState.SILENT)

    def reset_connections(self, endpoint: Endpoint) -> None:
        """Reset the endpoint's connections; a dead endpoint also refuses new ones."""
        self._backend.proxies.drop_connections(endpoint)

    def publish(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Send a change of the endpoint to every sidecar, each with its own delay."""
        endpoint.list_state = state
        if state is EndpointState.READY:
            self._backend.proxies.open(endpoint)
            self._backend.apply_links()  # a link may still be cut
        self._backend.feeds.publish(endpoint, state)

    def publish_all(self, with_entries: bool) -> None:
        """Send the complete list, or an empty one if `with_entries` is false (a registry that was wiped)."""
        self._backend.feeds.publish_complete(self.endpoints, is_empty=not with_entries)
