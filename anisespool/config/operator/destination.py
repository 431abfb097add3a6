"""Parses the URL in `records.to`, which names the receiver of request records."""

from __future__ import annotations

import ipaddress
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from anisespool.config.platform import Address

# Size of sun_path in sockaddr_un, without its terminating zero (Linux, unix(7)).
MAX_UNIX_PATH_BYTES = 107
UNIX_SCHEME = "unix"


class Transport(StrEnum):
    """Protocol for a receiver on the network. The values are the schemes of the URL."""

    UDP = "udp"
    TCP = "tcp"
    TLS = "tls"


class NetworkDestination(NamedTuple):
    """A receiver at an IPv4 address."""

    transport: Transport
    address: Address


class UnixDestination(NamedTuple):
    """A receiver on this machine that reads from a Unix datagram socket."""

    path: Path


Destination = NetworkDestination | UnixDestination


class DestinationError(ValueError):
    """The URL does not have any of the forms of a destination."""

    def __init__(self, url: str) -> None:
        super().__init__(f"{url!r} is not a valid destination of records")
        self.url = url


def parse_destination(url: str) -> Destination:
    """Parse `udp://IP:PORT`, `tcp://IP:PORT`, `tls://IP:PORT` or `unix:///PATH`.

    Raises:
        DestinationError: The URL has none of these forms. A host name is not accepted, because it would
            have to be resolved while the sidecar runs.
    """
    scheme, _, location = url.partition("://")
    if scheme == UNIX_SCHEME:
        if not location.startswith("/") or len(location.encode()) > MAX_UNIX_PATH_BYTES:
            raise DestinationError(url)
        return UnixDestination(Path(location))
    try:
        address = Address.parse(location)
        ipaddress.IPv4Address(address.host)
        return NetworkDestination(Transport(scheme), address)
    except ValueError:
        raise DestinationError(url) from None
