"""Which endpoints the operator drains: by the configuration, by the agent, or by hand at this instance."""

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

MAX_EVENT_ENDPOINTS = 256  # ids in one event


class DrainSource(Enum):
    """What drains an endpoint. The values are those on the control socket."""

    DOCUMENT = "document"
    FLEET = "fleet"
    HERE = "here"


@dataclass(slots=True)
class DrainSources:
    """Ids of the endpoints that each source drains; an endpoint is drained while any source drains it.

    Attributes:
        document: By the configuration in force.
        fleet: By the agent, at every instance.
        here: By hand, at this instance until its process ends.
    """

    document: frozenset[str]
    fleet: frozenset[str] = frozenset()
    here: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        """Ids that any source drains."""
        return self.document | self.fleet | self.here

    def of(self, endpoint: str) -> list[DrainSource]:
        """Return the sources that drain `endpoint`."""
        by_source = {
            DrainSource.DOCUMENT: self.document,
            DrainSource.FLEET: self.fleet,
            DrainSource.HERE: self.here,
        }
        return [source for source, endpoints in by_source.items() if endpoint in endpoints]


class OperatorDrains:
    """Owner of the operator's drains. A method that raises has changed nothing.

    Attributes:
        sources: The drained endpoints by source; read only for others.
        fleet_revision: Of the fleet's drains; 0 before the first.
        publications: How often `publish` has run: what was derived before is out of date.
    """

    def __init__(self, proxy: ObservedProxy, document: frozenset[str]) -> None:
        """Start with the endpoints that the operator's file drains; nothing is published yet."""
        self.sources = DrainSources(document)
        self.fleet_revision = 0
        self.publications = 0
        self._proxy = proxy

    def check_allowed(self, drained: frozenset[str], force: bool) -> None:
        """Check that `drained` may become the set of all drained endpoints.

        A mistyped id must not leave an instance without an endpoint to send to.

        Raises:
            LastEndpointError: It adds a drain, leaves no ready endpoint, and `force` is not set.
        """
        added = drained - self.sources.all
        if added and not force and leaves_no_ready_endpoint(self._proxy.ready_endpoint_ids(), drained):
            raise LastEndpointError(added)

    def check_document(self, endpoints: frozenset[str], force: bool) -> None:
        """Check that a configuration which drains `endpoints` may replace the one in force.

        Raises:
            LastEndpointError: See `check_allowed`.
        """
        self.check_allowed(endpoints | self.sources.fleet | self.sources.here, force)

    def set_document(self, endpoints: frozenset[str]) -> None:
        """Replace what the configuration drains. The caller publishes, with the rest of the configuration."""
        self.sources.document = endpoints

    def set_fleet(self, request: FleetDrainsRequest) -> None:
        """Replace what the agent drains, or only check that where `dry_run` is set.

        Raises:
            StaleDrainRevisionError: An older revision, or other endpoints under the applied one.
            LastEndpointError: See `check_allowed`.
        """
        changed = request.endpoints != self.sources.fleet
        if request.revision < self.fleet_revision or (request.revision == self.fleet_revision and changed):
            raise StaleDrainRevisionError(self.fleet_revision)
        self.check_allowed(self.sources.document | self.sources.here | request.endpoints, request.force)
        if request.dry_run:
            return
        self.fleet_revision = request.revision
        self.sources.fleet = request.endpoints
        self.publish()

    def drain_by_hand(self, endpoint: str, force: bool) -> bool:
        """Drain one endpoint at this instance; return whether that is a change.

        Raises:
            TooManyDrainsError: The limit is reached.
            LastEndpointError: See `check_allowed`.
        """
        endpoints = self.sources.here | {endpoint}
        if len(endpoints) > operator.MAX_DRAINED_ENDPOINTS:
            raise TooManyDrainsError(operator.MAX_DRAINED_ENDPOINTS)
        self.check_allowed(self.sources.all | endpoints, force)
        return self._set_by_hand(endpoints)

    def undrain_by_hand(self, endpoint: str, generation: int) -> bool:
        """End the drain of one endpoint at this instance; return whether that is a change.

        Raises:
            DrainedElsewhereError: The agent, or the configuration of `generation`, drains it.
        """
        if endpoint in self.sources.fleet:
            raise DrainedElsewhereError(endpoint, "the agent")
        if endpoint in self.sources.document:
            raise DrainedElsewhereError(endpoint, f"generation {generation}")
        return self._set_by_hand(self.sources.here - {endpoint})

    def _set_by_hand(self, endpoints: frozenset[str]) -> bool:
        changed = endpoints != self.sources.here
        self.sources.here = endpoints
        self.publish()
        return changed

    def publish(self) -> None:
        """Put all drains in force: connections and the balancer have them when this returns."""
        drained = self.sources.all
        if drained != self._proxy.operator_drains:
            self._proxy.event_log.record(OperatorDrainsChanged(sorted(drained)[:MAX_EVENT_ENDPOINTS]))
        self._proxy.set_operator_drains(drained)
        self.publications += 1
