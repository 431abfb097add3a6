"""The agent's program: it prepares directories and the lock, connects the components, and runs them."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from enum import IntEnum
from pathlib import Path
from typing import NamedTuple

from anisespool.agent.control_client import ControlClient
from anisespool.agent.crash_points import CrashHook, never_crash
from anisespool.agent.desired_state_repository import DesiredStateRepository
from anisespool.agent.events import EventBroadcaster, EventKind, PollSignal
from anisespool.agent.grpc_server import GrpcServer, create_server
from anisespool.agent.instance_directory import InstanceDirectory
from anisespool.agent.operator_commands import OperatorCommands
from anisespool.agent.reconciler import Reconciler
from anisespool.agent.service import AgentService
from anisespool.agent.store.errors import StoreError
from anisespool.agent.store.schema import open_store
from anisespool.agent.store.writer import StoreWriter
from anisespool.config.operator import AgentOptions, OperatorConfig
from anisespool.config.platform import ConfigError
from anisespool.control.errors import AlreadyLockedError
from anisespool.control.socket_directory import acquire_lock, prepare_directory
from anisespool.log import log_event

SHUTDOWN_GRACE_S = 1.0  # time that open calls have to end at shutdown


class ExitStatus(IntEnum):
    """Exit statuses of the agent's process."""

    STOPPED = 0  # stopped by SIGTERM or SIGINT
    STARTUP_FAILED = 2


def _ignore_ready() -> None:
    """Do nothing: the default of `on_ready` in `serve`."""


async def serve(
    config: OperatorConfig,
    on_ready: Callable[[], None] = _ignore_ready,
    stop: asyncio.Event | None = None,
    at_crash_point: CrashHook = never_crash,
) -> None:
    """Run the agent until `stop` is set; without it, until SIGTERM or SIGINT.

    Args:
        config: The operator's file.
        on_ready: Called once the agent listens on its sockets.
        stop: Event that ends the agent.
        at_crash_point: Called at each crash point.

    Raises:
        ConfigError: the operator's file, a directory or an address can't be used.
        StoreError: the database can't be used.
    """
    if config.agent is None or config.control is None:
        raise ConfigError("agent: found no such section, wanted [agent] with a state folder")
    settings = config.agent
    control_directory = prepare_directory(config.control.directory)
    state_directory = prepare_directory(settings.state_directory, "agent.state")
    async with AsyncExitStack() as resources:
        resources.callback(os.close, _acquire_state_lock(state_directory))
        stop = stop or _stop_on_signal()
        store = await resources.enter_async_context(StoreWriter(open_store(state_directory / "agent.db")))
        components = await _create_components(control_directory, settings, store, at_crash_point)
        server = await create_server(settings, components.service)
        await _run_until_stopped(server, components.reconciler, settings, on_ready, stop)


class _Components(NamedTuple):
    """The components that the program runs: the reconcile loop, and the service of its gRPC server."""

    reconciler: Reconciler
    service: AgentService


async def _create_components(
    control_directory: Path, settings: AgentOptions, store: StoreWriter, at_crash_point: CrashHook
) -> _Components:
    """Create the components of the agent, and load the desired state from the store."""
    poll_signal = PollSignal()
    broadcaster = EventBroadcaster(settings.max_watchers)
    repository = DesiredStateRepository(store, broadcaster.publish, at_crash_point)
    reconciler = _create_reconciler(
        control_directory, settings, repository, broadcaster, poll_signal, at_crash_point
    )
    commands = OperatorCommands(reconciler, repository, broadcaster.publish)
    await repository.load()
    return _Components(reconciler, AgentService(reconciler, commands, store, broadcaster, poll_signal))


def _create_reconciler(
    control_directory: Path,
    settings: AgentOptions,
    repository: DesiredStateRepository,
    broadcaster: EventBroadcaster,
    poll_signal: PollSignal,
    at_crash_point: CrashHook,
) -> Reconciler:
    """Return the reconciler of all instances.

    Each poll wakes the reconcile loop and the streams; a change of an instance is published as an event.
    The directory's callback uses the reconciler, which is created after the directory. This is safe because
    the directory polls no instance until it runs.
    """

    def on_poll(client: ControlClient, change: str | None) -> None:
        if change:
            log_event("instance_changed", instance=client.name, change=change, error=client.detail)
            broadcaster.publish(EventKind.INSTANCE, client.name, f"{change} {client.detail}".strip())
        reconciler.wake()
        poll_signal.notify_all()

    directory = InstanceDirectory(control_directory, settings, on_poll)
    reconciler = Reconciler(
        directory, repository, settings.max_concurrent_requests, broadcaster.publish, at_crash_point
    )
    return reconciler


async def _run_until_stopped(
    server: GrpcServer,
    reconciler: Reconciler,
    settings: AgentOptions,
    on_ready: Callable[[], None],
    stop: asyncio.Event,
) -> None:
    """Serve calls and reconcile until `stop` is set.

    An exception in a loop ends the agent, which could do nothing without that loop.
    """
    loop = asyncio.get_running_loop()
    loops = [loop.create_task(reconciler.directory.run()), loop.create_task(reconciler.run())]
    stopped = loop.create_task(stop.wait())
    try:
        await server.start()
        settings.socket_path.chmod(0o600)
        on_ready()
        await asyncio.wait([stopped, *loops], return_when=asyncio.FIRST_COMPLETED)
        for task in loops:
            if task.done():
                task.result()
    finally:
        await server.stop(SHUTDOWN_GRACE_S)
        for task in loops:
            task.cancel()
        stopped.cancel()
        await asyncio.gather(stopped, *loops, return_exceptions=True)


def _acquire_state_lock(state_directory: Path) -> int:
    """Lock the state directory and return the lock's descriptor.

    Two agents on one state would undo each other's changes.

    Raises:
        ConfigError: another agent holds the lock.
    """
    try:
        return acquire_lock(state_directory / "agent.lock")
    except AlreadyLockedError:
        raise ConfigError(f"agent.state: {state_directory}: another agent is running there") from None


def _stop_on_signal() -> asyncio.Event:
    """Return an event that is set by SIGTERM and SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


def main(config: OperatorConfig, at_crash_point: CrashHook = never_crash) -> int:
    """Run the agent until a signal stops it, and return the process's exit status."""
    try:
        asyncio.run(serve(config, on_ready=lambda: log_event("agent_ready"), at_crash_point=at_crash_point))
    except (ConfigError, StoreError) as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return ExitStatus.STARTUP_FAILED
    return ExitStatus.STOPPED
