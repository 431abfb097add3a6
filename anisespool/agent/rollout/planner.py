"""Plans a rollout: which instances receive the change next, and when the rollout pauses or settles.

The planner is level-triggered: it is called again after every observation, with the current status of each
instance, and keeps no state between two calls. A restart of the agent therefore needs no special handling:
an instance whose delivery was in flight is up to date or outdated once it has been polled.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.status import RolloutStatus


class Decision(Enum):
    """Decision of the planner about a running rollout."""

    CONTINUE = "running"
    SETTLE = "settled"  # no instance is left to send to; unreachable ones follow when they respond
    PAUSE = "pause"


class RolloutStep(NamedTuple):
    """The next step of a rollout.

    Attributes:
        decision: Whether the rollout continues, settles or pauses.
        send: Names of the instances in the next wave.
        reason: Reason for a pause; otherwise empty.
    """

    decision: Decision
    send: tuple[str, ...] = ()
    reason: str = ""


def next_step(
    statuses: Mapping[str, RolloutStatus], policy: RolloutPolicy, settle_time_over: bool = True
) -> RolloutStep:
    """Return the next step of a running rollout.

    At most `wave_size` instances are in flight at a time. Nothing is sent to an instance that is up to date,
    rejected the change or is unreachable, and nothing at all once a limit of `policy` is exceeded. The
    rollout settles when there is nothing to send and nothing in flight.

    Args:
        statuses: Status of each target instance, by name.
        settle_time_over: Whether the pause after the previous wave is over.
    """
    counts = dict.fromkeys(RolloutStatus, 0)
    for status in statuses.values():
        counts[status] += 1
    if reason := _exceeded_limit(counts, policy):
        return RolloutStep(Decision.PAUSE, reason=reason)
    outdated = sorted(name for name, status in statuses.items() if status is RolloutStatus.OUTDATED)
    if counts[RolloutStatus.IN_FLIGHT] or (outdated and not settle_time_over):
        return RolloutStep(Decision.CONTINUE)
    if not outdated:
        return RolloutStep(Decision.SETTLE)
    is_first_wave = not counts[RolloutStatus.UP_TO_DATE] and not counts[RolloutStatus.REJECTED]
    size = policy.first_wave_size if is_first_wave and policy.first_wave_size else policy.wave_size
    return RolloutStep(Decision.CONTINUE, tuple(outdated[: size or None]))


def _exceeded_limit(counts: Mapping[RolloutStatus, int], policy: RolloutPolicy) -> str:
    """Return a sentence about the first limit of `policy` that is exceeded; empty if none is."""
    rejected = counts[RolloutStatus.REJECTED]
    unreachable = counts[RolloutStatus.UNREACHABLE]
    if rejected > policy.max_rejected:
        return f"{rejected} instances refused it, at most {policy.max_rejected} may"
    if 0 <= policy.max_unreachable < unreachable:
        return f"{unreachable} instances don't answer, at most {policy.max_unreachable} may"
    return ""
