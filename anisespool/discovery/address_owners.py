"""Tells which process is behind an address of the endpoint list.

A process that has ended may stay in the endpoint list for some time, and a new one may come up at its
address meanwhile. Requests for the old entry would reach the new process. Of all processes that an address
has had, the one with the latest start is behind it, also once discovery has withdrawn that one: what still
answers there must get nothing. An entry with an earlier start is superseded. Pure: no I/O and no clock.
"""

from __future__ import annotations

from typing import NamedTuple

Address = tuple[str, int]

# `started_ns` of a process that started long ago, at a time that discovery does not give.
UNKNOWN_START = 0
# Bounds the memory where endpoints are replaced all the time. The largest fleet has 3,200 endpoints, so that
# all of them may be replaced twice while discovery still lists a process that has ended.
MAX_WITHDRAWN_PROCESSES = 8192
# Start times are of wall clocks, which may be an hour behind. An entry that is listed for longer than that
# may be of a newer process, although its start seems to be an earlier one.
WITHDRAWN_PROCESS_LIFETIME_NS = 3_600_000_000_000


class Successor(NamedTuple):
    """The newer process that has the address of an endpoint.

    Attributes:
        endpoint_id: The process's id in the endpoint list.
        expires_at_ns: Monotonic time when the process will be forgotten; None while it is listed.
    """

    endpoint_id: str
    expires_at_ns: int | None


class _ListedProcess(NamedTuple):
    address: Address
    started_ns: int


class _WithdrawnProcess(NamedTuple):
    endpoint_id: str
    started_ns: int
    expires_at_ns: int


class AddressOwners:
    """The listed processes by their addresses, and for each address the newest withdrawn process.

    At most `max_withdrawn` withdrawn processes are stored, each for `WITHDRAWN_PROCESS_LIFETIME_NS`; the one
    that was withdrawn first is dropped first. A process with an unknown start is not stored, as no other
    entry is older.
    """

    def __init__(self, max_withdrawn: int = MAX_WITHDRAWN_PROCESSES) -> None:
        """Begin without an endpoint."""
        self._max_withdrawn = max_withdrawn
        self._listed: dict[str, _ListedProcess] = {}
        self._listed_ids: dict[Address, set[str]] = {}
        # Withdrawn processes by address, the one that was withdrawn first comes first.
        self._withdrawn: dict[Address, _WithdrawnProcess] = {}

    def place(self, now_ns: int, endpoint_id: str, address: Address, started_ns: int) -> set[str]:
        """Note an endpoint's address and start.

        Args:
            now_ns: Monotonic time.
            endpoint_id: The endpoint.
            address: Its address in the endpoint list.
            started_ns: Start time of its process (monotonic ns); `UNKNOWN_START` for long ago.

        Returns:
            The other endpoints that may be superseded now, or not any more.
        """
        affected: set[str] = set()
        previous = self._listed.get(endpoint_id)
        if previous and previous.address != address:
            affected = self._unlist(endpoint_id, previous.address)
            # With the same start the process has never been at the other address: the entry was corrected.
            if previous.started_ns != started_ns:
                self._withdraw(now_ns, endpoint_id, previous)
        started_ns = self._latest_start(endpoint_id, address, started_ns)
        self._listed[endpoint_id] = _ListedProcess(address, started_ns)
        ids = self._listed_ids.setdefault(address, set())
        ids.add(endpoint_id)
        return (affected | ids) - {endpoint_id}

    def remove(
        self,
        now_ns: int,
        endpoint_id: str,
        address: Address | None = None,
        started_ns: int = UNKNOWN_START,
    ) -> set[str]:
        """Note that an endpoint was withdrawn, and return the others with its address.

        Args:
            now_ns: Monotonic time.
            endpoint_id: The endpoint, whether or not it is listed.
            address: Its address in the entry that withdraws it; None if that has none.
            started_ns: Start time of its process in that entry.
        """
        affected: set[str] = set()
        if listed := self._listed.pop(endpoint_id, None):
            affected = self._unlist(endpoint_id, listed.address)
            self._withdraw(now_ns, endpoint_id, listed)
        if address is not None:
            affected |= self._listed_ids.get(address, set())
            self._withdraw(now_ns, endpoint_id, _ListedProcess(address, started_ns))
        return affected

    def started_ns(self, endpoint_id: str) -> int:
        """Return the latest start time that a list has had for a listed endpoint at its address.

        A list that is behind may have the time of an earlier start.

        Raises:
            KeyError: The endpoint is not listed.
        """
        return self._listed[endpoint_id].started_ns

    def successor(self, now_ns: int, endpoint_id: str) -> Successor | None:
        """Return the newer process that has this endpoint's address, if there is one."""
        endpoint = self._listed.get(endpoint_id)
        if endpoint is None:
            return None
        newest_id = max(
            self._listed_ids[endpoint.address], key=lambda other: _start_order(self._listed[other].started_ns)
        )
        if _is_later(self._listed[newest_id].started_ns, endpoint.started_ns):
            return Successor(newest_id, None)
        withdrawn = self._withdrawn.get(endpoint.address)
        if withdrawn is None or withdrawn.endpoint_id == endpoint_id:
            return None
        if now_ns >= withdrawn.expires_at_ns or not _is_later(withdrawn.started_ns, endpoint.started_ns):
            return None
        return Successor(withdrawn.endpoint_id, withdrawn.expires_at_ns)

    def _unlist(self, endpoint_id: str, address: Address) -> set[str]:
        """Take an endpoint from an address, and return the others that are listed with it."""
        ids = self._listed_ids[address]
        ids.remove(endpoint_id)
        if not ids:
            del self._listed_ids[address]
        return set(ids)

    def _latest_start(self, endpoint_id: str, address: Address, started_ns: int) -> int:
        """Return the latest known start of an endpoint at an address, given the one in a new list."""
        starts = [started_ns]
        listed = self._listed.get(endpoint_id)
        if listed and listed.address == address:
            starts.append(listed.started_ns)
        withdrawn = self._withdrawn.get(address)
        if withdrawn and withdrawn.endpoint_id == endpoint_id:
            starts.append(withdrawn.started_ns)
        return max(starts, key=_start_order)

    def _withdraw(self, now_ns: int, endpoint_id: str, process: _ListedProcess) -> None:
        """Store a process that discovery has withdrawn, unless a newer one was withdrawn at its address."""
        address, started_ns = process
        known = self._withdrawn.get(address)
        if started_ns == UNKNOWN_START:
            return
        if known and now_ns < known.expires_at_ns and _is_later(known.started_ns, started_ns):
            return
        self._withdrawn.pop(address, None)
        expires_at_ns = now_ns + WITHDRAWN_PROCESS_LIFETIME_NS
        self._withdrawn[address] = _WithdrawnProcess(endpoint_id, started_ns, expires_at_ns)
        if len(self._withdrawn) > self._max_withdrawn:
            del self._withdrawn[next(iter(self._withdrawn))]


def _start_order(started_ns: int) -> float:
    """Return a value that orders start times; an unknown one comes before all others."""
    return float("-inf") if started_ns == UNKNOWN_START else started_ns


def _is_later(started_ns: int, other_ns: int) -> bool:
    return _start_order(started_ns) > _start_order(other_ns)
