"""Links: the nodes that they select, and their effects on datagrams, on streams and in a run."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anisespool.lab.model import links as link_module
from anisespool.lab.model.link_selector import DISCOVERY, Node, parse_selector
from anisespool.lab.model.links import REORDER_NS, DatagramCopy, Links, for_each_switch
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.world import World
from anisespool.lab.scenario import MS, SECOND, Link, ScenarioError, from_raw
from anisespool.lab.search.scenario_generator import draw_scenario, vary_scenario
from anisespool.lab.search.shrinking import shrink_links

A, B, C = (Node("sidecar", n, n % 2) for n in range(3))
E0, E1 = Node("endpoint", 0, 0), Node("endpoint", 1, 1)
ALL_NODES = (A, B, C, E0, E1, DISCOVERY)


def make_links(*raw: dict[str, Any], seed: int = 1, begin: int = 0) -> Links:
    """Links that last for 100 s by default."""
    scenario = from_raw({"links": [{"at_s": 0, "for_s": 100} | link for link in raw]}, "x")
    return Links(scenario.links, RandomStreams(seed).named("links"), begin)


@pytest.mark.parametrize(
    ("text", "selected"),
    [
        ("all", ALL_NODES),
        ("sidecars", (A, B, C)),
        ("endpoints", (E0, E1)),
        ("discovery", (DISCOVERY,)),
        ("sidecar:1", (B,)),
        ("sidecars:1-2", (B, C)),
        ("endpoint:0+sidecar:0", (E0, A)),
        ("zone:1", (B, E1)),
        ("!zone:1", (A, C, E0, DISCOVERY)),
        ("half:1", (B, E1)),
        ("endpoints:5-9", ()),
    ],
)
def test_a_side_selects_the_nodes_that_it_names(text: str, selected: tuple[Node, ...]) -> None:
    selects = parse_selector(text)
    assert {node for node in ALL_NODES if selects(node)} == set(selected)


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({"from": "zone"}, r"links\[0\].from: found 'zone', wanted one of all"),
        ({"to": "sidecar:x"}, r"links\[0\].to: found 'sidecar:x'"),
        ({"to": "a+" * 150}, "found 300 characters, wanted at most 200"),
        ({"loss": 1.5}, "loss"),
        ({"cut": "torn"}, "cut"),
    ],
)
def test_a_wrong_link_is_an_error_with_its_key(raw: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError, match=message):
        make_links(raw)


@pytest.mark.parametrize(
    ("statement", "message"),
    [
        ({"says": "share-below", "zone": 4}, r"statements\[0\].zone: found 4, wanted one of 0"),
        ({"says": "served", "from_s": 9, "to_s": 5}, r"statements\[0\].from_s: found 9 to 5"),
        ({"says": "nothing"}, "nothing"),
    ],
)
def test_a_wrong_statement_is_an_error_with_its_key(statement: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError, match=message):
        from_raw({"statements": [statement]}, "x")


def test_a_one_way_cut_leaves_the_opposite_direction() -> None:
    links = make_links({"from": "sidecar:0", "to": "sidecar:1", "cut": "silent", "carries": "talk"})
    assert links.send_datagram(5, A, B, b"x") == []
    assert links.send_datagram(5, B, A, b"x") == [(5, b"x")]
    assert links.cut_between(5, B, A, "talk") == "silent"
    assert links.cut_between(5, A, B, "requests") == ""
    assert links.send_datagram(100 * SECOND, A, B, b"x") == [(100 * SECOND, b"x")]  # the cut has ended
    assert (links.counts.came, links.counts.cut) == (3, 1)


def test_a_two_way_cut_affects_the_opposite_direction() -> None:
    links = make_links({"from": "sidecar:0", "to": "sidecar:1", "cut": "silent", "both": True})
    assert links.send_datagram(5, B, A, b"x") == []


@pytest.fixture
def flapping() -> Links:
    """A link fault that flaps from 11 s to 16 s: on for a second, then off for a second."""
    links = make_links({"cut": "refused", "flap_s": 2.0, "at_s": 1, "for_s": 5})
    links.set_scenario_start(10 * SECOND)
    return links


def test_a_flapping_link_is_on_for_half_of_its_period(flapping: Links) -> None:
    on = [second for second in range(20) if flapping.cut_between(second * SECOND, A, E0, "requests")]
    assert on == [11, 13, 15]


def test_each_switch_of_a_flapping_link_is_visited(flapping: Links) -> None:
    moments: list[tuple[float, bool]] = []
    for_each_switch(flapping, lambda when, fault, begins: moments.append((when / SECOND, begins)))
    assert moments == [(11, True), (12, False), (13, True), (14, False), (15, True), (16, False)]


@pytest.mark.parametrize("burst", [1.0, 5.0, 20.0])
def test_losses_have_the_configured_share_and_run_length(burst: float) -> None:
    print("seed 7")
    count = 100_000
    links = make_links({"loss": 0.2, "burst": burst}, seed=7)
    lost = [not links.send_datagram(number, A, B, b"x") for number in range(count)]
    # The longer the runs of a two-state chain, the more its share of losses deviates from the mean.
    assert sum(lost) / count == pytest.approx(0.2, abs=4 * 0.4 * (2 * burst / count) ** 0.5)
    runs = sum(is_lost and not lost[number - 1] for number, is_lost in enumerate(lost))
    run_length = 1.25 if burst == 1.0 else burst  # independent losses have runs of 1 / (1 - 0.2)
    assert sum(lost) / runs == pytest.approx(run_length, rel=0.08)
    assert links.counts.lost == sum(lost)


DATA = bytes(range(256))
INTERVAL_NS = 4 * MS
DATAGRAMS = 20_000


@pytest.fixture(scope="module")
def impaired() -> tuple[Links, list[list[DatagramCopy]]]:
    """Links that delay, duplicate, reorder and corrupt, and the copies of many datagrams sent on them."""
    raw = {"delay_ms": 10, "spread_ms": 20, "duplicate": 0.1, "reorder": 0.05, "corrupt": 0.02}
    links = make_links(raw, seed=3)
    return links, [links.send_datagram(number * INTERVAL_NS, A, B, DATA) for number in range(DATAGRAMS)]


def test_delay_spread_and_reordering_are_as_configured(
    impaired: tuple[Links, list[list[DatagramCopy]]],
) -> None:
    _, sent = impaired
    delays = [copies[0].at - number * INTERVAL_NS for number, copies in enumerate(sent)]
    assert min(delays) >= 10 * MS
    assert max(delays) <= 30 * MS + REORDER_NS
    assert sum(delays) / len(delays) == pytest.approx(20 * MS + 0.05 * REORDER_NS, rel=0.02)


def test_the_configured_share_is_duplicated(impaired: tuple[Links, list[list[DatagramCopy]]]) -> None:
    _, sent = impaired
    assert sum(len(copies) == 2 for copies in sent) / DATAGRAMS == pytest.approx(0.1, abs=0.01)


def test_the_configured_share_is_corrupted_in_one_byte(
    impaired: tuple[Links, list[list[DatagramCopy]]],
) -> None:
    links, sent = impaired
    corrupted = [copies[0].data for copies in sent if copies[0].data != DATA]
    assert len(corrupted) / DATAGRAMS == pytest.approx(0.02, abs=0.005)
    assert len(corrupted) == links.counts.corrupted
    assert all(sum(a != b for a, b in zip(data, DATA, strict=True)) == 1 for data in corrupted)


def test_a_limited_rate_queues_at_most_a_second_of_datagrams() -> None:
    links = make_links({"rate_kb_s": 10})
    sent = [links.send_datagram(0, A, B, b"x" * 250) for _ in range(100)]
    arrivals = [copies[0].at for copies in sent if copies]
    assert arrivals == [25 * MS * (number + 1) for number in range(len(arrivals))]
    assert len(arrivals) == 41
    assert links.counts.overflowed == 59


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2), st.integers(0, 2)), max_size=40),
    st.integers(0, 99),
)
def test_the_same_seed_gives_the_same_copies(sends: list[tuple[int, int, int]], seed: int) -> None:
    raw = {"loss": 0.3, "burst": 2, "duplicate": 0.3, "reorder": 0.3, "corrupt": 0.3, "spread_ms": 5}

    def send_all() -> list[list[DatagramCopy]]:
        links = make_links(raw, seed=seed)
        return [links.send_datagram(at, (A, B, C)[src], (A, B, C)[dst], b"0123") for at, src, dst in sends]

    assert send_all() == send_all()


@pytest.mark.parametrize(
    ("raw", "shortest", "longest"),
    [
        ({"delay_ms": 5}, 5 * MS, 5 * MS),
        ({"loss": 1.0}, 200 * MS * 63, 200 * MS * 63),  # six time-outs: 200 ms, doubled each time
        ({"corrupt": 0.99}, 200 * MS, 200 * MS * 63),
        (
            {"cut": "silent", "for_s": 3},
            2 * SECOND,
            4 * SECOND,
        ),  # until the retransmission after the cut
        ({"rate_kb_s": 1}, 600 * MS, 600 * MS),
    ],
)
def test_impairments_delay_a_stream(raw: dict[str, Any], shortest: int, longest: int) -> None:
    delay = make_links(raw).stream_delay(SECOND, A, E0, 600, "requests")
    assert isinstance(delay, int)
    assert shortest <= delay <= longest


@pytest.mark.parametrize("cut", ["reset", "refused"])
def test_a_cut_that_resets_or_refuses_resets_a_stream(cut: str) -> None:
    links = make_links({"cut": cut, "carries": "requests"})
    assert links.stream_delay(1, A, E0, 600, "requests") == "reset"
    assert links.stream_delay(1, A, DISCOVERY, 9, "lists") == 0


def test_state_of_channels_and_number_of_links_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link_module, "MAX_CHANNELS", 10)
    monkeypatch.setattr(link_module, "MAX_LINKS", 3)
    links = make_links({"loss": 0.5, "burst": 3, "rate_kb_s": 1})
    for number in range(100):
        links.send_datagram(0, Node("sidecar", number), B, b"x")
    assert links.channel_state_size() == 10
    for _ in range(2):
        links.add(Link(at_s=0, for_s=1))
    with pytest.raises(ValueError, match="links: found over 3"):
        links.add(Link(at_s=0, for_s=1))


TWO_ZONES = [{"count": 3, "zone": zone} for zone in range(2)]


def run(raw: dict[str, Any], seed: int = 3) -> World:
    """Runs a scenario of six sidecars and two zones, and checks that no rule is broken."""
    print(f"seed {seed}")
    base = {
        "seconds": 8,
        "warm_s": 1,
        "sidecars": 6,
        "endpoints": TWO_ZONES,
        "traffic": {"per_s": 150},
        "classes": [{"name": "a", "effect": "repeatable"}, {"name": "b"}],
        "clients": {"tries": 2},
    }
    world = World(from_raw(base | raw, "x"), seed, logged=True)
    world.run()
    assert not world.broken, world.broken
    return world


@pytest.mark.parametrize("cut", ["silent", "refused", "reset"])
def test_most_requests_are_served_during_a_cut(cut: str) -> None:
    link = {"at_s": 2, "for_s": 3, "from": "sidecars", "to": "zone:1", "cut": cut, "both": True}
    world = run({"links": [link]})
    in_time, requested = world.metrics.by_second()[4]
    assert in_time > 0.7 * requested
    assert world.digest != run({}).digest


def test_a_run_without_links_is_the_same_as_with_an_empty_list() -> None:
    assert run({}).digest == run({"links": []}).digest


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "freeze", "part": 0.5, "for_s": 1.5},
        {"kind": "freeze", "part": 1.0, "for_s": 0.3},
        {"kind": "down", "part": 0.5, "for_s": 1.5},
        {"kind": "starve", "part": 0.5, "for_s": 2},
    ],
)
def test_the_fleet_recovers_after_processes_were_frozen_or_stopped(fault: dict[str, Any]) -> None:
    metrics = run({"troubles": [fault | {"at_s": 3}]}).metrics
    requested = sum(metrics.requested.values())
    usual = sum(run({}).metrics.requested.values())
    assert (requested < usual) is (fault["kind"] == "down")
    in_time, requested_late = metrics.by_second()[6]
    assert in_time > 0.9 * requested_late
    assert sum(metrics.ended.values()) == requested


def test_sidecars_send_datagrams_only_if_the_scenario_allows_it() -> None:
    assert run({"talk": True, "sidecars": 20}).links.counts.came > 100
    assert not run({"sidecars": 20}).links.counts.came


def test_links_lose_the_sidecars_datagrams() -> None:
    lossy = {"at_s": 0, "for_s": 8, "carries": "talk", "loss": 0.5}
    counts = run({"talk": True, "sidecars": 20, "links": [lossy]}).links.counts
    assert counts.lost == pytest.approx(counts.came / 2, rel=0.2)


def test_the_search_draws_links_and_process_faults() -> None:
    random = Random(5)
    drawn = [vary_scenario(random, draw_scenario(random)) for _ in range(300)]
    assert {"freeze", "down"} <= {fault.kind for scenario in drawn for fault in scenario.faults}
    assert sum(bool(scenario.links) for scenario in drawn) > 30


def test_the_search_shrinks_the_links_of_a_scenario() -> None:
    random = Random(5)
    scenario = next(drawn for _ in range(100) if len((drawn := draw_scenario(random)).links) == 3)
    smaller = list(shrink_links(scenario))
    assert len(smaller) >= 4
    assert all(less.links != scenario.links or less.talk != scenario.talk for less in smaller)
