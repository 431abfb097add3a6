"""The platform's configuration of a sidecar as immutable types."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from anisespool.balancer.interface import Settings
from anisespool.config.platform.address import Address
from anisespool.config.platform.endpoint_list import EndpointList
from anisespool.config.platform.names import NameIndex


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The configuration that the platform gives a sidecar at its start.

    Attributes:
        path: Path of the configuration file, which is read again on SIGHUP.
        name: Name of the instance.
        listen: Address that clients connect to.
        discovery: Address of the discovery service.
        seed: Seed of the balancer's random choices.
        max_sockets: Maximum number of open file descriptors of the sidecar.
        max_memory_bytes: Resident memory above which the platform kills the sidecar.
        keepalive_ns: Time in ns for which an endpoint keeps an idle connection open.
        settings: Settings of the balancer.
        names: Indexes of the names in the settings, and the clock offset for endpoint lists.
        initial_endpoints: Endpoint list used until discovery sends one.
    """

    path: str
    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    max_memory_bytes: int
    keepalive_ns: int
    settings: Settings
    names: NameIndex
    initial_endpoints: EndpointList


class PeerAddresses(NamedTuple):
    """Addresses for messages between the fleet's sidecars.

    Attributes:
        listen: This sidecar's own address.
        peers: Addresses of all sidecars by member number, including this one.
        broadcast: Address that reaches all sidecars, if there is one.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None
