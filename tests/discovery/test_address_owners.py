"""Which of several endpoints that are listed with one address has its process."""

from __future__ import annotations

from anisespool.config.platform import Address
from anisespool.discovery.address_owners import AddressOwners

A, B = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


def test_the_latest_start_has_the_address() -> None:
    owners = AddressOwners()
    assert owners.place("old", A, 0) == set()
    assert owners.place("new", A, 5) == {"old"}
    assert (owners.successor("old"), owners.successor("new")) == ("new", None)
    assert owners.place("old", A, 7) == {"new"}
    assert (owners.successor("old"), owners.successor("new")) == (None, "old")


def test_equal_starts_share_an_address() -> None:
    owners = AddressOwners()
    owners.place("a", A, 3)
    owners.place("b", A, 3)
    assert (owners.successor("a"), owners.successor("b"), owners.successor("unknown")) == (None, None, None)


def test_an_endpoint_that_moves_or_goes_frees_its_address() -> None:
    owners = AddressOwners()
    owners.place("old", A, 0)
    owners.place("new", A, 5)
    assert owners.place("new", B, 5) == {"old"}
    assert owners.successor("old") is None
    owners.place("new", A, 5)
    assert owners.remove("new") == {"old"}
    assert owners.remove("new") == set()
    assert owners.successor("old") is None
