"""Messages between a run and the process of its endpoints, each a line of JSON.

The run sends a `RunOrder`, then its first moment as a number, then any number of scenario links. The process
sends `BackendReady` once its sockets are open, and `BackendReport` after its input has ended.
"""

from __future__ import annotations

from typing import Any

import msgspec

from anisespool.config.platform import Address
from anisespool.lab.live.arrival_log import Arrival, FaultNote, Stall
from anisespool.lab.live.budget_server import BudgetPeak
from anisespool.lab.live.datagram_network import DatagramCounts, DeliverySlot, PeerAddress
from anisespool.lab.model.links import LinkCounts
from anisespool.lab.model.timeline import TimelineSample
from anisespool.lab.scenario import Scenario


class RunOrder(msgspec.Struct, frozen=True):
    """The scenario to run, and the seed of its random numbers."""

    scenario: Scenario
    seed: int


class SidecarDiscovery(msgspec.Struct, frozen=True):
    """The address of one sidecar's discovery service, and its initial endpoint list."""

    address: Address
    entries: list[dict[str, Any]]  # the platform's JSON


class PeerNetwork(msgspec.Struct, frozen=True):
    """The addresses at which sidecars reach one another and the budget server."""

    peers: list[PeerAddress]  # one for each sidecar
    broadcast: Address
    budget_server: Address


class BackendReady(msgspec.Struct, frozen=True):
    """Reports that the endpoints' process is ready."""

    discoveries: list[SidecarDiscovery]  # one for each sidecar
    peer_network: PeerNetwork


class BackendReport(msgspec.Struct, frozen=True, kw_only=True):
    """The counts of the endpoints and the network over a whole run."""

    rule_violation: str = ""  # the first rule that was broken
    internal_error: str = ""  # the first error of the endpoints' process itself
    executions: dict[int, int] = {}  # how often endpoints began each client request
    utilization: list[float] = []  # busy share of each endpoint's cores
    timeline: list[TimelineSample] = []
    links: LinkCounts = msgspec.field(default_factory=LinkCounts)
    datagrams: DatagramCounts = msgspec.field(default_factory=lambda: DatagramCounts([], []))
    heard: list[DeliverySlot] = []  # delivery slots of all senders
    budget_peaks: list[BudgetPeak] = []
    arrival_count: int = 0
    arrivals: list[Arrival] = []
    fault_notes: list[FaultNote] = []
    stalls: list[Stall] = []
    longest_stall_ns: int = 0
