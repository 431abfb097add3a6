"""Sends a change to instances and records each delivery: before the request, and again after its answer."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import time

from anisespool.agent.control_client import ControlClient, UnreachableError
from anisespool.agent.control_protocol import ApplyBody, RequestRejectedError
from anisespool.agent.crash_points import CrashPoint
from anisespool.agent.delivery_hooks import DeliveryHooks
from anisespool.agent.desired_state import Change, Delivery, DeliveryState
from anisespool.agent.desired_state_repository import DesiredStateRepository
from anisespool.agent.events import EventKind
from anisespool.agent.task_scope import TaskScope
from anisespool.agent.wall_clock import MS_PER_S
from anisespool.control import routes
from anisespool.control.generations import ApplyDecision
from anisespool.log import log_event

# The instance has another configuration by now: its next state shows which.
TRANSIENT_DECISIONS = frozenset((ApplyDecision.BASE_MISMATCH, ApplyDecision.STALE))


class ChangeSender:
    """The changes that are in flight.

    Between the two records of a delivery the agent may crash: the next one polls the instances and goes on
    from what they report.

    Attributes:
        in_flight: The deliveries that are under way, by instance; the reconciler's loop ends them.
    """

    def __init__(
        self,
        repository: DesiredStateRepository,
        gate: asyncio.Semaphore,
        hooks: DeliveryHooks,
    ) -> None:
        """Send nothing yet; `gate` bounds the concurrent requests to instances."""
        self.in_flight = TaskScope()  # by instance
        self._repository = repository
        self._desired = repository.desired
        self._gate = gate
        self._hooks = hooks
        self._settles_at = 0.0  # time.monotonic(): end of the pause after the last wave

    @property
    def settle_time_over(self) -> bool:
        """Whether the pause after the last wave is over."""
        return time.monotonic() >= self._settles_at

    def skip_settle_time(self) -> None:
        """End the pause after the last wave now."""
        self._settles_at = 0.0

    async def send(self, change: Change, clients: list[ControlClient]) -> None:
        """Record the deliveries, then start them all. `in_flight` names those that are under way.

        Raises:
            sqlite3.Error: the deliveries could not be recorded; nothing was sent.
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
            async with self._gate:
                await self._apply(change, client)
        except sqlite3.Error as error:
            log_event("store_write_failed", error=str(error))
        finally:
            self.in_flight.remove(client.name)
            if not self.in_flight:
                self._settles_at = time.monotonic() + change.settle_ms / MS_PER_S
            self._hooks.on_done()

    async def _apply(self, change: Change, client: ControlClient) -> None:
        """Send one request to one instance, and record its outcome."""
        desired = self._desired
        if desired.newest and not desired.is_newest(change) and change is not desired.last_settled:
            return  # superseded while it waited at the gate
        assert client.state
        boot = client.state.boot
        body = _apply_body(change, client.state.digest)
        self._hooks.at_crash_point(CrashPoint.SENDING)
        try:
            await client.request_change(routes.APPLY_CONFIG, body)
        except UnreachableError as error:
            client.record_unreachable(error)
            self._hooks.poll_now(client.name)
            return
        except RequestRejectedError as error:
            await self._record_rejection(change, client, boot, error)
            return
        self._hooks.at_crash_point(CrashPoint.ANSWERED)
        await self._repository.record_deliveries(
            change, [Delivery(client.name, boot, DeliveryState.CONFIRMED)]
        )
        self._hooks.at_crash_point(CrashPoint.CONFIRMED)

    async def _record_rejection(
        self, change: Change, client: ControlClient, boot: str, error: RequestRejectedError
    ) -> None:
        if error.decision not in TRANSIENT_DECISIONS:
            await self._repository.record_deliveries(
                change, [Delivery(client.name, boot, DeliveryState.REJECTED, error.text)]
            )
            text = f"refused generation {change.generation}: {error.text}"
            self._hooks.publish(EventKind.INSTANCE, client.name, text)
        await client.poll()


def _apply_body(change: Change, current_digest: str) -> ApplyBody:
    """Return the request to replace the document of `current_digest` by that of `change`."""
    return ApplyBody(
        generation=change.generation,
        base=current_digest,
        digest=change.digest,
        content=json.loads(change.content),
        force=change.policy.force,
    )
