"""The proxy with response counters, an event log and access to the balancer's state, for the control socket.

This module is loaded only if an operator file is configured.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple

from anisespool.balancer import Settings
from anisespool.balancer.inspection import BalancerView, inspect, set_tenant_shares
from anisespool.balancer.interface import EndpointListKind, EndpointState
from anisespool.config.platform import EndpointList, PlatformConfig
from anisespool.proxy.call import FinalResponse
from anisespool.proxy.event_log import EndpointListChanged, EventLog
from anisespool.proxy.exchange import Exchange
from anisespool.proxy.proxy import Proxy
from anisespool.upstream.cluster import Cluster, EndpointConnections


@dataclass(slots=True)
class ResponseCounts:
    """Number of requests of one class that were answered or abandoned by their client, by outcome."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    client_disconnected: int = 0

    def count(self, status: int) -> None:
        """Count a final response."""
        if status == 200:
            self.served += 1
        elif status == 503:
            self.rejected += 1
        else:
            self.failed += 1

    def as_json(self) -> dict[str, int]:
        """Return the counts under the names that the control socket uses."""
        return {
            "served": self.served,
            "refused": self.rejected,
            "failed": self.failed,
            "gone": self.client_disconnected,
        }


class EndpointDescription(NamedTuple):
    """Address and state of an endpoint as discovery lists it, for the control socket."""

    address: str
    state: str


class ObservedProxy(Proxy):
    """Counts final responses by class and outcome, records events and exposes the balancer's state."""

    def __init__(self, config: PlatformConfig, cluster: Cluster) -> None:
        """Create a proxy with all counters at 0."""
        super().__init__(config, cluster)
        self.event_log = EventLog()
        self.response_counts = [ResponseCounts() for _ in config.settings.classes]
        self._recorded_view = ""

    def _respond(self, exchange: Exchange, response: FinalResponse) -> None:
        if exchange.send_response:
            self.response_counts[exchange.call.request_class].count(response.status)
        super()._respond(exchange, response)

    def client_disconnected(self, request_id: int) -> None:
        """See `Proxy.client_disconnected`. Counts the request unless it was answered."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.send_response:
            self.response_counts[exchange.call.request_class].client_disconnected += 1
        super().client_disconnected(request_id)

    def update_endpoints(self, update: EndpointList, kind: EndpointListKind | None = None) -> None:
        """See `Proxy.update_endpoints`. Records an event if the set of ready endpoints changes."""
        super().update_endpoints(update, kind)
        ready = sorted(self.ready_endpoint_ids())
        view = hashlib.sha256("\0".join(ready).encode()).hexdigest()[:12]
        if view != self._recorded_view:
            self._recorded_view = view
            self.event_log.record(EndpointListChanged(update.revision, len(ready), view))

    def inspect_balancer(self, now_ns: int, max_endpoints: int) -> BalancerView:
        """Return the balancer's estimates for at most `max_endpoints` endpoints."""
        return inspect(self._driver.balancer, now_ns, max_endpoints)

    def configure_connections(
        self, max_idle: int, reuse_delay_s: float, connect_timeout_s: float | None
    ) -> None:
        """See `Cluster.configure_connections`. The balancer expects connects to take as long."""
        self.cluster.configure_connections(max_idle, reuse_delay_s, connect_timeout_s)
        self._driver.balancer.set_connect_timeout(self.cluster.connect_timeout_ns)

    def connection_counts(self, number: int) -> EndpointConnections:
        """See `Cluster.connection_counts`."""
        return self.cluster.connection_counts(number)

    def endpoint_ids(self) -> dict[int, str]:
        """Return the ids of the listed endpoints by number."""
        return {number: endpoint_id for endpoint_id, number in self._registry.numbers.items()}

    def set_tenant_shares(self, shares: dict[int, float]) -> Settings:
        """Change the shares of tenants, given by index, and return the settings now in effect."""
        return set_tenant_shares(self._driver.balancer, shares)

    def describe_endpoint(self, endpoint_id: str) -> EndpointDescription:
        """Return the endpoint as discovery lists it, before drains are applied.

        Raises:
            KeyError: The endpoint is not listed.
        """
        entry = self._registry.listed(endpoint_id)
        address = "{}:{}".format(*entry.address)
        return EndpointDescription(address, EndpointState(entry.listing.state).name.lower())
