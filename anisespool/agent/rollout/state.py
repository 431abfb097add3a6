"""The states of a change, and the transitions that an operator can make."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RolloutState(Enum):
    """State of a change. The values are stored as text and shown as they are."""

    RUNNING = "running"
    PAUSED = "paused"
    SETTLED = "settled"
    ABORTED = "aborted"
    SUPERSEDED = "superseded"  # a newer change replaced it before it settled


DRY_RUN_STATE = "checked"  # of a progress, in place of a RolloutState: validated and not sent
PROPAGATING_STATES = frozenset((RolloutState.RUNNING, RolloutState.SETTLED))  # desired on every instance


class RolloutAction(Enum):
    """What an operator can do to the newest rollout. The values appear in errors."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


class _Transition(NamedTuple):
    """An action on a change in a state."""

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
