"""Delivery of the endpoint list from the registry to each simulated sidecar."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointListKind, EndpointState
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.link_selector import DISCOVERY
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.simulated_run import SimulatedRun
from anisespool.lab.model.watch_delay import ListChange, listed_endpoints

UPDATE_BYTES = 200  # size of an update on a link with a limited rate


class EndpointListPublisher:
    """The registry of endpoints, and each sidecar's watch, on which it receives changes."""

    def __init__(self, run: SimulatedRun) -> None:
        self._run = run
        self._scenario = run.scenario
        self._clock = run.clock
        self._watch_delay = run.watch_delay
        self._last_arrival = [0] * run.scenario.sidecars  # of each watch, ns, with the delay by links

    def _listing(self, endpoint: Endpoint) -> api.EndpointListing:
        nominal = self._scenario.membership.weights == "nominal"
        weight = endpoint.spec.cores * endpoint.spec.speed if nominal else 1.0
        return api.EndpointListing(
            endpoint.id,
            weight,
            0,
            endpoint.group,
            endpoint.spec.zone,
            endpoint.list_state,
            endpoint.started_at,
        )

    def _listings(self) -> tuple[api.EndpointListing, ...]:
        return tuple(map(self._listing, listed_endpoints(self._run.endpoints)))

    def initial(self, sidecar: Sidecar) -> api.EndpointListUpdate:
        """The complete list with which a new process starts."""
        revision = self._watch_delay.start_watch(sidecar.slot, self._clock.now)
        return api.EndpointListUpdate(revision, EndpointListKind.CACHED, self._listings())

    def publish(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Changes an endpoint's state in the list. Each sidecar is notified after its own delay."""
        endpoint.list_state = state
        listing = self._listing(endpoint)
        for change in self._watch_delay.schedule_change(self._clock.now):
            event = api.EndpointListUpdate(change.revision, EndpointListKind.DELTA, (listing,))
            sidecar = self._run.serving(change.sidecar)
            arrives_at = self._arrives_at(change, sidecar) if self._run.links else change.at
            self._clock.at(arrives_at, self._receive, sidecar, sidecar.incarnation, event)

    def _arrives_at(self, change: ListChange, sidecar: Sidecar) -> int:
        """When the change arrives, ns, delayed by links. On a watch no change overtakes an earlier one."""
        links = self._run.links
        delay = links.stream_delay(change.at, DISCOVERY, sidecar.node, UPDATE_BYTES, "lists")
        cut_until = links.impairment_between(change.at, DISCOVERY, sidecar.node, "lists").cut_until
        arrives_at = change.at + delay if isinstance(delay, int) else cut_until
        arrives_at = max(arrives_at, self._last_arrival[change.sidecar])
        self._last_arrival[change.sidecar] = arrives_at
        return arrives_at

    def publish_all(self, with_entries: bool) -> None:
        """Sends every sidecar the complete list, or an empty one as a wiped registry does."""
        listings = self._listings() if with_entries else ()
        event = api.EndpointListUpdate(
            self._watch_delay.record_complete_list(), EndpointListKind.FULL, listings
        )
        for slot in range(self._scenario.sidecars):
            self._run.handle(self._run.serving(slot), event)

    def _receive(self, sidecar: Sidecar, incarnation: int, event: api.EndpointListUpdate) -> None:
        if sidecar.frozen_until > self._clock.now:
            self._clock.at(sidecar.frozen_until, self._receive, sidecar, incarnation, event)
        elif sidecar.incarnation == incarnation and self._watch_delay.receive_change(
            sidecar.slot, event.version
        ):
            _drop_stale_connections(sidecar, event)
            self._run.handle(sidecar, event)


def _drop_stale_connections(sidecar: Sidecar, event: api.EndpointListUpdate) -> None:
    """Drops idle connections to endpoints not ready or restarted, as their processes may have ended."""
    for listing in event.entries:
        if listing.state != EndpointState.READY or listing.started_ns:
            sidecar.idle_connections.pop(listing.endpoint, None)
