"""The reconcile loop: compares the desired state with the instances' reports, and sends what is missing.

A delivery is stored before it is sent, and its outcome is stored afterwards. If the agent ends in between,
its successor polls the instances and continues from what they report.
"""

from __future__ import annotations

import asyncio
import sqlite3

from anisespool.agent.change_sender import ChangeSender
from anisespool.agent.control_client import ControlClient
from anisespool.agent.crash_points import CrashHook, CrashPoint, never_crash
from anisespool.agent.delivery_hooks import DeliveryHooks
from anisespool.agent.desired_state import Change
from anisespool.agent.desired_state_repository import DesiredStateRepository
from anisespool.agent.drain_sender import DrainSender
from anisespool.agent.events import EventKind, Publish
from anisespool.agent.fleet_status import FleetStatus
from anisespool.agent.instance_directory import InstanceDirectory
from anisespool.agent.rollout.desired_generation import NewestChange, desired_generation
from anisespool.agent.rollout.planner import Decision, RolloutStep, next_step
from anisespool.agent.rollout.state import RolloutState
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.log import log_event

BATCH_INTERVAL_S = 0.02  # observations that arrive within this time are reconciled together
IDLE_INTERVAL_S = 0.5
STORE_RETRY_INTERVAL_S = 1.0


class Reconciler:
    """Brings the instances to the desired state.

    Attributes:
        desired: The desired state, which `OperatorCommands` changes through the repository.
        status: Comparison of the instances with the desired state.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        repository: DesiredStateRepository,
        max_concurrent_requests: int,
        publish: Publish,
        at_crash_point: CrashHook = never_crash,
    ) -> None:
        self.directory = directory
        self.desired = repository.desired
        self._repository = repository
        self._publish = publish
        self._at_crash_point = at_crash_point
        self._wake_event = asyncio.Event()
        request_slots = asyncio.Semaphore(max_concurrent_requests)
        hooks = DeliveryHooks(publish, directory.poll_now, self.wake, at_crash_point)
        self._sender = ChangeSender(repository, request_slots, hooks)
        self._drain_sender = DrainSender(request_slots, hooks)
        self.status = FleetStatus(directory, self.desired, self._sender.in_flight)

    async def run(self) -> None:
        """Reconcile until cancelled. Deliveries in flight are then cancelled as well."""
        async with self._sender.in_flight, self._drain_sender.in_flight:
            await self.directory.synced.wait()
            while True:
                await self._wait_for_wake()
                await self._reconcile_or_report()
                await asyncio.sleep(BATCH_INTERVAL_S)

    def wake(self) -> None:
        """Trigger a reconciliation without waiting for the end of the idle interval."""
        self._wake_event.set()

    def skip_settle_time(self) -> None:
        """End the pause after the last wave immediately."""
        self._sender.skip_settle_time()

    async def wait_for_deliveries(self) -> None:
        """Wait for the end of the change deliveries that are currently in flight."""
        await self._sender.in_flight.wait_until_idle()

    async def adopt_reported_drains(self) -> None:
        """Take over the drains of the instances if these have a higher revision than the store."""
        reported = self.status.newest_reported_drains()
        if await self._repository.adopt_drains(reported):
            log_event("drains_adopted", revision=reported.revision, endpoint=",".join(reported.endpoints))

    def send_drains(self) -> None:
        """Start to send the drains to each instance that reports an older revision."""
        self._drain_sender.send_to_outdated(self.status.reachable_targets(), self.desired.drains)

    def is_about_to_settle(self, newest: Change) -> bool:
        """Return whether the next reconciliation would settle the rollout of the newest change."""
        is_running = newest.state is RolloutState.RUNNING
        return is_running and self._next_step(newest).decision is Decision.SETTLE

    async def _wait_for_wake(self) -> None:
        """Return at the next `wake`, or after IDLE_INTERVAL_S."""
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self._wake_event.wait()
        except TimeoutError:
            pass
        self._wake_event.clear()

    async def _reconcile_or_report(self) -> None:
        """Reconcile once, and report an error of the store, such as a full disk.

        Deliveries are stored before they are sent, so nothing was sent that the store does not hold.
        """
        try:
            await self._reconcile()
        except sqlite3.Error as error:
            log_event("store_write_failed", error=str(error))
            self._publish(EventKind.STORE, "", f"can't be written: {error}")
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    async def _reconcile(self) -> None:
        """Compare the desired with the observed state once, and start to send what is missing."""
        await self.adopt_reported_drains()
        self.send_drains()
        newest = self.desired.newest
        if newest is None:
            return
        if newest.state is RolloutState.RUNNING:
            await self._advance_rollout(newest)
        await self._send_outside_waves(newest)

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

    async def _set_state(self, newest: Change, state: RolloutState, reason: str) -> None:
        await self._repository.set_state(newest, state, reason)
        self.wake()

    async def _send_outside_waves(self, newest: Change) -> None:
        """Send to instances that are new, restarted or were unreachable, without waiting for a wave."""
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
        """Return the generation to send to an instance immediately; None if there is none."""
        if client.name in self._sender.in_flight or client.state is None:
            return None
        to_send = desired_generation(
            NewestChange(newest.generation, newest.state),
            last_settled.generation if last_settled else 0,
            client.state.generation,
        )
        if to_send is None or to_send.in_waves:
            return None
        was_rejected = self.status.status_of(client) is RolloutStatus.REJECTED
        if was_rejected and to_send.generation == newest.generation:
            return None
        return to_send.generation
