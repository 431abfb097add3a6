"""Sends changes to instances, and records each delivery before the request and again after the response."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import time

from anisespool.agent.control_client import ControlClient, RequestWithdrawnError, UnreachableError
from anisespool.agent.control_protocol import ApplyBody, RequestRejectedError
from anisespool.agent.crash_points import CrashPoint
from anisespool.agent.delivery_hooks import DeliveryHooks
from anisespool.agent.desired_state import Change, Delivery, DeliveryState
from anisespool.agent.desired_state_repository import DesiredStateRepository
from anisespool.agent.events import EventKind
from anisespool.agent.rollout.state import PROPAGATING_STATES
from anisespool.agent.task_scope import TaskScope
from anisespool.agent.wall_clock import MS_PER_S
from anisespool.control import routes
from anisespool.control.generations import ApplyDecision
from anisespool.log import log_event

# Rejections that are not recorded: the instance's configuration has changed since its last report. The poll
# after the rejection reads the current one.
TRANSIENT_DECISIONS = frozenset((ApplyDecision.BASE_MISMATCH, ApplyDecision.STALE))


class ChangeSender:
    """Sends changes to instances, and owns the deliveries that are in flight.

    The agent may crash between the two records of a delivery. After its restart it polls the instances and
    continues from what they report.

    Attributes:
        in_flight: Tasks of the deliveries, by instance name; cancelled when the reconcile loop ends.
    """

    def __init__(
        self,
        repository: DesiredStateRepository,
        request_slots: asyncio.Semaphore,
        hooks: DeliveryHooks,
    ) -> None:
        """Create a sender; `request_slots` limits the concurrent requests to instances."""
        self.in_flight = TaskScope()
        self._repository = repository
        self._desired = repository.desired
        self._request_slots = request_slots
        self._hooks = hooks
        self._settle_time_end_s = 0.0  # end of the pause after the last wave, in time.monotonic()

    @property
    def settle_time_over(self) -> bool:
        """Whether the pause after the last wave is over."""
        return time.monotonic() >= self._settle_time_end_s

    def skip_settle_time(self) -> None:
        """End the pause after the last wave immediately."""
        self._settle_time_end_s = 0.0

    async def send(self, change: Change, clients: list[ControlClient]) -> None:
        """Record the deliveries of `change` to `clients`, then start a task for each in `in_flight`.

        Raises:
            sqlite3.Error: the deliveries could not be recorded, so nothing was sent.
        """
        deliveries = [
            Delivery(client.name, client.state.boot, DeliveryState.SENT) for client in clients if client.state
        ]
        await self._repository.record_deliveries(change, deliveries)
        self._hooks.at_crash_point(CrashPoint.WAVE_RECORDED)
        for client in clients:
            self.in_flight.start(client.name, self._send_to(change, client))

    async def _send_to(self, change: Change, client: ControlClient) -> None:
        try:
            async with self._request_slots:
                await self._apply(change, client)
        except sqlite3.Error as error:
            log_event("store_write_failed", error=str(error))
        finally:
            self.in_flight.remove(client.name)
            if not self.in_flight:
                self._settle_time_end_s = time.monotonic() + change.settle_ms / MS_PER_S
            self._hooks.on_done()

    async def _apply(self, change: Change, client: ControlClient) -> None:
        """Send the change to one instance, and record the outcome."""
        if not self._is_desired(change):
            return
        assert client.state
        boot = client.state.boot
        body = _apply_body(change, client.state.digest)
        self._hooks.at_crash_point(CrashPoint.SENDING)
        try:
            await client.request_change(routes.APPLY_CONFIG, body, lambda: self._is_desired(change))
        except RequestWithdrawnError:
            return
        except UnreachableError as error:
            client.record_unreachable(error)
            self._hooks.poll_now(client.name)
            return
        except RequestRejectedError as error:
            await self._handle_rejection(change, client, boot, error)
            return
        self._hooks.at_crash_point(CrashPoint.ANSWERED)
        await self._repository.record_deliveries(
            change, [Delivery(client.name, boot, DeliveryState.CONFIRMED)]
        )
        self._hooks.at_crash_point(CrashPoint.CONFIRMED)

    def _is_desired(self, change: Change) -> bool:
        """Whether a delivery that has waited is still sent.

        Its change may have been superseded, paused or aborted meanwhile.
        """
        newest = self._desired.newest
        if newest and self._desired.is_newest(change):
            return newest.state in PROPAGATING_STATES
        return newest is None or change is self._desired.last_settled

    async def _handle_rejection(
        self, change: Change, client: ControlClient, boot: str, error: RequestRejectedError
    ) -> None:
        """Record and publish a rejection unless it is transient, and poll the instance in either case."""
        if error.decision not in TRANSIENT_DECISIONS:
            await self._repository.record_deliveries(
                change, [Delivery(client.name, boot, DeliveryState.REJECTED, error.text)]
            )
            text = f"refused generation {change.generation}: {error.text}"
            self._hooks.publish(EventKind.INSTANCE, client.name, text)
        await client.poll()


def _apply_body(change: Change, current_digest: str) -> ApplyBody:
    """Return the request that replaces the document with `current_digest` by the document of `change`."""
    return ApplyBody(
        generation=change.generation,
        base=current_digest,
        digest=change.digest,
        content=json.loads(change.content),
        force=change.policy.force,
    )
