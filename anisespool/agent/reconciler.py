"""The reconcile loop: compares the desired state with what instances report, and sends what is missing.

A delivery is in the store before it is sent, and its outcome after. If the agent ends between the two, the
next one polls the instances and goes on from what they report.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Sequence
from dataclasses import replace

from anisespool.agent.change_sender import ChangeSender
from anisespool.agent.control_client import ControlClient
from anisespool.agent.crash_points import CrashHook, CrashPoint, never_crash
from anisespool.agent.desired_state import Change, ChangeDraft, DeliveryState, DesiredState, DrainSet
from anisespool.agent.drain_sender import DrainSender
from anisespool.agent.events import EventKind, Publish
from anisespool.agent.fleet_status import FleetStatus
from anisespool.agent.instance_directory import InstanceDirectory
from anisespool.agent.rollout.desired_generation import NewestChange, desired_generation
from anisespool.agent.rollout.errors import (
    ActionNotPossibleError,
    NoChangeError,
    NotNewestGenerationError,
)
from anisespool.agent.rollout.planner import Decision, RolloutStep, next_step
from anisespool.agent.rollout.state import RolloutAction, RolloutState, state_after
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.store import change_table, delivery_table, drain_table
from anisespool.agent.store.writer import StoreWriter
from anisespool.config.operator import AgentOptions, LiveConfig, digest
from anisespool.log import log_event

BATCH_INTERVAL_S = 0.02  # observations that arrive together are reconciled together
IDLE_INTERVAL_S = 0.5
STORE_RETRY_INTERVAL_S = 1.0
MAX_EVENT_CHARACTERS = 300
EMPTY_DIGEST = digest(LiveConfig())
REASONS = {RolloutAction.PAUSE: "paused", RolloutAction.RESUME: "resumed", RolloutAction.ABORT: "aborted"}


class Reconciler:
    """Owner of the desired state, and the loop that brings it about."""

    def __init__(
        self,
        directory: InstanceDirectory,
        store: StoreWriter,
        settings: AgentOptions,
        publish: Publish,
        at_crash_point: CrashHook = never_crash,
    ) -> None:
        self.directory = directory
        self.desired = DesiredState()
        self._store = store
        self._publish = publish
        self._at_crash_point = at_crash_point
        self._wake_event = asyncio.Event()
        gate = asyncio.Semaphore(settings.max_concurrent_requests)
        self._sender = ChangeSender(
            store, self.desired, gate, publish, directory.poll_now, self.wake, at_crash_point
        )
        self._drain_sender = DrainSender(gate, self.wake, at_crash_point)
        self.status = FleetStatus(directory, self.desired, self._sender.in_flight)

    async def load(self) -> None:
        """Read the desired state from the store, after a start."""
        self.desired.newest = await self._store.execute(change_table.newest_change)
        await self._load_rollout()
        self.desired.drains = await self._store.execute(drain_table.load_drains)

    async def _load_rollout(self) -> None:
        """Read what belongs to the newest change: the change before it, and its deliveries."""
        newest = self.desired.newest
        if newest is None:
            return
        generation = newest.generation
        self.desired.last_settled = await self._store.execute(
            lambda db: change_table.last_settled_before(db, generation)
        )
        self.desired.deliveries = await self._store.execute(
            lambda db: delivery_table.load_deliveries(db, generation)
        )

    def wake(self) -> None:
        """Reconcile soon instead of at the next turn."""
        self._wake_event.set()

    async def run(self) -> None:
        """Reconcile until cancelled; deliveries that are in flight then are cancelled too."""
        async with self._sender.in_flight, self._drain_sender.in_flight:
            await self.directory.synced.wait()
            while True:
                await self._wait_for_wake()
                await self._reconcile_or_report()
                await asyncio.sleep(BATCH_INTERVAL_S)

    async def _wait_for_wake(self) -> None:
        """Return at the next `wake`, or after IDLE_INTERVAL_S."""
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self._wake_event.wait()
        except TimeoutError:
            pass
        self._wake_event.clear()

    async def _reconcile_or_report(self) -> None:
        """Reconcile once. On a full disk, for example, nothing that was not recorded was sent: report it."""
        try:
            await self._reconcile()
        except sqlite3.Error as error:
            log_event("store_write_failed", error=str(error))
            self._publish(EventKind.STORE, "", f"can't be written: {error}")
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    # Operations -----------------------------------------------------------------------------------

    async def start_rollout(self, draft: ChangeDraft, base: int) -> Change:
        """Make `draft` the newest change and start its rollout.

        Raises:
            GenerationConflictError: `base` is not the newest generation.
        """
        highest_observed = self.status.highest_generation()
        newest = self.desired.newest
        is_running = newest is not None and newest.state is RolloutState.RUNNING
        if newest and is_running and self._next_step(newest).decision is Decision.SETTLE:
            await self._set_state(newest, RolloutState.SETTLED, "")  # which was not recorded yet
        change = await self._store.execute(
            lambda db: change_table.insert_change(db, draft, base, highest_observed)
        )
        self._at_crash_point(CrashPoint.RECORDED)
        self.desired.newest = change
        self.desired.deliveries = {}
        self._sender.skip_settle_time()
        await self._load_rollout()
        text = f"by {change.author}: {change.note}".rstrip(": ")
        self._publish(EventKind.CHANGE, str(change.generation), text)
        self.wake()
        return change

    async def rollback_draft(self, author: str) -> ChangeDraft:
        """A draft with the content of the last settled change before the newest, or the empty document.

        Raises:
            NoChangeError: there is no change.
        """
        newest = self.desired.newest
        if newest is None:
            raise NoChangeError
        generation = newest.generation
        previous = await self._store.execute(lambda db: change_table.last_settled_before(db, generation))
        if previous is None:
            note = f"back from {generation} to the instances' own files"
            return ChangeDraft("{}", EMPTY_DIGEST, author, note, newest.policy)
        note = f"back from {generation} to generation {previous.generation}"
        return ChangeDraft(previous.content, previous.digest, author, note, newest.policy)

    async def control_rollout(self, action: RolloutAction, generation: int, author: str) -> Change:
        """Pause, resume or abort the newest rollout. `generation`: its number, or 0.

        Raises:
            NotNewestGenerationError: the generation is not the newest.
            ActionNotPossibleError: its state does not allow the action.
        """
        newest = self.desired.newest
        if newest is None or generation not in (0, newest.generation):
            raise NotNewestGenerationError(generation)
        state = state_after(newest.state, action)
        if state is None:
            raise ActionNotPossibleError(newest.generation, newest.state, action)
        if action is RolloutAction.RESUME:
            await self._clear_rejections(newest)
        await self._set_state(newest, state, f"{REASONS[action]} by {author}")
        return replace(newest, state=state)

    async def _clear_rejections(self, newest: Change) -> None:
        """Forget the rejections of the newest change, so that it is sent to those instances again."""
        # A rejection that is still in flight would be recorded after this, and pause the rollout again.
        await self._sender.in_flight.wait_until_idle()
        await self._store.execute(lambda db: delivery_table.clear_rejections(db, newest.generation))
        # The loop may compare before the store is read again; a cleared rejection would pause the rollout.
        self.desired.deliveries = {
            name: delivery
            for name, delivery in self.desired.deliveries.items()
            if delivery.state is not DeliveryState.REJECTED
        }

    async def update_drains(self, drain: Sequence[str], undrain: Sequence[str], author: str) -> DrainSet:
        """Drain endpoints on every instance, and end the drains of others."""
        highest_observed = self.status.highest_drains_revision()
        drains = await self._store.execute(
            lambda db: drain_table.update_drains(db, drain, undrain, author, highest_observed)
        )
        self.desired.drains = drains
        self._at_crash_point(CrashPoint.DRAIN_RECORDED)
        actions = [f"drain {endpoint}" for endpoint in drain] + [
            f"undrain {endpoint}" for endpoint in undrain
        ]
        text = f"by {author}: {', '.join(actions)}"[:MAX_EVENT_CHARACTERS]
        self._publish(EventKind.DRAIN, str(drains.revision), text)
        self._send_drains()  # at once: a drain does not wait for the loop
        return drains

    # Reconciliation -------------------------------------------------------------------------------

    async def _reconcile(self) -> None:
        """Compare desired and observed state once, and start sending what is missing."""
        self._send_drains()
        newest = self.desired.newest
        if newest is None:
            return
        if newest.state is RolloutState.RUNNING:
            await self._advance_rollout(newest)
        await self._send_outside_waves(newest)

    def _send_drains(self) -> None:
        self._drain_sender.send_where_outdated(self.status.reachable_targets(), self.desired.drains)

    def _next_step(self, newest: Change) -> RolloutStep:
        statuses = {
            client.name: self.status.status_of(client) or RolloutStatus.OUTDATED
            for client in self.status.targets()
        }
        return next_step(statuses, newest.policy, self._sender.settle_time_over)

    async def _advance_rollout(self, newest: Change) -> None:
        step = self._next_step(newest)
        if step.decision is Decision.PAUSE:
            await self._set_state(newest, RolloutState.PAUSED, step.reason)
        elif step.decision is Decision.SETTLE:
            self._at_crash_point(CrashPoint.SETTLING)
            await self._set_state(newest, RolloutState.SETTLED, "")
            self._at_crash_point(CrashPoint.SETTLED)
        elif step.send:
            await self._sender.send(newest, [self.directory.clients[name] for name in step.send])

    async def _send_outside_waves(self, newest: Change) -> None:
        """Send to instances that were unreachable, restarted or are new: they don't wait for a wave."""
        last_settled = self.desired.last_settled
        clients_by_generation: dict[int, list[ControlClient]] = {}
        for client in self.status.reachable_targets():
            generation = self._generation_outside_waves(newest, last_settled, client)
            if generation is not None:
                clients_by_generation.setdefault(generation, []).append(client)
        for generation, clients in clients_by_generation.items():
            change = newest if generation == newest.generation else self.desired.last_settled
            if change:
                await self._sender.send(change, clients)

    def _generation_outside_waves(
        self, newest: Change, last_settled: Change | None, client: ControlClient
    ) -> int | None:
        """The generation to send to an instance at once, if any."""
        if client.name in self._sender.in_flight or client.state is None:
            return None
        desired = desired_generation(
            NewestChange(newest.generation, newest.state),
            last_settled.generation if last_settled else 0,
            client.state.generation,
        )
        if desired is None or desired.in_waves:
            return None
        was_rejected = self.status.status_of(client) is RolloutStatus.REJECTED
        if was_rejected and desired.generation == newest.generation:
            return None
        return desired.generation

    async def _set_state(self, change: Change, state: RolloutState, reason: str) -> None:
        """Record a transition of a change, unless another one was recorded first."""
        was_recorded = await self._store.execute(
            lambda db: change_table.update_state(db, change.generation, change.state, state, reason)
        )
        if was_recorded and self.desired.newest and self.desired.is_newest(change):
            self.desired.newest = replace(self.desired.newest, state=state, reason=reason)
            if state is RolloutState.RUNNING:
                await self._load_rollout()
            text = f"{state.value} {reason}".strip()
            self._publish(EventKind.CHANGE, str(change.generation), text)
        self.wake()
