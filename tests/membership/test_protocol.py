"""The membership protocol in virtual time: deaths, partitions, pauses, faulty members, resource bounds."""

from __future__ import annotations

from random import Random

import pytest

from anisespool.membership.config import NS_PER_S, MembershipConfig
from anisespool.membership.member_state import MAX_BOOT, MemberState, MemberUpdate
from anisespool.membership.messages import Message, MessageKind
from anisespool.membership.protocol import MembershipProtocol
from tests.membership.simulated_fleet import NetworkPath, SimulatedFleet, converged_fleet

ALL = set(range(20))


@pytest.fixture
def fleet() -> SimulatedFleet:
    return converged_fleet()


def gossip(*updates: MemberUpdate, boot: int = 10) -> Message:
    return Message(MessageKind.GOSSIP, boot, 0, updates=updates)


def test_killed_members_are_detected_and_a_restart_replaces_the_old_boot(fleet: SimulatedFleet) -> None:
    for member in (3, 4):
        fleet.kill(member)
    detected_s = fleet.run_until_converged(ALL - {3, 4}, ALL - {3, 4}, 5)
    assert detected_s > 1.0
    assert {death.member for death in fleet.declared_deaths} == {3, 4}
    fleet.start(3, 11)
    assert fleet.run_until_converged(ALL - {4}, ALL - {4}, 4) < 4
    assert fleet.members[0].members[3].boot == 11
    # Late updates about the old boot, from any member but 3 itself, do not declare the new one dead.
    for member in ALL - {3, 4}:
        sender = (member + 1) % 20 if member != 2 else 5
        fleet.members[member].receive(
            fleet.now_ns, sender, gossip(MemberUpdate(3, 10, 9, MemberState.DEAD, reporter=7))
        )
    fleet.run(5)
    assert fleet.has_converged(ALL - {4}, ALL - {4})


def test_a_clock_set_back_across_a_restart_excludes_no_member(fleet: SimulatedFleet) -> None:
    fleet.kill(3)
    fleet.run(0.2)
    fleet.start(3, 4)  # This boot is lower than the previous one.
    fleet.run_until_converged(ALL, ALL, 4)
    assert fleet.members[3].local.boot == 11 == fleet.members[0].members[3].boot


def test_a_boot_far_in_the_future_from_a_faulty_member_excludes_no_member(fleet: SimulatedFleet) -> None:
    observer = fleet.members[0]
    # 25 h in ms exceed the accepted clock difference of 24 h.
    for boot in (MAX_BOOT, 10 + 25 * 3600 * 1000):
        observer.receive(fleet.now_ns, 19, gossip(MemberUpdate(4, boot, 0, MemberState.ALIVE)))
        observer.receive(fleet.now_ns, 19, gossip(boot=boot))
    assert observer.members[4].boot == observer.members[19].boot == 10
    plausible = MemberUpdate(4, 5000, 0, MemberState.ALIVE)
    observer.receive(fleet.now_ns, 19, gossip(plausible))
    fleet.run(3)
    assert fleet.members[4].local.boot == 5001 == observer.members[4].boot
    assert fleet.has_converged(ALL, ALL)


def test_many_simultaneous_deaths_are_detected(fleet: SimulatedFleet) -> None:
    for member in range(6, 20):
        fleet.kill(member)
    fleet.run_until_converged(set(range(6)), set(range(6)), 12)


def test_each_side_of_a_partition_converges_and_the_fleet_after_it(fleet: SimulatedFleet) -> None:
    one, other = set(range(7)), set(range(7, 20))
    fleet.is_cut = lambda sender, recipient: (sender < 7) != (recipient < 7)
    fleet.run_until_converged(one, one, 6)
    fleet.run_until_converged(other, other, 6)
    fleet.is_cut = lambda sender, recipient: False
    fleet.run_until_converged(ALL, ALL, 5)


@pytest.mark.parametrize("path", [NetworkPath(0, 1), NetworkPath(1, 0), NetworkPath(7, 19)])
def test_a_path_cut_in_one_direction_causes_no_declared_death(
    fleet: SimulatedFleet, path: NetworkPath
) -> None:
    fleet.is_cut = lambda sender, recipient: NetworkPath(sender, recipient) == path
    fleet.run(60)
    assert not fleet.declared_deaths
    assert fleet.has_converged(ALL, ALL)


@pytest.mark.parametrize("pause_s", [0.6, 2.0, 20.0])
def test_a_paused_member_declares_nobody_dead_afterwards_and_rejoins(
    fleet: SimulatedFleet, pause_s: float
) -> None:
    fleet.paused_until_ns[5] = fleet.now_ns + int(pause_s * NS_PER_S)
    fleet.run(pause_s + 0.001)
    fleet.declared_deaths.clear()
    fleet.run(8)
    assert not [death for death in fleet.declared_deaths if death.observer == 5]
    assert fleet.has_converged(ALL, ALL)
    assert fleet.members[5].stats.pauses >= 1


def test_ten_percent_loss_and_pauses_cause_no_false_death(fleet: SimulatedFleet) -> None:
    fleet.loss = 0.1
    for second in range(0, 120, 2):
        fleet.paused_until_ns[second % 20] = fleet.now_ns + int(fleet.random.uniform(0.3, 2.0) * NS_PER_S)
        fleet.run(2)
    # A declaration counts as true up to 1 s after the end of the declared member's last pause.
    paused_until_ns = fleet.paused_until_ns
    assert not [
        death
        for death in fleet.declared_deaths
        if paused_until_ns.get(death.member, 0) + NS_PER_S < death.at_ns
    ]


def test_a_member_announces_its_shutdown(fleet: SimulatedFleet) -> None:
    fleet.emit(8, fleet.members[8].leave(fleet.now_ns))
    fleet.members.pop(8)
    assert fleet.run_until_converged(ALL - {8}, ALL - {8}, 2) < 1.5
    assert not fleet.declared_deaths
    assert 8 in fleet.members[0].view().left


def test_a_faulty_member_cannot_shorten_the_time_to_refute(fleet: SimulatedFleet) -> None:
    """The faulty member forges reports by all others, and the observer does not receive the refutations."""
    # Member 0 receives only from the faulty member 19.
    fleet.is_cut = lambda sender, recipient: recipient == 0 and sender != 19
    start_ns = fleet.now_ns
    observer = fleet.members[0]
    while (
        not [death for death in fleet.declared_deaths if death.observer == 0]
        and fleet.now_ns < start_ns + 5 * NS_PER_S
    ):
        key = observer.members[4].incarnation_key
        reports = (MemberUpdate(4, *key, MemberState.DEAD, reporter, 255) for reporter in range(5, 19))
        observer.receive(fleet.now_ns, 19, gossip(*reports))
        fleet.run(0.05)
    first_death, *_ = [death for death in fleet.declared_deaths if death.observer == 0]
    config = MembershipConfig()
    assert first_death.at_ns - start_ns >= config.suspicion_min_ns - config.max_reported_suspicion_age_ns


def test_state_stays_bounded_while_two_processes_use_one_number(fleet: SimulatedFleet) -> None:
    second = MembershipProtocol(7, 10, 20, fleet.random.randrange)
    for _ in range(200):
        for target in (0, 1, 2):
            message = Message(MessageKind.GOSSIP, second.local.boot, second.local.incarnation)
            fleet.members[target].receive(fleet.now_ns, 7, message)
        second.receive(fleet.now_ns, 0, gossip(fleet.members[0].members[7]))
        fleet.run(0.05)
    assert fleet.members[7].local.boot >= 10
    assert len(fleet.members[0].members) == 19
    assert len(fleet.members[0].broadcasts) <= 20


def test_state_that_grows_with_messages_is_bounded() -> None:
    config = MembershipConfig(max_broadcasts=10, max_relays=4)
    protocol = MembershipProtocol(0, 1, 1000, Random(1).randrange, config)
    protocol.start(0)
    for sender in range(1, 200):
        ping_req = Message(MessageKind.PING_REQ, 1, 0, sequence=sender, target=500)
        protocol.receive(NS_PER_S, sender, ping_req)
        reports = [
            MemberUpdate(n, 1, 0, MemberState.SUSPECT, reporter=n % 7) for n in range(sender, sender + 15)
        ]
        unknown = MemberUpdate(5000, 1, 0, MemberState.DEAD, reporter=1)
        protocol.receive(NS_PER_S, sender, gossip(*reports, unknown, boot=1))
    assert len(protocol.relays) <= 4
    assert len(protocol.broadcasts) <= 10
    assert protocol.broadcasts.dropped
    assert protocol.stats.ignored == 199
    assert len(protocol.members) <= 999
    assert len(protocol.suspicions) > 1
    assert all(len(suspicion.reporters) <= config.confirmations + 2 for suspicion in protocol.suspicions)


def test_datagrams_per_member_do_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (10, 60):
        fleet = converged_fleet(size)
        fleet.run(5)
        fleet.sent.clear()
        fleet.run(20)
        rates.append(sum(fleet.sent.values()) / size / 20)
    assert rates[1] == pytest.approx(rates[0], rel=0.15)
    assert rates[1] < 25
