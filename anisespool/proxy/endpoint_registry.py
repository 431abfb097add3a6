"""The endpoints that discovery lists, with the operator's drains applied.

Discovery identifies an endpoint by its id; the balancer and the connection pools identify it by a number. The
registry assigns the numbers and updates the connection pools on each change.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointListKind, EndpointState
from anisespool.config.platform import NO_ADDRESS, EndpointEntry, EndpointList
from anisespool.discovery.address_owners import AddressOwners, Successor
from anisespool.discovery.contact import DiscoveryContact
from anisespool.discovery.drains import NO_REVISION, DrainTracker, effective_state
from anisespool.log import log_event
from anisespool.proxy.reapply_schedule import ReapplySchedule
from anisespool.upstream.cluster import Cluster

# Interval at which contradicted drains are checked, as a share of the time that discovery has to be heard.
RECHECK_SHARE = 0.25


class EndpointRegistry:
    """Endpoints by id, with their number, listing and whether they may receive requests."""

    def __init__(self, cluster: Cluster, reapply: Callable[[list[str]], None]) -> None:
        """Create an empty registry.

        Args:
            cluster: Updated whenever an endpoint is added, changed or removed.
            reapply: Called with the ids of endpoints whose listing contradicted an earlier drain, once enough
                time has passed for that listing to take effect.
        """
        self.numbers: dict[str, int] = {}
        """Numbers by id. An endpoint that is listed again after its removal gets a new number."""
        self.ready_numbers: set[int] = set()
        """Numbers of the endpoints that are ready after drains are applied, unlike those of `ready_ids`."""
        self.operator_drains: frozenset[str] = frozenset()
        """Ids of the endpoints that the operator drains, including unlisted ones."""
        self._cluster = cluster
        self._last_number = 0
        self._listed: dict[str, EndpointEntry] = {}
        self._revision = 0
        self.discovery_contact = DiscoveryContact()
        """Recorded by the watch of the endpoint list."""
        self._drain_tracker = DrainTracker(self.discovery_contact)
        self._address_owners = AddressOwners()
        self._reapply_schedule = ReapplySchedule(reapply)
        # Ids of endpoints that an older list has as ready in spite of an earlier drain.
        self._contradicted: set[str] = set()

    def apply(self, update: EndpointList, kind: EndpointListKind) -> list[api.EndpointListing]:
        """Apply a full list or changes to the current one, and update the connection pools.

        Args:
            update: The full list or the changes.
            kind: How `update` relates to the previous list.

        Returns:
            The updated listings for the balancer, with earlier drains and operator drains applied.
        """
        if kind is not EndpointListKind.DELTA:
            self._remove_all_but({entry.id for entry in update.endpoints}, update.revision)
        entries, affected = self._place(update.endpoints)
        contradicted: list[str] = []
        listings: list[api.EndpointListing] = []
        for entry in entries:
            tracked = self._track_state(entry.id, entry.listing, entry.listing.state, update.revision)
            if tracked == entry.listing.state:
                self._contradicted.discard(entry.id)
            else:
                contradicted.append(entry.id)
            listings.append(self._apply_entry(entry, tracked))
        for endpoint_id in sorted(affected):
            entry = self._listed[endpoint_id]
            tracked = self._track_state(endpoint_id, entry.listing, entry.listing.state, NO_REVISION)
            listings.append(self._apply_entry(entry, tracked))
        if contradicted:
            self._note_contradicted(contradicted, update.revision)
        self._revision = update.revision
        return listings

    def _place(self, entries: tuple[EndpointEntry, ...]) -> tuple[list[EndpointEntry], set[str]]:
        """Note the addresses of an update's entries.

        Returns:
            The entries, with the latest start known of each process, and the ids of other endpoints whose
            state may change.
        """
        now_ns = time.monotonic_ns()
        placed: list[EndpointEntry] = []
        affected: set[str] = set()
        for entry in entries:
            started_ns = entry.listing.started_ns
            if entry.listing.state == EndpointState.GONE:
                address = None if entry.address == NO_ADDRESS else entry.address
                affected |= self._address_owners.remove(now_ns, entry.id, address, started_ns)
                placed.append(entry)
                continue
            affected |= self._address_owners.place(now_ns, entry.id, entry.address, started_ns)
            latest_ns = self._address_owners.started_ns(entry.id)
            placed.append(entry._replace(listing=entry.listing._replace(started_ns=latest_ns)))
        return placed, (affected & self._listed.keys()) - {entry.id for entry in entries}

    def _apply_entry(self, entry: EndpointEntry, tracked_state: int) -> api.EndpointListing:
        """Update the connection pool of an endpoint, and return its listing for the balancer.

        Args:
            entry: The endpoint as received from discovery.
            tracked_state: Its state with earlier drains applied.
        """
        is_known = entry.id in self.numbers
        number = self._number_of(entry)
        self._listed[entry.id] = entry
        state = effective_state(tracked_state, entry.id in self.operator_drains)
        if state == EndpointState.READY and (successor := self._successor(entry.id)):
            log_event("endpoint_superseded", endpoint=entry.id, successor=successor.endpoint_id)
            if successor.expires_at_ns is not None:
                delay_ns = successor.expires_at_ns - time.monotonic_ns()
                self._reapply_schedule.schedule([entry.id], delay_ns)
            state = EndpointState.DRAINING
        if state == EndpointState.GONE:
            self.remove(entry.id)
        else:
            self._set_ready(number, entry, state == EndpointState.READY, is_known)
        return entry.listing._replace(endpoint=number, state=state)

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint, its number and its connection pool."""
        number = self.numbers.pop(endpoint_id)
        self._log_change(number, endpoint_id, EndpointState.GONE)
        self._listed.pop(endpoint_id, None)
        self._contradicted.discard(endpoint_id)
        self._reapply_schedule.cancel(endpoint_id)
        self._address_owners.remove(time.monotonic_ns(), endpoint_id)
        self.ready_numbers.discard(number)
        self._cluster.remove(number)

    def listed(self, endpoint_id: str) -> EndpointEntry:
        """Return the endpoint as last received from discovery, before drains are applied.

        Raises:
            KeyError: The endpoint is not listed.
        """
        return self._listed[endpoint_id]

    def ready_ids(self) -> set[str]:
        """Return the ids that discovery lists as ready, before operator drains are applied.

        An endpoint whose address a newer process has, or had until it was withdrawn, is not one of them.
        """
        return {
            endpoint_id
            for endpoint_id, entry in self._listed.items()
            if entry.listing.state == EndpointState.READY and not self._successor(endpoint_id)
        }

    def last_listings(self, endpoint_ids: list[str]) -> EndpointList:
        """Return the entries of these endpoints as last received from discovery, except removed ones."""
        entries = tuple(
            self._listed[endpoint_id] for endpoint_id in endpoint_ids if endpoint_id in self._listed
        )
        return EndpointList(self._revision, False, entries)

    def _successor(self, endpoint_id: str) -> Successor | None:
        return self._address_owners.successor(time.monotonic_ns(), endpoint_id)

    def _number_of(self, entry: EndpointEntry) -> int:
        """Return the endpoint's number, assigning one if it has none."""
        number = self.numbers.get(entry.id)
        if number is None:
            self._last_number += 1
            number = self._last_number
            self.numbers[entry.id] = number
            # The balancer's log lines identify endpoints by number.
            log_event("endpoint_added", number=number, endpoint=entry.id, address=_format_address(entry))
        return number

    def _set_ready(self, number: int, entry: EndpointEntry, ready: bool, is_known: bool) -> None:
        self._cluster.update(number, entry.address, entry.listing.started_ns, ready)
        if is_known and ready != (number in self.ready_numbers):
            self._log_change(number, entry.id, EndpointState.READY if ready else EndpointState.DRAINING)
        if ready:
            self.ready_numbers.add(number)
        else:
            self.ready_numbers.discard(number)

    def _log_change(self, number: int, endpoint_id: str, state: EndpointState) -> None:
        """Log that an endpoint that was listed before may be used from now on, or not any more."""
        log_event("endpoint_state_changed", number=number, endpoint=endpoint_id, state=state.name.lower())

    def _remove_all_but(self, listed_ids: set[str], revision: int) -> None:
        for endpoint_id in self.numbers.keys() - listed_ids:
            self._track_state(endpoint_id, self._listed[endpoint_id].listing, EndpointState.GONE, revision)
            self.remove(endpoint_id)

    def _track_state(self, endpoint_id: str, listing: api.EndpointListing, state: int, revision: int) -> int:
        """Record the state in which an endpoint is listed, and return it with earlier drains applied.

        An endpoint may be listed as gone by its id alone, so the start time of its last listing is used.
        """
        if state == EndpointState.GONE and endpoint_id in self._listed:
            listing = self._listed[endpoint_id].listing
        return self._drain_tracker.resolve(
            time.monotonic_ns(), endpoint_id, listing.started_ns, state, revision
        )

    def _note_contradicted(self, endpoint_ids: list[str], revision: int) -> None:
        """Log which endpoints an older list has as ready, and check them again while it does."""
        new_ids = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id not in self._contradicted]
        if new_ids:
            self._contradicted.update(new_ids)
            log_event("endpoint_list_outdated", revision=revision, endpoint=",".join(new_ids))
        delay_ns = int(self._drain_tracker.catch_up_ns * RECHECK_SHARE)
        self._reapply_schedule.schedule(endpoint_ids, delay_ns)


def _format_address(entry: EndpointEntry) -> str:
    return "{}:{}".format(*entry.address)
