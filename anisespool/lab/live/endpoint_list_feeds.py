"""Delivers the endpoint list to each sidecar, delayed or cut off as scenario and links demand."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from anisespool.balancer.interface import EndpointState
from anisespool.fakes.discovery import DiscoveryService
from anisespool.lab.live.wall_clock import WallClock
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.link_selector import DISCOVERY, Node
from anisespool.lab.model.links import Links
from anisespool.lab.model.watch_delay import WatchDelay, listed_endpoints

UPDATE_BYTES = 200  # assumed size of an update, for links with a limited rate

Entry = dict[str, Any]  # an entry of a discovery's list, in the platform's JSON
EntryBuilder = Callable[[Endpoint, int], Entry]  # called with an endpoint and a sidecar's number


@dataclass(slots=True)
class _Update:
    """A change of one entry that is still to be delivered to one sidecar."""

    due_at: int
    revision: int
    endpoint: int
    state: EndpointState
    started: int  # when the endpoint last started
    entry: Entry
    is_delayed: bool = False  # its link has already delayed it


@dataclass(slots=True)
class _Feed:
    """The endpoint list of one sidecar, and the updates that it has yet to receive."""

    discovery: DiscoveryService
    pending: deque[_Update] = field(default_factory=deque)  # ordered as published
    known_starts: dict[int, int] = field(default_factory=dict)  # each endpoint's start, as listed
    not_ready_since: dict[int, int] = field(default_factory=dict)  # keyed by endpoint


class EndpointListFeeds:
    """A discovery service for each sidecar, each with its own copy of the list."""

    def __init__(
        self, clock: WallClock, links: Links, watch_delay: WatchDelay, build_entry: EntryBuilder
    ) -> None:
        self._clock = clock
        self._links = links
        self._watch_delay = watch_delay
        self._build_entry = build_entry
        self._nodes: list[Node] = []
        self._feeds: list[_Feed] = []

    def open(self, nodes: Sequence[Node], endpoints: list[Endpoint]) -> list[DiscoveryService]:
        """Return a discovery for each sidecar, listing all endpoints; the caller serves them."""
        self._nodes = list(nodes)
        for node in nodes:
            entries = [self._build_entry(endpoint, node.number) for endpoint in endpoints]
            known_starts = {endpoint.id: endpoint.started_at for endpoint in endpoints}
            self._feeds.append(_Feed(DiscoveryService(entries), known_starts=known_starts))
        return [feed.discovery for feed in self._feeds]

    def was_notified_of_start(self, sidecar: int, endpoint: Endpoint) -> bool:
        """Return whether the sidecar was notified of the endpoint's last start."""
        return self._feeds[sidecar].known_starts.get(endpoint.id) == endpoint.started_at

    def not_ready_since(self, sidecar: int, endpoint: Endpoint) -> int | None:
        """Return when the sidecar was notified that the endpoint drains or is gone; none if it is ready."""
        return self._feeds[sidecar].not_ready_since.get(endpoint.id)

    def publish(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Send a change of one endpoint to every sidecar, each with its own delay."""
        for sidecar, due_at, revision in self._watch_delay.schedule_change(self._clock.now):
            entry = self._build_entry(endpoint, sidecar)
            update = _Update(due_at, revision, endpoint.id, state, endpoint.started_at, entry)
            self._feeds[sidecar].pending.append(update)
            self._clock.at(due_at, self._deliver_due, sidecar)

    def publish_complete(self, endpoints: list[Endpoint], is_empty: bool) -> None:
        """Send a complete list to all at once; an empty one stands for a registry that was wiped."""
        self._watch_delay.record_complete_list()
        for sidecar, feed in enumerate(self._feeds):
            for endpoint in endpoints:
                state = EndpointState.GONE if is_empty else endpoint.list_state
                self._record_state(feed, endpoint.id, state, endpoint.started_at)
            remaining: Iterable[Endpoint] = () if is_empty else listed_endpoints(endpoints)
            feed.discovery.publish_all([self._build_entry(endpoint, sidecar) for endpoint in remaining])

    def apply_links(self, now: int) -> None:
        """Cut off discoveries whose links are cut now, and deliver the updates that are due at the others."""
        for sidecar, feed in enumerate(self._feeds):
            cut = self._links.cut_between(now, self._nodes[sidecar], DISCOVERY, "lists")
            if cut or feed.discovery.has_outage:
                feed.discovery.set_outage(cut)
            self._deliver_due(sidecar)

    def _deliver_due(self, sidecar: int) -> None:
        """Deliver the updates that are due at a sidecar, in order.

        Timers for the same moment fire in any order, and an update that a later one had overtaken would be
        dropped as old. All updates therefore pass through one queue, where the first delays the rest.
        """
        feed = self._feeds[sidecar]
        now = self._clock.now
        while feed.pending and feed.pending[0].due_at <= now and not feed.discovery.has_outage:
            update = feed.pending[0]
            delay = self._link_delay(sidecar, update, now)
            if delay:
                update.due_at = now + delay
                update.is_delayed = True
                self._clock.at(update.due_at, self._deliver_due, sidecar)
                return
            feed.pending.popleft()
            if self._watch_delay.receive_change(sidecar, update.revision):
                self._record_state(feed, update.endpoint, update.state, update.started)
                feed.discovery.publish(update.entry)

    def _link_delay(self, sidecar: int, update: _Update, now: int) -> int:
        """Return by how many ns the link delays an update. It delays each update at most once."""
        if not self._links or update.is_delayed:
            return 0
        delay = self._links.stream_delay(now, DISCOVERY, self._nodes[sidecar], UPDATE_BYTES, "lists")
        return delay if isinstance(delay, int) else 0

    def _record_state(self, feed: _Feed, endpoint: int, state: EndpointState, started: int) -> None:
        if state is EndpointState.READY:
            feed.not_ready_since.pop(endpoint, None)
            feed.known_starts[endpoint] = started
        else:
            feed.not_ready_since.setdefault(endpoint, self._clock.now)
