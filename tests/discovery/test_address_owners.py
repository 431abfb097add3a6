"""Which of several processes that an address has had is behind it."""

from __future__ import annotations

from anisespool.config.platform import Address
from anisespool.discovery.address_owners import (
    MAX_WITHDRAWN_PROCESSES,
    UNKNOWN_START,
    WITHDRAWN_PROCESS_LIFETIME_NS,
    AddressOwners,
    Successor,
)

A, B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
FOREVER = WITHDRAWN_PROCESS_LIFETIME_NS


def superseded(owners: AddressOwners, *ids: str, now_ns: int = 0) -> list[str]:
    """Return those of the endpoints whose address a newer process has."""
    return [endpoint_id for endpoint_id in ids if owners.successor(now_ns, endpoint_id)]


def test_the_latest_start_has_the_address() -> None:
    owners = AddressOwners()
    assert owners.place(0, "old", A, UNKNOWN_START) == set()
    assert owners.place(0, "before boot", A, -5) == {"old"}
    assert superseded(owners, "old", "before boot") == ["old"]
    assert owners.place(0, "new", A, 5) == {"old", "before boot"}
    assert superseded(owners, "old", "before boot") == ["old", "before boot"]
    owners.remove(0, "before boot")
    assert owners.successor(0, "old") == Successor("new", None)
    assert superseded(owners, "new", "unlisted") == []
    assert owners.place(0, "old", A, 7) == {"new"}
    assert superseded(owners, "old", "new") == ["new"]


def test_equal_starts_share_an_address() -> None:
    owners = AddressOwners()
    owners.place(0, "a", A, 3)
    owners.place(0, "b", A, 3)
    assert superseded(owners, "a", "b") == []
    owners.remove(0, "b")
    assert superseded(owners, "a") == []


def test_a_withdrawn_process_keeps_its_address_until_a_newer_one_is_listed() -> None:
    """What still answers there is the withdrawn process, whatever older entry has its address."""
    owners = AddressOwners()
    owners.place(0, "old", A, UNKNOWN_START)
    owners.place(0, "new", A, 5)
    assert owners.remove(10, "new") == {"old"}
    assert owners.remove(20, "new") == set()
    assert owners.successor(20, "old") == Successor("new", 10 + FOREVER)
    owners.place(20, "older", A, 4)
    owners.place(20, "newer", A, 6)
    assert superseded(owners, "old", "older", "newer") == ["old", "older"]
    owners.remove(30, "newer")
    owners.place(30, "new", A, 5)
    assert superseded(owners, "old", "new") == ["old", "new"]
    owners.place(30, "old", A, 7)
    assert superseded(owners, "old", "new") == ["new"]


def test_a_process_that_is_listed_again_has_its_address_again() -> None:
    owners = AddressOwners()
    owners.place(0, "new", A, 5)
    owners.remove(0, "new")
    owners.place(0, "new", A, 5)
    assert superseded(owners, "new") == []


def test_a_process_is_known_by_its_withdrawal_alone() -> None:
    owners = AddressOwners()
    owners.place(0, "old", A, UNKNOWN_START)
    assert owners.remove(0, "new", A, 5) == {"old"}
    assert superseded(owners, "old") == ["old"]


def test_an_older_withdrawal_does_not_hide_a_newer_one() -> None:
    owners = AddressOwners()
    owners.remove(0, "new", A, 5)
    owners.remove(0, "old", A, 3)
    owners.place(0, "middle", A, 4)
    assert superseded(owners, "middle") == ["middle"]


def test_a_start_never_goes_back_at_an_address() -> None:
    """A list that is behind has the start of an earlier process, but the later one is there."""
    owners = AddressOwners()
    owners.place(0, "a", A, 5)
    owners.place(0, "a", A, UNKNOWN_START)
    assert owners.started_ns("a") == 5
    owners.remove(0, "a")
    owners.place(0, "a", A, 3)
    assert owners.started_ns("a") == 5
    owners.place(0, "a", B, 3)
    assert owners.started_ns("a") == 3


def test_a_corrected_address_frees_the_old_one_and_a_restart_elsewhere_does_not() -> None:
    """The process itself never was at the old address; one that restarted elsewhere may still end there."""
    owners = AddressOwners()
    owners.place(0, "old", A, UNKNOWN_START)
    owners.place(0, "new", A, 5)
    assert owners.place(0, "new", B, 5) == {"old"}
    assert superseded(owners, "old") == []
    owners.place(0, "new", A, 5)
    owners.place(0, "new", B, 6)
    assert superseded(owners, "old") == ["old"]


def test_withdrawn_processes_are_forgotten_after_their_lifetime() -> None:
    owners = AddressOwners()
    owners.place(0, "old", A, UNKNOWN_START)
    owners.remove(10, "new", A, 5)
    assert superseded(owners, "old", now_ns=10 + FOREVER - 1) == ["old"]
    assert superseded(owners, "old", now_ns=10 + FOREVER) == []


def test_withdrawn_processes_are_bounded_and_the_first_one_is_dropped_first() -> None:
    """The bound holds two replacements of the largest fleet while a process that ended is still listed."""
    assert MAX_WITHDRAWN_PROCESSES > 2 * 3200
    owners = AddressOwners(max_withdrawn=2)
    addresses = [Address("10.0.0.1", port) for port in range(3)]
    for address in addresses:
        owners.place(0, f"old-{address.port}", address, UNKNOWN_START)
        owners.remove(0, f"new-{address.port}", address, 5)
    assert superseded(owners, "old-0", "old-1", "old-2") == ["old-1", "old-2"]
