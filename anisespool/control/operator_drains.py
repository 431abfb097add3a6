"""The endpoints that the operator drains: by the configuration, by the agent, or by hand at this instance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from anisespool.config import operator
from anisespool.control.errors import (
    DrainedElsewhereError,
    LastEndpointError,
    StaleDrainRevisionError,
    TooManyDrainsError,
)
from anisespool.control.requests import FleetDrainsRequest
from anisespool.discovery.drains import leaves_no_ready_endpoint
from anisespool.proxy.event_log import OperatorDrainsChanged
from anisespool.proxy.observed import ObservedProxy

MAX_ENDPOINTS_IN_EVENT = 256


class DrainSource(Enum):
    """What drains an endpoint. The values are the names on the control socket."""

    DOCUMENT = "document"
    FLEET = "fleet"
    HERE = "here"


@dataclass(slots=True)
class DrainSources:
    """Ids of the endpoints that each source drains. An endpoint is drained while any source drains it.

    Attributes:
        document: Ids that the configuration in force drains.
        fleet: Ids that the agent drains, at every instance.
        by_hand: Ids drained by hand, at this instance only and until its process ends.
    """

    document: frozenset[str]
    fleet: frozenset[str] = frozenset()
    by_hand: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        """The ids of all drained endpoints."""
        return self.document | self.fleet | self.by_hand

    def of(self, endpoint: str) -> list[DrainSource]:
        """Return the sources that drain `endpoint`."""
        by_source = {
            DrainSource.DOCUMENT: self.document,
            DrainSource.FLEET: self.fleet,
            DrainSource.HERE: self.by_hand,
        }
        return [source for source, endpoints in by_source.items() if endpoint in endpoints]


class OperatorDrains:
    """Owns the operator's drains. A method that raises has changed nothing.

    Attributes:
        sources: The drained endpoints by source. Other classes only read it.
        fleet_revision: Revision of the fleet drains that are applied; 0 before the first.
        publish_count: Number of `publish` calls. Data derived from the drains at a lower count is outdated.
    """

    def __init__(self, proxy: ObservedProxy, document: frozenset[str]) -> None:
        """Start with the endpoints that the operator's file drains, without publishing them."""
        self.sources = DrainSources(document)
        self.fleet_revision = 0
        self.publish_count = 0
        self._proxy = proxy

    def check_allowed(self, drained: frozenset[str], force: bool) -> None:
        """Check that `drained` may become the set of all drained endpoints.

        Without this check, a mistyped id could leave an instance with no endpoint to send to.

        Raises:
            LastEndpointError: `drained` adds an endpoint and leaves none ready, and `force` is not set.
        """
        added = drained - self.sources.all
        if added and not force and leaves_no_ready_endpoint(self._proxy.ready_endpoint_ids(), drained):
            raise LastEndpointError(added)

    def check_document(self, endpoints: frozenset[str], force: bool) -> None:
        """Check that a configuration that drains `endpoints` may replace the one in force.

        Raises:
            LastEndpointError: See `check_allowed`.
        """
        self.check_allowed(endpoints | self.sources.fleet | self.sources.by_hand, force)

    def set_document(self, endpoints: frozenset[str]) -> None:
        """Replace the endpoints that the configuration drains. The caller then calls `publish`."""
        self.sources.document = endpoints

    def set_fleet(self, request: FleetDrainsRequest) -> None:
        """Replace the endpoints that the agent drains. With `dry_run`, only check that this is allowed.

        Raises:
            StaleDrainRevisionError: The revision is older, or is the applied one with other endpoints.
            LastEndpointError: See `check_allowed`.
        """
        changed = request.endpoints != self.sources.fleet
        if request.revision < self.fleet_revision or (request.revision == self.fleet_revision and changed):
            raise StaleDrainRevisionError(self.fleet_revision)
        self.check_allowed(self.sources.document | self.sources.by_hand | request.endpoints, request.force)
        if request.dry_run:
            return
        self.fleet_revision = request.revision
        self.sources.fleet = request.endpoints
        self.publish()

    def drain_by_hand(self, endpoint: str, force: bool) -> bool:
        """Drain one endpoint at this instance; return whether this is a change.

        Raises:
            TooManyDrainsError: More endpoints than allowed would be drained by hand.
            LastEndpointError: See `check_allowed`.
        """
        endpoints = self.sources.by_hand | {endpoint}
        if len(endpoints) > operator.MAX_DRAINED_ENDPOINTS:
            raise TooManyDrainsError(operator.MAX_DRAINED_ENDPOINTS)
        self.check_allowed(self.sources.all | endpoints, force)
        return self._set_by_hand(endpoints)

    def undrain_by_hand(self, endpoint: str, generation: int) -> bool:
        """Undrain one endpoint at this instance; return whether this is a change.

        Raises:
            DrainedElsewhereError: The agent, or the configuration of `generation`, drains the endpoint.
        """
        if endpoint in self.sources.fleet:
            raise DrainedElsewhereError(endpoint, "the agent")
        if endpoint in self.sources.document:
            raise DrainedElsewhereError(endpoint, f"generation {generation}")
        return self._set_by_hand(self.sources.by_hand - {endpoint})

    def _set_by_hand(self, endpoints: frozenset[str]) -> bool:
        changed = endpoints != self.sources.by_hand
        self.sources.by_hand = endpoints
        self.publish()
        return changed

    def publish(self) -> None:
        """Apply all drains to the connections and the balancer before returning. Records a new set."""
        drained = self.sources.all
        if drained != self._proxy.operator_drains:
            self._proxy.event_log.record(OperatorDrainsChanged(sorted(drained)[:MAX_ENDPOINTS_IN_EVENT]))
        self._proxy.set_operator_drains(drained)
        self.publish_count += 1
