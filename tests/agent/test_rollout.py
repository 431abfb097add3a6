"""The rollout planner with arbitrary statuses of the instances, and the transitions of a change."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, strategies

from anisespool.agent.desired_state import Change, Delivery, DeliveryState
from anisespool.agent.instance_state import InstanceState
from anisespool.agent.rollout.desired_generation import DesiredGeneration, NewestChange, desired_generation
from anisespool.agent.rollout.planner import Decision, RolloutStep, next_step
from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.state import RolloutAction, RolloutState, state_after
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.rollout.status_by_report import status_by_report

UP_TO_DATE = RolloutStatus.UP_TO_DATE
OUTDATED = RolloutStatus.OUTDATED
IN_FLIGHT = RolloutStatus.IN_FLIGHT
REJECTED = RolloutStatus.REJECTED
UNREACHABLE = RolloutStatus.UNREACHABLE
STATUSES = strategies.dictionaries(
    strategies.text("abcdef", min_size=1, max_size=3), strategies.sampled_from(RolloutStatus)
)
POLICIES = strategies.builds(
    RolloutPolicy,
    wave_size=strategies.integers(0, 4),
    first_wave_size=strategies.integers(0, 4),
    max_rejected=strategies.integers(0, 3),
    max_unreachable=strategies.integers(-1, 3),
)


@given(STATUSES, POLICIES, strategies.booleans())
def test_a_step_sends_only_to_outdated_instances_within_the_bounds(
    statuses: dict[str, RolloutStatus], policy: RolloutPolicy, settle_time_over: bool
) -> None:
    step = next_step(statuses, policy, settle_time_over)
    values = list(statuses.values())
    assert all(statuses[name] is OUTDATED for name in step.send)
    assert len(set(step.send)) == len(step.send)
    if step.send:
        max_size = max(policy.wave_size, policy.first_wave_size) if policy.wave_size else len(statuses)
        assert IN_FLIGHT not in values
        assert settle_time_over
        assert len(step.send) <= max_size
    is_exceeded = values.count(REJECTED) > policy.max_rejected
    is_exceeded |= 0 <= policy.max_unreachable < values.count(UNREACHABLE)
    assert (step.decision is Decision.PAUSE) == is_exceeded == bool(step.reason)
    if step.decision is Decision.SETTLE:
        assert not {OUTDATED, IN_FLIGHT} & set(values)
    if step.decision is Decision.CONTINUE:
        assert step.send or IN_FLIGHT in values or not settle_time_over


@given(strategies.integers(1, 30), strategies.integers(0, 7), strategies.integers(0, 2**32))
def test_a_rollout_reaches_all_instances_in_waves_of_bounded_size(
    size: int, wave_size: int, seed: int
) -> None:
    """Some instances become unreachable during the rollout and respond again later."""
    generator = random.Random(seed)
    statuses = {f"n{number:02}": OUTDATED for number in range(size)}
    waves = 0
    for _ in range(1000):
        step = next_step(statuses, RolloutPolicy(wave_size=wave_size))
        if step.decision is Decision.SETTLE:
            unreachable = [name for name, status in statuses.items() if status is UNREACHABLE]
            if not unreachable:
                break
            statuses.update(dict.fromkeys(unreachable, OUTDATED))
            continue
        waves += bool(step.send)
        for name in step.send:
            statuses[name] = UNREACHABLE if generator.random() < 0.2 else UP_TO_DATE
    assert set(statuses.values()) == {UP_TO_DATE}
    assert waves >= (size + wave_size - 1) // wave_size if wave_size else waves >= 1


def test_the_first_wave_may_be_smaller_and_unreachable_instances_block_no_wave() -> None:
    policy = RolloutPolicy(wave_size=2, first_wave_size=1)
    statuses = {"a": OUTDATED, "b": OUTDATED, "c": UNREACHABLE, "d": OUTDATED}
    assert next_step(statuses, policy).send == ("a",)
    assert next_step(statuses | {"a": UP_TO_DATE}, policy).send == ("b", "d")
    all_reachable_done = {"a": UP_TO_DATE, "c": UNREACHABLE}
    assert next_step(all_reachable_done, RolloutPolicy()) == RolloutStep(Decision.SETTLE)


@pytest.mark.parametrize(
    ("newest", "last_settled", "observed", "expected"),
    [
        (None, 0, 0, None),
        (NewestChange(3, RolloutState.RUNNING), 2, 0, DesiredGeneration(3, in_waves=True)),
        (NewestChange(3, RolloutState.SETTLED), 2, 2, DesiredGeneration(3, in_waves=False)),
        # An instance that restarts during a pause gets the last settled generation.
        (NewestChange(3, RolloutState.PAUSED), 2, 0, DesiredGeneration(2, in_waves=False)),
        (NewestChange(3, RolloutState.PAUSED), 2, 2, None),
        (NewestChange(3, RolloutState.ABORTED), 2, 3, None),  # only a rollback removes it
        (NewestChange(3, RolloutState.ABORTED), 0, 0, None),
        (NewestChange(3, RolloutState.SETTLED), 2, 9, None),  # an instance that is ahead gets no older one
    ],
)
def test_the_generation_that_an_instance_should_have(
    newest: NewestChange | None, last_settled: int, observed: int, expected: DesiredGeneration | None
) -> None:
    assert desired_generation(newest, last_settled, observed) == expected


NEWEST = Change(
    generation=3,
    base=2,
    digest="d3",
    content="{}",
    state=RolloutState.RUNNING,
    reason="",
    author="me",
    note="",
    created_ms=0,
    policy=RolloutPolicy(),
    settle_ms=0,
)
REPORT = InstanceState(
    name="i0",
    boot="b1",
    phase="serving",
    generation=2,
    digest="d2",
    pid=7,
    uptime_s=1.0,
    build="0.2",
    drained=[],
    drains_revision=0,
)


@pytest.mark.parametrize(
    ("generation", "digest", "delivery", "expected"),
    [
        (2, "d2", None, OUTDATED),
        (2, "d2", Delivery("i0", "b1", DeliveryState.SENT), OUTDATED),
        (2, "d2", Delivery("i0", "b1", DeliveryState.REJECTED), REJECTED),
        (2, "d2", Delivery("i0", "b0", DeliveryState.REJECTED), OUTDATED),  # it has restarted since
        (3, "d3", None, UP_TO_DATE),
        (3, "d3", Delivery("i0", "b1", DeliveryState.REJECTED), UP_TO_DATE),  # its report takes precedence
        (3, "other", None, REJECTED),  # another document of that generation
        (4, "d4", None, RolloutStatus.AHEAD),
    ],
)
def test_the_status_of_an_instance_follows_its_report(
    generation: int, digest: str, delivery: Delivery | None, expected: RolloutStatus
) -> None:
    observed = replace(REPORT, generation=generation, digest=digest)
    assert status_by_report(NEWEST, observed, delivery) is expected


def test_a_rollout_that_has_ended_allows_no_action() -> None:
    assert state_after(RolloutState.RUNNING, RolloutAction.PAUSE) is RolloutState.PAUSED
    assert state_after(RolloutState.PAUSED, RolloutAction.RESUME) is RolloutState.RUNNING
    for state in (RolloutState.SETTLED, RolloutState.ABORTED, RolloutState.SUPERSEDED):
        assert not any(state_after(state, action) for action in RolloutAction)
