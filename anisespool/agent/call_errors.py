"""Errors that end a gRPC call, one class for each kind, and the one place that turns them into a status."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, ClassVar

import grpc

from anisespool.agent.errors import AgentError, RolloutNotPossibleError

Context = Any  # grpc.aio.ServicerContext, which has no type stubs


class CallError(AgentError):
    """Base: the call ends with `status` and the exception's text."""

    status: ClassVar[grpc.StatusCode] = grpc.StatusCode.UNKNOWN


class InvalidRequestError(CallError):
    """A field of the request has a value that is not allowed."""

    status = grpc.StatusCode.INVALID_ARGUMENT


class NotFoundError(CallError):
    """The instance or generation that the request names does not exist."""

    status = grpc.StatusCode.NOT_FOUND


class LimitExceededError(CallError):
    """A bound of the agent is reached."""

    status = grpc.StatusCode.RESOURCE_EXHAUSTED


class NotPossibleError(CallError):
    """The state of the change or of an instance does not allow the operation."""

    status = grpc.StatusCode.FAILED_PRECONDITION


class ConflictError(CallError):
    """Another operator's change came first."""

    status = grpc.StatusCode.ABORTED


class UnavailableError(CallError):
    """The store or an instance can't be used now."""

    status = grpc.StatusCode.UNAVAILABLE


class StoreUnavailableError(UnavailableError):
    """The store can't be written."""

    def __init__(self, error: Exception) -> None:
        super().__init__(f"the agent's store can't be written: {error}")
        self.error = error


@asynccontextmanager
async def errors_as_status(context: Context) -> AsyncIterator[None]:
    """End the call with the status of an error that is raised inside."""
    try:
        yield
    except CallError as error:
        await context.abort(error.status, str(error))
    except RolloutNotPossibleError as error:
        await context.abort(NotPossibleError.status, str(error))
