"""The only module that modifies the desired state: first in the store, then in memory."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from anisespool.agent.crash_points import CrashHook, CrashPoint
from anisespool.agent.desired_state import (
    Change,
    ChangeDraft,
    Delivery,
    DeliveryState,
    DesiredState,
    DrainSet,
)
from anisespool.agent.events import EventKind, Publish
from anisespool.agent.rollout.state import RolloutState
from anisespool.agent.store import change_table, delivery_table, drain_table
from anisespool.agent.store.writer import StoreWriter


class DesiredStateRepository:
    """Owner of the desired state and of its rows in the store.

    The methods raise sqlite3.Error if the store can't be read or written.

    Attributes:
        desired: The desired state as last read or written. Other classes only read it.
    """

    def __init__(self, store: StoreWriter, publish: Publish, at_crash_point: CrashHook) -> None:
        self.desired = DesiredState()
        self._store = store
        self._publish = publish
        self._at_crash_point = at_crash_point

    async def load(self) -> None:
        """Load the desired state from the store when the agent starts."""
        self.desired.newest = await self._store.execute(change_table.newest_change)
        await self.load_rollout()
        self.desired.drains = await self._store.execute(drain_table.load_drains)

    async def load_rollout(self) -> None:
        """Load the deliveries of the newest change, and the settled change before it."""
        newest = self.desired.newest
        if newest is None:
            return
        generation = newest.generation
        self.desired.last_settled = await self.last_settled_before(newest)
        self.desired.deliveries = await self._store.execute(
            lambda db: delivery_table.load_deliveries(db, generation)
        )

    async def last_settled_before(self, change: Change) -> Change | None:
        """Return the newest settled change before `change`; None if there is none."""
        return await self._store.execute(lambda db: change_table.last_settled_before(db, change.generation))

    async def insert_change(self, draft: ChangeDraft, base: int, highest_observed: int) -> Change:
        """Make `draft` the newest change, without deliveries.

        `desired.last_settled` may be stale until the caller calls `load_rollout`.

        Args:
            base: Newest generation that the author has seen, or `change_table.ANY_BASE`.
            highest_observed: Highest generation that any instance reports.

        Raises:
            GenerationConflictError: `base` is not the newest generation.
        """
        change = await self._store.execute(
            lambda db: change_table.insert_change(db, draft, base, highest_observed)
        )
        self._at_crash_point(CrashPoint.RECORDED)
        self.desired.newest = change
        self.desired.deliveries = {}
        return change

    async def set_state(self, change: Change, state: RolloutState, reason: str) -> None:
        """Record and publish a state transition, unless another one was recorded meanwhile."""
        was_recorded = await self._store.execute(
            lambda db: change_table.update_state(db, change.generation, change.state, state, reason)
        )
        if was_recorded and self.desired.newest and self.desired.is_newest(change):
            self.desired.newest = replace(self.desired.newest, state=state, reason=reason)
            if state is RolloutState.RUNNING:
                await self.load_rollout()
            text = f"{state.value} {reason}".strip()
            self._publish(EventKind.CHANGE, str(change.generation), text)

    async def record_deliveries(self, change: Change, deliveries: Sequence[Delivery]) -> None:
        """Record deliveries of a change. They replace earlier ones to the same instances."""
        await self._store.execute(
            lambda db: delivery_table.record_deliveries(db, change.generation, deliveries)
        )
        if self.desired.is_newest(change):
            self.desired.deliveries.update({delivery.instance: delivery for delivery in deliveries})

    async def clear_rejections(self, newest: Change) -> None:
        """Delete the rejections of the newest change, so that the rejecting instances receive it again."""
        await self._store.execute(lambda db: delivery_table.clear_rejections(db, newest.generation))
        # The reconcile loop may run before the store is read again. A rejection that is still in memory would
        # then pause the rollout.
        self.desired.deliveries = {
            name: delivery
            for name, delivery in self.desired.deliveries.items()
            if delivery.state is not DeliveryState.REJECTED
        }

    async def adopt_drains(self, reported: DrainSet) -> bool:
        """Replace the drains by those that instances report at a higher revision; return whether they were.

        Otherwise the next drain or undrain would end those that a lost store held.
        """
        if reported.revision <= self.desired.drains.revision:
            return False
        self.desired.drains = await self._store.execute(lambda db: drain_table.adopt_drains(db, reported))
        return self.desired.drains.revision == reported.revision

    async def update_drains(
        self, drain: Sequence[str], undrain: Sequence[str], author: str, highest_observed: int
    ) -> DrainSet:
        """Drain and undrain endpoints on every instance.

        Args:
            author: Operator who requested the update.
            highest_observed: Highest revision that any instance reports.
        """
        self.desired.drains = await self._store.execute(
            lambda db: drain_table.update_drains(db, drain, undrain, author, highest_observed)
        )
        self._at_crash_point(CrashPoint.DRAIN_RECORDED)
        return self.desired.drains
