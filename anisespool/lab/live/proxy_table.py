"""The listeners of all endpoints of a run, and the effect of link faults on them."""

from __future__ import annotations

from collections.abc import Sequence

from anisespool.lab.live.connection_proxy import ConnectionProxy, ListenerState, RequestHandler
from anisespool.lab.model.backend import node_of
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.link_selector import Node
from anisespool.lab.model.links import CUTS_BY_STRENGTH, Links
from anisespool.lab.scenario import Scenario

MAX_PROXIES = 4000  # fleets that would need more listeners share them by zone
NOT_CUT = ""
RESET = "reset"  # a cut that resets connections as soon as they are established


def proxy_groups(scenario: Scenario) -> list[int]:
    """Return each sidecar's group, which shares listeners: its own number, or its zone in large fleets."""
    if scenario.sidecars * scenario.endpoint_count <= MAX_PROXIES:
        return list(range(scenario.sidecars))
    return scenario.sidecar_zones()


class ProxyTable:
    """A listener for each pair of an endpoint and a group of sidecars.

    The listener of a connection identifies the group, so the sidecar does not have to name itself.
    """

    def __init__(
        self, handler: RequestHandler, links: Links, nodes: Sequence[Node], groups: list[int]
    ) -> None:
        self._handler = handler
        self._links = links
        self._nodes = nodes  # the sidecars
        self._groups = groups  # each sidecar's group
        self._by_endpoint: dict[int, dict[int, ConnectionProxy]] = {}  # inner key: group

    def add(self, endpoint: Endpoint) -> None:
        """Bind the listeners of an endpoint; they stay closed until they are opened."""
        proxies = {group: ConnectionProxy(self._handler, endpoint, group) for group in set(self._groups)}
        self._by_endpoint[endpoint.id] = proxies

    def listeners_of(self, endpoint: Endpoint) -> list[ConnectionProxy]:
        """Return the listeners of an endpoint."""
        return list(self._by_endpoint[endpoint.id].values())

    def all(self) -> list[ConnectionProxy]:
        """Return all listeners."""
        return [proxy for proxies in self._by_endpoint.values() for proxy in proxies.values()]

    def port(self, endpoint: Endpoint, sidecar: int) -> int:
        """Return the port through which a sidecar reaches an endpoint."""
        return self._by_endpoint[endpoint.id][self._groups[sidecar]].port

    def open(self, endpoint: Endpoint) -> None:
        """Open the listeners of an endpoint."""
        for proxy in self.listeners_of(endpoint):
            proxy.open()

    def open_all(self) -> None:
        """Open all listeners."""
        for proxy in self.all():
            proxy.open()

    def shut(self, endpoint: Endpoint, state: ListenerState) -> None:
        """Shut the listeners of an endpoint; open connections stay."""
        for proxy in self.listeners_of(endpoint):
            proxy.shut(state)

    def drop_connections(self, endpoint: Endpoint) -> None:
        """Reset the connections of an endpoint; a dead endpoint also refuses new ones."""
        for proxy in self.listeners_of(endpoint):
            proxy.drop_connections()
            if endpoint.faults.dead:
                proxy.shut(ListenerState.REFUSED)

    def apply_links(self, now: int) -> None:
        """Apply the link faults that are in effect now to the listeners of all endpoints that are up."""
        for proxy in self.all():
            if not (proxy.endpoint.faults.dead or proxy.endpoint.faults.vanished):
                self._apply_cut(proxy, self._weakest_cut(proxy, now))

    def _apply_cut(self, proxy: ConnectionProxy, cut: str) -> None:
        if cut in (ListenerState.SILENT, ListenerState.REFUSED):
            proxy.shut(ListenerState(cut))
        else:
            proxy.open()
        if cut in (ListenerState.REFUSED, RESET):
            proxy.reset_connections()

    def _weakest_cut(self, proxy: ConnectionProxy, now: int) -> str:
        """Return the weakest cut among the sidecars of the proxy's group; NOT_CUT if one can connect."""
        endpoint_node = node_of(proxy.endpoint)
        weakest = RESET
        for node, group in zip(self._nodes, self._groups, strict=True):
            if group != proxy.group:
                continue
            cut = self._links.cut_between(now, node, endpoint_node, "requests")
            weakest = min(weakest, cut, key=CUTS_BY_STRENGTH.index)
            if weakest == NOT_CUT:
                break
        return weakest

    def close(self) -> None:
        """Close all listeners for good."""
        for proxy in self.all():
            proxy.close()
