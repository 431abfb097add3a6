"""The endpoints as discovery lists them, less what the operator drains.

Discovery identifies an endpoint by its id, the balancer and the connection pools by a number. The registry
owns both, and notifies the connection pools of each change.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointListKind, EndpointState
from anisespool.config.platform import EndpointEntry, EndpointList
from anisespool.discovery.drains import DrainTracker, effective_state
from anisespool.log import log_event
from anisespool.upstream.cluster import Cluster


class EndpointRegistry:
    """Endpoints by id: number, listing, and whether they may get requests."""

    def __init__(self, cluster: Cluster, reapply: Callable[[list[str]], None]) -> None:
        """Create an empty registry.

        Args:
            cluster: Notified of each endpoint that is added, changed or removed.
            reapply: Called with the ids of endpoints whose listing contradicted an earlier drain, when the
                time has passed after which the newer listing holds.
        """
        self.numbers: dict[str, int] = {}
        """Numbers by id. An endpoint that comes back gets a new number."""
        self.ready_numbers: set[int] = set()
        self.operator_drains: frozenset[str] = frozenset()
        """Ids that the operator drains, listed or not."""
        self._cluster = cluster
        self._reapply = reapply
        self._last_number = 0
        self._listed: dict[str, EndpointEntry] = {}
        self._revision = 0
        self._drain_tracker = DrainTracker()

    def apply(self, update: EndpointList, kind: EndpointListKind) -> list[api.EndpointListing]:
        """Apply a list, or changes to one, and notify the connection pools.

        Args:
            update: The list or the changes.
            kind: How `update` relates to the list before.

        Returns:
            The listings that hold now, after earlier and operator drains, for the balancer.
        """
        if kind is not EndpointListKind.DELTA:
            self._remove_all_but({entry.id for entry in update.endpoints}, update.revision)
        listings: list[api.EndpointListing] = []
        contradicted: list[str] = []
        for entry in update.endpoints:
            number = self._number_of(entry)
            tracked = self._tracked_state(entry.id, entry.listing, entry.listing.state, update.revision)
            if tracked != entry.listing.state:
                contradicted.append(entry.id)
            self._listed[entry.id] = entry
            state = effective_state(tracked, entry.id in self.operator_drains)
            listings.append(entry.listing._replace(endpoint=number, state=state))
            if state == EndpointState.GONE:
                self.remove(entry.id)
            else:
                self._set_ready(number, entry, state == EndpointState.READY)
        if contradicted:
            self._schedule_reapply(contradicted, update.revision)
        self._revision = update.revision
        return listings

    def remove(self, endpoint_id: str) -> None:
        """Forget an endpoint and its number."""
        number = self.numbers.pop(endpoint_id)
        self._listed.pop(endpoint_id, None)
        self.ready_numbers.discard(number)
        self._cluster.remove(number)

    def listed(self, endpoint_id: str) -> EndpointEntry:
        """The endpoint as last received from discovery, before drains are applied.

        Raises:
            KeyError: It is not listed.
        """
        return self._listed[endpoint_id]

    def ready_ids(self) -> set[str]:
        """Ids that discovery lists as ready, before operator drains are applied."""
        return {name for name, entry in self._listed.items() if entry.listing.state == EndpointState.READY}

    def last_listings(self, endpoint_ids: list[str]) -> EndpointList:
        """Entries of these endpoints as last received from discovery, without those that are gone."""
        entries = tuple(self._listed[name] for name in endpoint_ids if name in self._listed)
        return EndpointList(self._revision, False, entries)

    def _number_of(self, entry: EndpointEntry) -> int:
        """The endpoint's number; a new one where it has none."""
        number = self.numbers.get(entry.id)
        if number is None:
            self._last_number += 1
            number = self._last_number
            self.numbers[entry.id] = number
            # The balancer's log lines name endpoints by number.
            log_event("endpoint_added", number=number, endpoint=entry.id, address=_format_address(entry))
        return number

    def _set_ready(self, number: int, entry: EndpointEntry, ready: bool) -> None:
        self._cluster.update(number, entry.address, entry.listing.started_ns, ready)
        if ready:
            self.ready_numbers.add(number)
        else:
            self.ready_numbers.discard(number)

    def _remove_all_but(self, listed_ids: set[str], revision: int) -> None:
        for endpoint_id in self.numbers.keys() - listed_ids:
            self._tracked_state(endpoint_id, self._listed[endpoint_id].listing, EndpointState.GONE, revision)
            self.remove(endpoint_id)

    def _tracked_state(
        self, endpoint_id: str, listing: api.EndpointListing, state: int, revision: int
    ) -> int:
        """The state that holds after earlier drains.

        An endpoint may be listed as gone by its id alone: then the start in its last listing holds.
        """
        if state == EndpointState.GONE and endpoint_id in self._listed:
            listing = self._listed[endpoint_id].listing
        return self._drain_tracker.resolve(
            time.monotonic_ns(), endpoint_id, listing.started_ns, state, revision
        )

    def _schedule_reapply(self, endpoint_ids: list[str], revision: int) -> None:
        log_event("endpoint_list_outdated", revision=revision, endpoint=",".join(endpoint_ids))
        loop = asyncio.get_running_loop()
        loop.call_later(self._drain_tracker.catch_up_ns / 1e9, self._reapply, endpoint_ids)


def _format_address(entry: EndpointEntry) -> str:
    return "{}:{}".format(*entry.address)
