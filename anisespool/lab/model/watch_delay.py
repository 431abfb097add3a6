"""When each sidecar receives changes of the endpoint list: delayed, but in order on each watch."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from anisespool.balancer.interface import EndpointState
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.random_streams import RandomStream
from anisespool.lab.scenario import SECOND, Scenario


class ListChange(NamedTuple):
    """A change of the list on its way to one sidecar.

    Attributes:
        at: Time of arrival, ns.
        revision: Revision of the list after the change.
    """

    sidecar: int
    at: int
    revision: int


class WatchDelay:
    """Delays and list revisions of each sidecar's watch on the registry. Times are ns of the run's clock.

    Attributes:
        delay_factor: Factor by which a fault multiplies the scenario's delays.
    """

    def __init__(self, scenario: Scenario, random: RandomStream) -> None:
        self.delay_factor = 1.0
        self._delay_range_s = scenario.membership.delay_s
        self._random = random
        self._revision = 1
        self._last_arrivals = [0] * scenario.sidecars
        self._blocked_until = [0] * scenario.sidecars
        self._received_revisions = [1] * scenario.sidecars  # revision of each sidecar's list

    def hold_back(self, until: int, sidecars: Iterable[int] | None = None) -> None:
        """Holds back all changes to these sidecars (None: all sidecars) until `until`."""
        for sidecar in range(len(self._blocked_until)) if sidecars is None else sidecars:
            self._blocked_until[sidecar] = max(self._blocked_until[sidecar], until)

    def schedule_change(self, now: int) -> Iterator[ListChange]:
        """Creates the next revision, and yields for each sidecar when it receives the change."""
        self._revision += 1
        for sidecar, last_arrival in enumerate(self._last_arrivals):
            delay = int(self._random.uniform(*self._delay_range_s) * self.delay_factor * SECOND)
            arrival = max(last_arrival, now + delay, self._blocked_until[sidecar])
            self._last_arrivals[sidecar] = arrival
            yield ListChange(sidecar, arrival, self._revision)

    def record_complete_list(self) -> int:
        """Creates the next revision as a complete list, which all sidecars receive immediately."""
        self._revision += 1
        self._received_revisions = [self._revision] * len(self._received_revisions)
        return self._revision

    def start_watch(self, sidecar: int, now: int) -> int:
        """Starts the watch of a sidecar's new process; returns the revision of its complete list."""
        self._last_arrivals[sidecar] = now
        self._received_revisions[sidecar] = self._revision
        return self._revision

    def receive_change(self, sidecar: int, revision: int) -> bool:
        """Records an arriving change; returns False if the sidecar's list contains it already."""
        if revision <= self._received_revisions[sidecar]:
            return False
        self._received_revisions[sidecar] = revision
        return True


def listed_endpoints(endpoints: list[Endpoint]) -> list[Endpoint]:
    """The endpoints that a complete list contains."""
    return [endpoint for endpoint in endpoints if endpoint.list_state is not EndpointState.GONE]
