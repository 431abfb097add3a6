"""gRPC client of the agent, and the exit status for each error that a call may end with."""

from __future__ import annotations

import getpass
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import grpc

from anisespool.agent.v1 import agent_pb2_grpc
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.config.operator import OperatorConfig, read_operator_config
from anisespool.config.platform import ConfigError

CALL_TIMEOUT_S = 15.0  # of a unary call
CONNECT_TIMEOUT_S = 2.0

EXIT_STATUSES = {
    grpc.StatusCode.INVALID_ARGUMENT: ExitStatus.USAGE_ERROR,
    grpc.StatusCode.NOT_FOUND: ExitStatus.FAILED,
}


def load_operator_config(path: Path | None) -> OperatorConfig:
    """Read the operator's file, which has the path of the agent's socket.

    Raises:
        CommandError: No file was named, or it is invalid.
    """
    if path is None:
        raise CommandError(
            ExitStatus.USAGE_ERROR, "no operator's file: name it by --config or ANISESPOOL_CONFIG"
        )
    try:
        return read_operator_config(str(path))
    except ConfigError as error:
        raise CommandError(ExitStatus.USAGE_ERROR, str(error)) from None


def author() -> str:
    """Return who makes a change, as the change history records it: `user@host`."""
    try:
        return f"{getpass.getuser()}@{os.uname().nodename}"
    except (KeyError, OSError):
        return f"uid {os.getuid()}"


@contextmanager
def connect_to_agent(path: Path | None) -> Iterator[Any]:
    """Yield a stub of agent.proto's service, connected to the agent that the operator's file names.

    Any: grpc's generated stubs have no types.

    Raises:
        CommandError: The file names no agent, none answers, or a call inside the context failed.
    """
    config = load_operator_config(path)
    if config.agent is None:
        raise CommandError(
            ExitStatus.USAGE_ERROR, f"{path}: agent: found no such section, wanted [agent] with state"
        )
    socket_path = config.agent.socket_path
    hint = f"start one: anisespool agent --config {path}"
    if not socket_path.exists():
        raise CommandError(ExitStatus.AGENT_UNAVAILABLE, f"no agent at {socket_path}; {hint}")
    with grpc.insecure_channel(f"unix:{socket_path}") as channel:
        try:
            grpc.channel_ready_future(channel).result(timeout=CONNECT_TIMEOUT_S)
        except grpc.FutureTimeoutError:
            raise CommandError(
                ExitStatus.AGENT_UNAVAILABLE, f"no agent answers at {socket_path}; {hint}"
            ) from None
        try:
            yield agent_pb2_grpc.AgentStub(channel)
        except grpc.RpcError as error:
            raise _to_command_error(error, socket_path, hint) from None


def _to_command_error(error: Any, socket_path: Path, hint: str) -> CommandError:
    """Translate a failed call's gRPC status."""
    code = error.code()
    if code is grpc.StatusCode.UNAVAILABLE and not socket_path.exists():
        return CommandError(ExitStatus.AGENT_UNAVAILABLE, f"the agent ended meanwhile; {hint}")
    text = error.details() or code.name
    if code is grpc.StatusCode.DEADLINE_EXCEEDED:
        text = "the agent did not answer in time; see: anisespool status"
    return CommandError(EXIT_STATUSES.get(code, ExitStatus.FAILED), text)
