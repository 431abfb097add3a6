"""The states of a change, and the transitions that an operator can make."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RolloutState(Enum):
    """State of the rollout of a change. The values are stored as text, and displayed unchanged."""

    RUNNING = "running"
    PAUSED = "paused"
    SETTLED = "settled"
    ABORTED = "aborted"
    SUPERSEDED = "superseded"  # a newer change replaced it before it settled


DRY_RUN_STATE = "checked"  # state reported for a dry run, whose change was validated but not sent
# A change in one of these states is desired on every instance.
PROPAGATING_STATES = frozenset((RolloutState.RUNNING, RolloutState.SETTLED))


class RolloutAction(Enum):
    """Actions of an operator on the newest rollout. The values appear in errors."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


class _Transition(NamedTuple):
    """An action, and the state of the change before it. `_TRANSITIONS` has the state after it."""

    action: RolloutAction
    state: RolloutState


_TRANSITIONS = {
    _Transition(RolloutAction.PAUSE, RolloutState.RUNNING): RolloutState.PAUSED,
    _Transition(RolloutAction.RESUME, RolloutState.PAUSED): RolloutState.RUNNING,
    _Transition(RolloutAction.ABORT, RolloutState.RUNNING): RolloutState.ABORTED,
    _Transition(RolloutAction.ABORT, RolloutState.PAUSED): RolloutState.ABORTED,
}


def state_after(state: RolloutState, action: RolloutAction) -> RolloutState | None:
    """Return the state after `action`, or None if the action is not possible in `state`."""
    return _TRANSITIONS.get(_Transition(action, state))
