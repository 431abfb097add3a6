"""The listed endpoints, and the ready ones in this sidecar's own order."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.hashing import hash_pair
from anisespool.balancer.selection.subsetting import order_by_rank, subset_size


class EndpointTable:
    """The endpoints in one sidecar's endpoint list.

    Attributes:
        by_id: All listed endpoints, also draining ones, the most recently updated last.
        ready: Endpoints that may be sent to, the sidecar's subset first.
    """

    def __init__(self, settings: api.Settings, salt: int) -> None:
        self._settings = settings
        self._salt = salt  # makes the order differ from that of other sidecars
        self.by_id: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []

    def apply(self, update: api.EndpointListUpdate) -> None:
        """Apply a whole list or a delta; a listing with another start time replaces the endpoint's state."""
        if update.kind is not api.EndpointListKind.DELTA:
            listed = {listing.endpoint for listing in update.entries}
            self.by_id = {n: e for n, e in self.by_id.items() if n in listed}
        for listing in update.entries:
            endpoint = self.by_id.pop(listing.endpoint, None)
            if listing.state == api.EndpointState.GONE:
                continue
            if endpoint is None or endpoint.listing.started_ns != listing.started_ns:
                endpoint = Endpoint(listing, hash_pair(self._salt, listing.endpoint), self._settings)
            endpoint.update(listing)
            self.by_id[listing.endpoint] = endpoint
        local_zone = self._settings.zone if self._settings.cross_zone_cost else None
        self.ready = order_by_rank([e for e in self.by_id.values() if e.ready], local_zone)

    def mean_weight(self) -> float:
        """Return the ready endpoints' mean configured weight."""
        return sum(e.weight for e in self.ready) / max(1, len(self.ready)) or 1.0

    def subset(self, request_rate_per_ns: float) -> list[Endpoint]:
        """Return the endpoints that a sidecar with this request rate uses."""
        return self.ready[: subset_size(request_rate_per_ns)]
