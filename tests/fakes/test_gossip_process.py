"""The gossip process: its configuration file, its protocol, and the effects of its mutations."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from anisespool.config.platform import Address
from anisespool.fakes.gossip_process import HEARTBEAT_FORMAT, MUTATIONS, GossipConfig, GossipNode, Mutation

PEERS = [["127.0.0.1", 7001], ["127.0.0.1", 7002], ["127.0.0.1", 7003]]
RAW = {
    "number": 0,
    "peers": PEERS,
    "budget": 3.0,
    "listen": ["127.0.0.1", 7009],
    "till": ["127.0.0.1", 7010],
    "spoilt": "",
}


class RecordingTransport:
    """Stores datagrams in place of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Address]] = []

    def sendto(self, data: bytes, address: Address) -> None:
        self.sent.append((data, address))


def create_node(mutation: str = "") -> tuple[GossipNode, RecordingTransport]:
    node = GossipNode(GossipConfig.from_json(json.dumps(RAW | {"spoilt": mutation})), boot=1)
    transport = RecordingTransport()
    node.connection_made(transport)  # type: ignore[arg-type]
    return node, transport


def alive_after(node: GossipNode, *datagrams: tuple[int, list[tuple[int, int, int]]]) -> list[int]:
    """Return the members considered alive after datagrams, each a sender and its heartbeats."""
    for sender, heartbeats in datagrams:
        node.datagram_received(
            b"".join(HEARTBEAT_FORMAT.pack(*heartbeat) for heartbeat in heartbeats), tuple(PEERS[sender])
        )
    return node.alive_members()


def test_the_configuration_file_is_parsed() -> None:
    config = GossipConfig.from_json(json.dumps(RAW | {"spoilt": "keeps-the-dead"}))
    assert config == GossipConfig(
        number=0,
        listen=Address("127.0.0.1", 7009),
        peers=[Address("127.0.0.1", port) for port in (7001, 7002, 7003)],
        budget_server=Address("127.0.0.1", 7010),
        budget=3.0,
        mutation=Mutation.KEEPS_THE_DEAD,
    )


def test_an_unknown_mutation_ends_the_process_with_an_error_that_lists_the_mutations() -> None:
    with pytest.raises(SystemExit, match=r"unknown mutation 'none'.*hears-only-itself, keeps-the-dead"):
        GossipConfig.from_json(json.dumps(RAW | {"spoilt": "none"}))
    assert MUTATIONS[0] == ""


@pytest.mark.parametrize(("mutation", "expected"), [("", [1, 2]), ("hears-only-itself", [1])])
def test_a_member_learns_of_others_from_relayed_heartbeats(mutation: str, expected: list[int]) -> None:
    node, _ = create_node(mutation)
    assert alive_after(node, (1, [(1, 1, 5), (2, 1, 5), (9, 1, 5)])) == expected


def test_datagrams_from_unknown_senders_or_of_invalid_length_are_ignored() -> None:
    node, _ = create_node()
    node.datagram_received(HEARTBEAT_FORMAT.pack(1, 1, 1), ("127.0.0.1", 1))
    node.datagram_received(HEARTBEAT_FORMAT.pack(1, 1, 1)[:-1], tuple(PEERS[1]))
    assert node.alive_members() == []


@pytest.mark.parametrize(("mutation", "expected"), [("", []), ("keeps-the-dead", [1])])
def test_a_member_whose_counter_does_not_grow_is_dead(
    mutation: str, expected: list[int], capsys: pytest.CaptureFixture[str]
) -> None:
    node, _ = create_node(mutation)
    assert alive_after(node, (1, [(1, 1, 5)]), (1, [(1, 1, 5)])) == [1]
    node.detect_failures(time.monotonic() + 1.6)
    assert node.alive_members() == expected
    events = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [event["what"] for event in events] == (["view"] if expected else ["dead", "view"])
    assert events[-1]["view"] == ("0,1" if expected else "0")
    assert alive_after(node, (1, [(1, 1, 4)])) == expected  # an older counter does not revive a member
    assert alive_after(node, (1, [(1, 2, 1)])) == [1]  # a later boot supersedes any counter


@pytest.mark.parametrize(("mutation", "units"), [("", 1.0), ("splits-by-view", 1.5)])
def test_the_reserved_share_of_the_budget_does_not_depend_on_the_view(mutation: str, units: float) -> None:
    node, transport = create_node(mutation)
    alive_after(node, (1, [(1, 1, 1)]))
    node.reserve_budget_share()
    reservation: dict[str, Any] = json.loads(transport.sent[0][0])
    assert reservation == {"member": 0, "units": units, "hold_s": 0.2}
    assert transport.sent[0][1] == Address("127.0.0.1", 7010)


def test_datagrams_carry_the_own_heartbeat_and_those_of_living_members() -> None:
    node, transport = create_node()
    alive_after(node, (1, [(1, 1, 5)]))
    node.send_heartbeats()
    assert {address.port for _, address in transport.sent} == {7002, 7003}
    assert {data for data, _ in transport.sent} == {
        HEARTBEAT_FORMAT.pack(0, 1, 1) + HEARTBEAT_FORMAT.pack(1, 1, 5)
    }
