"""What the platform configures a sidecar with, as frozen types."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from anisespool.balancer.interface import Settings
from anisespool.config.platform.address import Address
from anisespool.config.platform.endpoint_list import EndpointList
from anisespool.config.platform.names import NameIndex


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Everything that the platform configures a sidecar with at its start.

    Attributes:
        path: The configuration file, which is read again on SIGHUP.
        name: The instance's name.
        listen: The address that clients connect to.
        discovery: The discovery service's address.
        seed: Seed of the balancer's random choices.
        max_sockets: File descriptors that the sidecar may have open.
        keepalive_ns: How long an endpoint keeps an idle connection open, ns.
        settings: The balancer's settings.
        names: Indexes of the settings' names.
        initial_endpoints: The endpoint list to start with.
    """

    path: str
    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    keepalive_ns: int
    settings: Settings
    names: NameIndex
    initial_endpoints: EndpointList


class PeerAddresses(NamedTuple):
    """Addresses for messages between the fleet's sidecars.

    Attributes:
        listen: This sidecar's own address.
        peers: All sidecars by number, this one among them.
        broadcast: An address that reaches all of them, where there is one.
    """

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None
