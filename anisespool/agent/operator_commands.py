"""Operator commands that change the desired state: start, control and roll back rollouts, and drain."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from anisespool.agent.desired_state import Change, ChangeDraft, DrainSet
from anisespool.agent.desired_state_repository import DesiredStateRepository
from anisespool.agent.events import EventKind, Publish
from anisespool.agent.reconciler import Reconciler
from anisespool.agent.rollout.errors import (
    ActionNotPossibleError,
    NoChangeError,
    NotNewestGenerationError,
)
from anisespool.agent.rollout.state import RolloutAction, RolloutState, state_after
from anisespool.config.operator import LiveConfig, digest

MAX_EVENT_CHARACTERS = 300
EMPTY_DOCUMENT = "{}"  # no live change: the instances' own files apply
EMPTY_DIGEST = digest(LiveConfig())
REASONS = {RolloutAction.PAUSE: "paused", RolloutAction.RESUME: "resumed", RolloutAction.ABORT: "aborted"}


class OperatorCommands:
    """Changes the desired state on behalf of operators. The reconciler then brings the instances to it.

    Every method but `rollback_draft` raises sqlite3.Error if the store could not be written.
    """

    def __init__(self, reconciler: Reconciler, repository: DesiredStateRepository, publish: Publish) -> None:
        self._reconciler = reconciler
        self._repository = repository
        self._desired = repository.desired
        self._status = reconciler.status
        self._publish = publish

    async def start_rollout(self, draft: ChangeDraft, base: int) -> Change:
        """Make `draft` the newest change and start its rollout.

        Args:
            base: Newest generation that the author has seen, or `change_table.ANY_BASE`.

        Raises:
            GenerationConflictError: `base` is not the newest generation.
        """
        highest_observed = self._status.highest_generation()
        newest = self._desired.newest
        if newest and self._reconciler.is_about_to_settle(newest):
            await self._repository.set_state(newest, RolloutState.SETTLED, "")  # the loop has not recorded it
            self._reconciler.wake()
        change = await self._repository.insert_change(draft, base, highest_observed)
        self._reconciler.skip_settle_time()
        await self._repository.load_rollout()
        text = f"by {change.author}: {change.note}".rstrip(": ")
        self._publish(EventKind.CHANGE, str(change.generation), text)
        self._reconciler.wake()
        return change

    async def rollback_draft(self, author: str) -> ChangeDraft:
        """Return a draft with the content of the last settled change before the newest.

        Without such a change, the draft has an empty document.

        Raises:
            NoChangeError: there is no change.
        """
        newest = self._desired.newest
        if newest is None:
            raise NoChangeError
        previous = await self._repository.last_settled_before(newest)
        if previous is None:
            note = f"back from {newest.generation} to the instances' own files"
            return ChangeDraft(EMPTY_DOCUMENT, EMPTY_DIGEST, author, note, newest.policy)
        note = f"back from {newest.generation} to generation {previous.generation}"
        return ChangeDraft(previous.content, previous.digest, author, note, newest.policy)

    async def control_rollout(self, action: RolloutAction, generation: int, author: str) -> Change:
        """Pause, resume or abort the newest rollout, and return its change in the new state.

        Args:
            generation: Generation of the newest change, or 0 to accept any.
            author: Operator who requested the action.

        Raises:
            NotNewestGenerationError: there is no change, or `generation` is not the newest.
            ActionNotPossibleError: the state of the change does not allow the action.
        """
        newest = self._desired.newest
        if newest is None or generation not in (0, newest.generation):
            raise NotNewestGenerationError(generation)
        state = state_after(newest.state, action)
        if state is None:
            raise ActionNotPossibleError(newest.generation, newest.state, action)
        if action is RolloutAction.RESUME:
            # Otherwise a rejection still in flight would be recorded later, and pause the rollout again.
            await self._reconciler.wait_for_deliveries()
            await self._repository.clear_rejections(newest)
        await self._repository.set_state(newest, state, f"{REASONS[action]} by {author}")
        self._reconciler.wake()
        return replace(newest, state=state)

    async def adopt_reported_drains(self) -> None:
        """Take over the drains of the instances if these have a higher revision than the store."""
        await self._reconciler.adopt_reported_drains()

    async def update_drains(self, drain: Sequence[str], undrain: Sequence[str], author: str) -> DrainSet:
        """Drain and undrain endpoints on every instance, and start to send the new set of drains."""
        highest_observed = self._status.highest_drains_revision()
        drains = await self._repository.update_drains(drain, undrain, author, highest_observed)
        actions = [f"drain {endpoint}" for endpoint in drain]
        actions += [f"undrain {endpoint}" for endpoint in undrain]
        text = f"by {author}: {', '.join(actions)}"[:MAX_EVENT_CHARACTERS]
        self._publish(EventKind.DRAIN, str(drains.revision), text)
        self._reconciler.send_drains()  # without waiting for the reconcile loop
        return drains
