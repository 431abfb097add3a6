"""When each sidecar receives a change of the endpoint list: late, but on a watch in order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from anisespool.balancer.interface import EndpointState
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.model.random_streams import RandomStream
from anisespool.lab.scenario import SECOND, Scenario


class ListChange(NamedTuple):
    """A change of the list on its way to one sidecar."""

    sidecar: int  # its index
    at: int  # when it arrives, ns
    revision: int


class WatchDelay:
    """Delays and revisions of one registry's watches. Times are ns of the run's clock.

    Attributes:
        lag: Multiplies the scenario's delays.
    """

    def __init__(self, scenario: Scenario, random: RandomStream) -> None:
        self.delay_factor = 1.0
        self._delay_s = scenario.membership.delay_s
        self._random = random
        self._revision = 1
        self._last_arrival = [0] * scenario.sidecars
        self._silent_until = [0] * scenario.sidecars
        self._received = [1] * scenario.sidecars  # the revision of each sidecar's list

    def hold_back(self, until: int, numbers: Iterable[int] | None = None) -> None:
        """Holds back all changes to these sidecars (None: to all) until a moment."""
        for number in range(len(self._silent_until)) if numbers is None else numbers:
            self._silent_until[number] = max(self._silent_until[number], until)

    def next_change(self, now: int) -> Iterator[ListChange]:
        """Makes the next revision, and says when each sidecar receives it."""
        self._revision += 1
        for number, last_arrival in enumerate(self._last_arrival):
            late = int(self._random.uniform(*self._delay_s) * self.delay_factor * SECOND)
            arrival = max(last_arrival, now + late, self._silent_until[number])
            self._last_arrival[number] = arrival
            yield ListChange(number, arrival, self._revision)

    def complete_list(self) -> int:
        """Makes the revision of a complete list, which all sidecars receive at once."""
        self._revision += 1
        self._received = [self._revision] * len(self._received)
        return self._revision

    def start_watch(self, number: int, now: int) -> int:
        """The revision of the complete list from which a sidecar's new process starts."""
        self._last_arrival[number] = now
        self._received[number] = self._revision
        return self._revision

    def accepts(self, number: int, revision: int) -> bool:
        """Whether a change that arrives is new to the sidecar: a complete list contains those before it."""
        if revision <= self._received[number]:
            return False
        self._received[number] = revision
        return True


def listed_endpoints(endpoints: list[Endpoint]) -> list[Endpoint]:
    """Endpoints that a complete list contains."""
    return [endpoint for endpoint in endpoints if endpoint.list_state is not EndpointState.GONE]
