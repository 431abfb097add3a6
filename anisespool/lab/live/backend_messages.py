"""Messages between a run and the process of its endpoints, each a line of JSON.

To the process: `RunOrder`, then the run's first moment as a number, then any number of scenario links. From
it: `BackendReady` once its sockets are open, `BackendReport` after its input has ended.
"""

from __future__ import annotations

from typing import Any

import msgspec

from anisespool.config.platform import Address
from anisespool.lab.live.arrival_log import Arrival, FaultNote, Stall
from anisespool.lab.live.budget_server import BudgetPeak
from anisespool.lab.live.datagram_network import DatagramCounts, HeardSlot, PeerAddress
from anisespool.lab.model.links import LinkCounts
from anisespool.lab.model.timeline import TimelineSample
from anisespool.lab.scenario import Scenario


class RunOrder(msgspec.Struct, frozen=True):
    """What is to be played."""

    scenario: Scenario
    seed: int


class SidecarDiscovery(msgspec.Struct, frozen=True):
    """Where one sidecar finds its discovery, and what that lists at first."""

    address: Address
    entries: list[dict[str, Any]]  # in the platform's JSON


class PeerNetwork(msgspec.Struct, frozen=True):
    """Where sidecars find one another."""

    peers: list[PeerAddress]  # by sidecar
    broadcast: Address
    budget_server: Address


class BackendReady(msgspec.Struct, frozen=True):
    """The endpoints' process is ready."""

    discoveries: list[SidecarDiscovery]  # by sidecar
    peer_network: PeerNetwork


class BackendReport(msgspec.Struct, frozen=True, kw_only=True):
    """What the endpoints and the network counted over a whole run."""

    rule_violation: str = ""  # the first rule that was seen to be broken
    internal_error: str = ""  # the first error of the process's own
    executions: dict[int, int] = {}  # by client request: how often endpoints began it
    utilization: list[float] = []  # by endpoint, share of its cores' time
    timeline: list[TimelineSample] = []
    links: LinkCounts = msgspec.field(default_factory=LinkCounts)
    datagrams: DatagramCounts = msgspec.field(default_factory=lambda: DatagramCounts([], []))
    heard: list[HeardSlot] = []
    budget_peaks: list[BudgetPeak] = []
    arrival_count: int = 0
    arrivals: list[Arrival] = []
    fault_notes: list[FaultNote] = []
    stalls: list[Stall] = []
    longest_stall_ns: int = 0
