"""Parses the endpoint list that discovery sends as JSON into validated types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from anisespool.balancer.interface import EndpointListing, EndpointState
from anisespool.config.platform.address import Address
from anisespool.config.platform.names import NameIndex

# Endpoint states by their names in the endpoint list.
ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}
NS_PER_MS = 1_000_000
NO_ADDRESS = Address("", 0)
# Exceptions that reading malformed JSON values may raise.
MALFORMED_VALUE_ERRORS = (KeyError, TypeError, AttributeError, OverflowError, ValueError)


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        id: The endpoint's id in the list.
        address: The address it listens on; NO_ADDRESS for a removed endpoint whose entry has none that can be
            read.
        listing: The entry for the balancer. `listing.endpoint` is 0 until the proxy numbers the endpoint.
    """

    id: str
    address: Address
    listing: EndpointListing


class EndpointList(NamedTuple):
    """The whole endpoint list, or only its changed entries.

    Attributes:
        revision: Discovery's revision number after this update.
        complete: Whether the update lists all endpoints; otherwise it lists only those that changed.
        endpoints: Entries that could be read.
        faults: One error text for each entry that could not be read, which names the entry.
    """

    revision: int
    complete: bool
    endpoints: tuple[EndpointEntry, ...]
    faults: tuple[str, ...] = ()


def parse_endpoint_list(raw: Any, names: NameIndex) -> EndpointList:
    """Validate and convert the JSON object that discovery sends.

    An entry that can't be read is left out and reported in `faults`. A complete list then lacks the endpoint,
    so no requests are sent to it.

    Args:
        raw: The JSON value.
        names: Indexes of the zones and machine types that entries name.

    Raises:
        ValueError: The value can't be read as a whole.
    """
    endpoints: list[EndpointEntry] = []
    faults: list[str] = []
    try:
        for position, entry in enumerate(raw["members"]):
            try:
                endpoints.append(_parse_entry(entry, names))
            except MALFORMED_VALUE_ERRORS as error:
                endpoint_id = entry.get("id") if isinstance(entry, dict) else None
                faults.append(f"members[{position}] ({endpoint_id!r}): {type(error).__name__}: {error}")
        return EndpointList(int(raw["revision"]), raw["complete"] is True, tuple(endpoints), tuple(faults))
    except MALFORMED_VALUE_ERRORS as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def _parse_entry(raw: Mapping[str, Any], names: NameIndex) -> EndpointEntry:
    state = ENDPOINT_STATES[raw["phase"]]
    address = _removed_address(raw) if state == EndpointState.GONE else Address.parse(raw["host_port"])
    up_since_ms = int(raw.get("up_since_ms", 0))
    # In monotonic ns, negative for a start before this machine's. 0 stands for an unknown start.
    started_ns = (up_since_ms * NS_PER_MS - names.monotonic_epoch_ns or 1) if up_since_ms else 0
    zone = names.zone_index(raw.get("locality", ""))
    machine_type = names.machine_type_index(raw.get("flavor", ""))
    weight = float(raw.get("size", 1.0))
    cell = int(raw.get("cell", 0))
    listing = EndpointListing(0, weight, cell, machine_type, zone, state, started_ns)
    return EndpointEntry(str(raw["id"]), address, listing)


def _removed_address(raw: Mapping[str, Any]) -> Address:
    """Return the address of a removed endpoint, whose entry may have only id and phase."""
    try:
        return Address.parse(raw["host_port"])
    except (KeyError, ValueError):
        return NO_ADDRESS
