"""The agent's gRPC service: one method for each call of agent.proto."""

from __future__ import annotations

import asyncio
import fnmatch
import json
import sqlite3
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import aclosing, contextmanager
from dataclasses import replace

from anisespool.agent import conversion, fan_out, validation
from anisespool.agent.call_errors import (
    ConflictError,
    Context,
    InstanceRejectedError,
    InstanceUnavailableError,
    SlowWatcherError,
    StoreUnavailableError,
    TooManyWatchersError,
    UnknownGenerationError,
    UnknownInstanceError,
    errors_as_status,
)
from anisespool.agent.control_client import ControlClient, UnreachableError
from anisespool.agent.control_protocol import ControlClientError, EndpointBody, RequestRejectedError
from anisespool.agent.desired_state import Change, ChangeDraft
from anisespool.agent.events import EventBroadcaster, PollSignal
from anisespool.agent.operator_commands import OperatorCommands
from anisespool.agent.reconciler import Reconciler
from anisespool.agent.rollout.state import RolloutState
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.store import change_table
from anisespool.agent.store.errors import GenerationConflictError
from anisespool.agent.store.writer import StoreWriter
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.v1 import agent_pb2_grpc
from anisespool.control import routes

MAX_HISTORY_RECORDS = 20  # limit of the changes in a StatusReply
STORE_WRITABLE = "ok"  # value of `StatusReply.store` when there is no error
PROGRESS_INTERVAL_S = 0.1  # shortest time between two messages about a rollout
DRAIN_PROGRESS_INTERVAL_S = 0.05  # time between two messages about a drain
PROGRESS_TIMEOUT_S = 1.0  # longest wait for a signal before a rollout's progress is compared again
DRAIN_TIMEOUT_S = 10.0  # a drain's stream ends after this time even if the drain has not settled


class AgentService(agent_pb2_grpc.AgentServicer):  # type: ignore[misc]  # generated without type stubs
    """Serves calls from the desired state and the last reports of the instances."""

    def __init__(
        self,
        reconciler: Reconciler,
        commands: OperatorCommands,
        store: StoreWriter,
        broadcaster: EventBroadcaster,
        poll_signal: PollSignal,
    ) -> None:
        self._commands = commands
        self._desired = reconciler.desired
        self._directory = reconciler.directory
        self._status = reconciler.status
        self._store = store
        self._broadcaster = broadcaster
        self._poll_signal = poll_signal

    async def List(self, request: pb.ListRequest, context: Context) -> AsyncIterator[pb.Instance]:
        """Stream the instances whose names match the pattern, sorted by name."""
        await self._directory.synced.wait()
        for name in sorted(self._directory.clients):
            client = self._directory.clients.get(name)  # it may have been removed meanwhile
            if client and fnmatch.fnmatchcase(name, request.pattern or "*"):
                yield conversion.instance_message(client, self._status.status_of(client))

    async def Inspect(self, request: pb.InspectRequest, context: Context) -> pb.InspectReply:
        """Request the complete description of one instance from that instance, and return it."""
        async with errors_as_status(context):
            client = await self._find_client(request.name)
            with _instance_errors_as_call_errors(client):
                description = await client.request(routes.DESCRIBE)
        return pb.InspectReply(description_json=json.dumps(description))

    async def Peers(self, request: pb.PeersRequest, context: Context) -> AsyncIterator[pb.PeersReply]:
        """Stream the membership view of each instance whose name matches the pattern, sorted by name."""
        await self._directory.synced.wait()
        clients = self._directory.clients
        names = [name for name in sorted(clients) if fnmatch.fnmatchcase(name, request.pattern or "*")]
        async with aclosing(fan_out.list_members_on_each([clients[name] for name in names])) as replies:
            async for reply in replies:
                yield reply

    async def Status(self, request: pb.StatusRequest, context: Context) -> pb.StatusReply:
        """Return the requested or newest change with all statuses, recent changes, and the drains."""
        await self._directory.synced.wait()
        history = await self._store.execute(lambda db: change_table.recent_changes(db, MAX_HISTORY_RECORDS))
        reply = pb.StatusReply(
            history=[conversion.change_message(change) for change in history],
            drains=self._desired.drains.endpoints,
            drains_revision=self._desired.drains.revision,
            store=self._store.last_error or STORE_WRITABLE,
        )
        async with errors_as_status(context):
            change = await self._find_change(request.generation)
        if change:
            reply.change.CopyFrom(conversion.change_message(change))
            reply.targets.extend(self._target_messages(change))
            if self._desired.is_newest(change):
                reply.progress.CopyFrom(self._progress(change))
        return reply

    async def _find_change(self, generation: int) -> Change | None:
        """Return the change with this generation, or the newest if it is 0.

        Raises:
            UnknownGenerationError: the store has no such generation.
        """
        if not generation:
            return self._desired.newest
        change = await self._store.execute(lambda db: change_table.find_change(db, generation))
        if change is None:
            raise UnknownGenerationError(generation)
        return change

    def _target_messages(self, change: Change) -> list[pb.Target]:
        clients = sorted(self._status.targets(), key=lambda client: client.name)
        if self._desired.is_newest(change):
            return [
                conversion.target_message(
                    client.name, self._status.status_of(client), self._status.detail_of(client)
                )
                for client in clients
            ]
        return [  # an older change: only whether each instance still has it
            conversion.target_message(
                client.name,
                RolloutStatus.UP_TO_DATE
                if client.state and client.state.generation == change.generation
                else RolloutStatus.OUTDATED,
            )
            for client in clients
        ]

    def _progress(self, change: Change) -> pb.Progress:
        return conversion.progress_message(change, self._status.summary())

    async def Watch(self, request: pb.WatchRequest, context: Context) -> AsyncIterator[pb.Event]:
        """Stream the events that are published from now on."""
        broadcaster = self._broadcaster
        async with errors_as_status(context):
            if broadcaster.is_full:
                raise TooManyWatchersError(broadcaster.max_watchers)
            with broadcaster.subscribe() as queue:
                while event := await queue.get():
                    yield event
            raise SlowWatcherError

    async def Apply(self, request: pb.ApplyRequest, context: Context) -> AsyncIterator[pb.Progress]:
        """Start the rollout of a document and stream the progress; with `dry_run`, only validate it."""
        async with errors_as_status(context):
            command = validation.parse_apply(request)
            await self._directory.synced.wait()
            if request.dry_run:
                targets = self._status.targets()
                yield await fan_out.validate_on_each(targets, command.document, request.force)
                return
            async for progress in self._roll_out(command.draft, request.base_generation):
                yield progress

    async def Rollback(self, request: pb.RollbackRequest, context: Context) -> AsyncIterator[pb.Progress]:
        """Start the rollout of the last settled content before the newest change, and stream the progress."""
        await self._directory.synced.wait()
        async with errors_as_status(context):
            author = validation.truncate_text(request.author)
            draft = await self._commands.rollback_draft(author)
            policy = draft.policy._replace(wave_size=max(0, request.wave), first_wave_size=0)
            async for progress in self._roll_out(replace(draft, policy=policy), request.base_generation):
                yield progress

    async def _roll_out(self, draft: ChangeDraft, base: int) -> AsyncIterator[pb.Progress]:
        """Start a rollout, and stream its progress until it is no longer running."""
        try:
            change = await self._commands.start_rollout(draft, base)
        except GenerationConflictError as error:
            raise ConflictError(error) from None
        except Exception as error:  # whatever its type, the operator can repeat the command
            raise StoreUnavailableError(error) from error
        last_sent = None
        while True:
            newest = self._desired.newest
            if newest is None or newest.generation != change.generation:
                yield pb.Progress(generation=change.generation, state=RolloutState.SUPERSEDED.value)
                return
            progress = self._progress(newest)
            if progress != last_sent:
                yield progress
            last_sent = progress
            if newest.state is not RolloutState.RUNNING:
                return
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            await self._poll_signal.wait(PROGRESS_TIMEOUT_S)

    async def Steer(self, request: pb.SteerRequest, context: Context) -> pb.Progress:
        """Pause, resume or abort the newest rollout, and return its progress."""
        async with errors_as_status(context):
            action = validation.parse_action(request)
            author = validation.truncate_text(request.author)
            change = await self._commands.control_rollout(action, request.generation, author)
        return self._progress(change)

    async def Drain(self, request: pb.DrainRequest, context: Context) -> AsyncIterator[pb.DrainProgress]:
        """Drain and undrain endpoints on every instance or on one, and stream the progress."""
        async with errors_as_status(context):
            validation.check_drain(request)
            await self._directory.synced.wait()
            if request.instance:
                yield await self._drain_on_instance(request)
                return
            revision = await self._start_drain(request)
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while True:
            drains = self._desired.drains
            progress = conversion.drain_progress_message(self._status.targets(), revision, drains)
            yield progress
            if progress.settled or time.monotonic() >= deadline:
                return
            await asyncio.sleep(DRAIN_PROGRESS_INTERVAL_S)

    async def _start_drain(self, request: pb.DrainRequest) -> int:
        """Record the drains, start to send them, and return their revision."""
        try:
            await self._commands.adopt_reported_drains()
        except sqlite3.Error as error:
            raise StoreUnavailableError(error) from error
        drained = validation.drained_after(request, self._desired.drains.endpoints)
        if request.drain and not request.force:
            await fan_out.check_drains_on_each(self._status.reachable_targets(), drained)
        author = validation.truncate_text(request.author)
        try:
            drains = await self._commands.update_drains(request.drain, request.undrain, author)
        except Exception as error:  # whatever its type, the operator can repeat the command
            raise StoreUnavailableError(error) from error
        return drains.revision

    async def _drain_on_instance(self, request: pb.DrainRequest) -> pb.DrainProgress:
        """Drain and undrain endpoints on one instance. These drains last until its process ends."""
        client = await self._find_client(request.instance)
        with _instance_errors_as_call_errors(client):
            for endpoint in request.drain:
                await client.request_change(routes.DRAIN_ENDPOINT, EndpointBody(endpoint, request.force))
            for endpoint in request.undrain:
                await client.request_change(routes.UNDRAIN_ENDPOINT, EndpointBody(endpoint, request.force))
        drained = client.state.drained if client.state else []
        return pb.DrainProgress(total=1, told=1, settled=True, drains=drained)

    async def Retire(self, request: pb.RetireRequest, context: Context) -> pb.RetireReply:
        """Start the graceful shutdown of instances, and return which of them have accepted."""
        reply = pb.RetireReply()
        for name in request.names:
            client = self._directory.clients.get(name)
            if client is None:
                reply.trouble.append(f"{name}: no such instance")
                continue
            try:
                await client.request_change(routes.SHUT_DOWN)
                reply.retired.append(name)
            except ControlClientError as error:
                reply.trouble.append(f"{name}: {error}")
        return reply

    async def _find_client(self, name: str) -> ControlClient:
        """Return the client of an instance.

        Raises:
            UnknownInstanceError: no instance has this name.
        """
        await self._directory.synced.wait()
        client = self._directory.clients.get(name)
        if client is None:
            raise UnknownInstanceError(name)
        return client


@contextmanager
def _instance_errors_as_call_errors(client: ControlClient) -> Iterator[None]:
    """Convert an error of a request to an instance into an error of the call.

    Raises:
        InstanceUnavailableError: the instance gave no usable response.
        InstanceRejectedError: the instance rejected the request.
    """
    try:
        yield
    except UnreachableError as error:
        raise InstanceUnavailableError(client.name, str(error)) from None
    except RequestRejectedError as error:
        raise InstanceRejectedError(client.name, error.text) from None
