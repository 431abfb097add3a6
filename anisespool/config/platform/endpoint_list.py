"""The endpoint list as discovery sends it, from JSON to checked types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from anisespool.balancer.interface import EndpointListing, EndpointState
from anisespool.config.platform.address import Address
from anisespool.config.platform.names import NameIndex

# Endpoint states by their names in the platform's endpoint list.
ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}
NS_PER_MS = 1_000_000
NO_ADDRESS = Address("", 0)
# What reading malformed JSON values may raise.
MALFORMED_VALUE_ERRORS = (KeyError, TypeError, AttributeError, OverflowError, ValueError)


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        id: Its id in the list.
        address: Where it listens; NO_ADDRESS for one that was removed.
        listing: The balancer's form. `listing.endpoint` is 0 until the proxy numbers the endpoint.
    """

    id: str
    address: Address
    listing: EndpointListing


class EndpointList(NamedTuple):
    """The endpoint list, or a change of it.

    Attributes:
        revision: Discovery's revision after this update.
        complete: Whether these are all endpoints; otherwise only those that changed.
        endpoints: The entries that could be read.
        faults: For each entry that could not be read: which, and why.
    """

    revision: int
    complete: bool
    endpoints: tuple[EndpointEntry, ...]
    faults: tuple[str, ...] = ()


def parse_endpoint_list(raw: Any, names: NameIndex) -> EndpointList:
    """Check and convert discovery's JSON object.

    An entry that can't be read is left out and reported in `faults`. From a complete list it is then
    missing, so nothing is sent to that endpoint.

    Args:
        raw: The JSON value.
        names: Indexes of the names that entries may have.

    Raises:
        ValueError: The object as a whole can't be read.
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
    # A removed endpoint may be listed by its id alone, and has to be removed all the same.
    is_removed = state == EndpointState.GONE
    address = NO_ADDRESS if is_removed else Address.parse(raw["host_port"])
    up_since_ms = int(raw.get("up_since_ms", 0))
    started_ns = max(1, up_since_ms * NS_PER_MS - names.monotonic_epoch_ns) if up_since_ms else 0
    zone = names.zone_index(raw.get("locality", ""))
    machine_type = names.machine_type_index(raw.get("flavor", ""))
    weight = float(raw.get("size", 1.0))
    cell = int(raw.get("cell", 0))
    listing = EndpointListing(0, weight, cell, machine_type, zone, state, started_ns)
    return EndpointEntry(str(raw["id"]), address, listing)
