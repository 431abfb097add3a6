"""Tells which listed endpoint's process has an address, where more than one entry names it.

A process that has ended may stay in the endpoint list for some time, and a new one may come up at its address
meanwhile. Requests for the old entry would reach the new process. Of the entries with one address that with
the latest start is right; the others are superseded. Pure: no I/O and no clock.
"""

from __future__ import annotations

Address = tuple[str, int]


class AddressOwners:
    """The listed endpoints by their addresses."""

    def __init__(self) -> None:
        """Begin without an endpoint."""
        self._address: dict[str, Address] = {}
        self._starts: dict[Address, dict[str, int]] = {}  # start times by endpoint id

    def place(self, endpoint_id: str, address: Address, started_ns: int) -> set[str]:
        """Note an endpoint's address and start.

        Args:
            endpoint_id: The endpoint.
            address: Its address in the endpoint list.
            started_ns: Start time of its process (monotonic ns); 0 for long ago.

        Returns:
            The other endpoints that may be superseded now, or not any more.
        """
        affected = self.remove(endpoint_id) if self._address.get(endpoint_id) != address else set()
        self._address[endpoint_id] = address
        starts = self._starts.setdefault(address, {})
        affected |= starts.keys()
        starts[endpoint_id] = started_ns
        return affected - {endpoint_id}

    def remove(self, endpoint_id: str) -> set[str]:
        """Forget an endpoint; return the others with its address."""
        address = self._address.pop(endpoint_id, None)
        if address is None:
            return set()
        starts = self._starts[address]
        del starts[endpoint_id]
        if not starts:
            del self._starts[address]
        return set(starts)

    def successor(self, endpoint_id: str) -> str | None:
        """Return the endpoint whose newer process has this one's address, if there is one."""
        address = self._address.get(endpoint_id)
        if address is None:
            return None
        starts = self._starts[address]
        latest = max(starts, key=lambda other: starts[other])
        return latest if starts[latest] > starts[endpoint_id] else None
