"""Sends the set of drained endpoints to every instance that has an older revision of it."""

from __future__ import annotations

import asyncio

from anisespool.agent.control_client import ControlClient, UnreachableError
from anisespool.agent.control_protocol import FleetDrainsBody, RequestRejectedError
from anisespool.agent.crash_points import CrashPoint
from anisespool.agent.delivery_hooks import DeliveryHooks
from anisespool.agent.desired_state import DrainSet
from anisespool.agent.task_scope import TaskScope
from anisespool.control import routes
from anisespool.log import log_event


class DrainSender:
    """Sends drains, and owns the deliveries that are in flight, at most one for each instance.

    Attributes:
        in_flight: Tasks of the deliveries, by instance name; cancelled when the reconcile loop ends.
    """

    def __init__(self, request_slots: asyncio.Semaphore, hooks: DeliveryHooks) -> None:
        """Create a sender; `request_slots` limits the concurrent requests to instances."""
        self.in_flight = TaskScope()
        self._request_slots = request_slots
        self._hooks = hooks

    def send_to_outdated(self, clients: list[ControlClient], drains: DrainSet) -> None:
        """Start a delivery to each of `clients` that reports an older revision and has none in flight."""
        for client in clients:
            is_outdated = client.state is not None and client.state.drains_revision < drains.revision
            if is_outdated and client.name not in self.in_flight:
                self.in_flight.start(client.name, self._send_to(client, drains))

    async def _send_to(self, client: ControlClient, drains: DrainSet) -> None:
        body = FleetDrainsBody(drains.revision, list(drains.endpoints), force=True)
        try:
            async with self._request_slots:
                await client.request_change(routes.SET_FLEET_DRAINS, body)
            self._hooks.at_crash_point(CrashPoint.DRAIN_DELIVERED)
        except UnreachableError as error:
            client.record_unreachable(error)
        except RequestRejectedError as error:
            log_event("drain_rejected", instance=client.name, code=error.code, error=error.text)
            await client.poll()
        finally:
            self.in_flight.remove(client.name)
            self._hooks.on_done()
