"""Requests that one gRPC call sends to many instances. None of them affects the desired state."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator, Iterable
from dataclasses import dataclass, field

from anisespool.agent.call_errors import DrainRejectedError
from anisespool.agent.control_client import ControlClient, UnreachableError
from anisespool.agent.control_protocol import FleetDrainsBody, RequestRejectedError, ValidateBody
from anisespool.agent.rollout.state import DRY_RUN_STATE
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.config import operator
from anisespool.control import routes

MAX_CONCURRENT_REQUESTS = 32
MAX_DETAIL_CHARACTERS = 200
CHECK_REVISION = 2**52  # above the revision of any instance; an instance rejects a revision below its own


@dataclass(slots=True)
class _ValidationResult:
    """Numbers of instances by the outcome of the validation, and the problems in order of arrival."""

    valid: int = 0
    unreachable: int = 0
    rejected: int = 0
    problems: list[str] = field(default_factory=list)

    def message(self) -> pb.Progress:
        """Return the result as the single message of a dry run."""
        return pb.Progress(
            state=DRY_RUN_STATE,
            total=self.valid + self.unreachable + self.rejected,
            has=self.valid,
            unreachable=self.unreachable,
            refused=self.rejected,
            trouble=self.problems,
        )


async def validate_on_each(
    clients: Iterable[ControlClient], document: operator.LiveConfig, force: bool
) -> pb.Progress:
    """Have every instance validate a document without applying it, and return the counts.

    `force` accepts a document that drains the last endpoint.
    """
    body = ValidateBody(operator.to_tables(document), force)
    request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    result = _ValidationResult()

    async def validate(client: ControlClient) -> None:
        try:
            async with request_slots:
                await client.request(routes.VALIDATE_CONFIG, body)
            result.valid += 1
        except UnreachableError as error:
            result.unreachable += 1
            result.problems.append(f"{client.name}: {error}")
        except RequestRejectedError as error:
            result.rejected += 1
            result.problems.append(f"{client.name}: {error.text}")

    await asyncio.gather(*(validate(client) for client in clients))
    return result.message()


async def check_drains_on_each(clients: Iterable[ControlClient], endpoints: list[str]) -> None:
    """Have each instance check that the drains leave it an endpoint, as its endpoint list may differ.

    Instances that can't be reached are skipped.

    Raises:
        DrainRejectedError: an instance rejected the drains.
    """
    body = FleetDrainsBody(CHECK_REVISION, endpoints, check=True)
    rejections: list[str] = []

    async def check(client: ControlClient) -> None:
        try:
            await client.request(routes.SET_FLEET_DRAINS, body)
        except UnreachableError:
            pass
        except RequestRejectedError as error:
            rejections.append(f"{client.name}: {error.text}")

    await asyncio.gather(*(check(client) for client in clients))
    if rejections:
        raise DrainRejectedError(rejections)


async def list_members_on_each(clients: Iterable[ControlClient]) -> AsyncGenerator[pb.PeersReply, None]:
    """Yield each instance's view of the membership, in the order of `clients`.

    Closing the generator cancels the remaining requests.
    """
    request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    tasks = [asyncio.create_task(_list_members(client, request_slots)) for client in clients]
    try:
        for task in tasks:
            yield await task
    finally:
        for task in tasks:
            task.cancel()


async def _list_members(client: ControlClient, request_slots: asyncio.Semaphore) -> pb.PeersReply:
    try:
        async with request_slots:
            view = await client.request(routes.LIST_MEMBERS)
    except RequestRejectedError:
        return pb.PeersReply(name=client.name, detail="talks to nobody: no [peers], or not allowed")
    except UnreachableError as error:
        return pb.PeersReply(name=client.name, detail=str(error)[:MAX_DETAIL_CHARACTERS])
    return pb.PeersReply(name=client.name, peers_json=json.dumps(view))
