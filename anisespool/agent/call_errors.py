"""Errors that end a gRPC call, and `errors_as_status`, which converts them into the call's status.

Each direct subclass of CallError stands for one cause of failure, which the status shows: the request
(INVALID_ARGUMENT, NOT_FOUND), a limit of the agent (RESOURCE_EXHAUSTED), the state of a change or an instance
(FAILED_PRECONDITION), a conflicting change by another operator (ABORTED), or a store or instance that is
currently unavailable (UNAVAILABLE). Scripts parse the texts.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, ClassVar

import grpc

from anisespool.agent.errors import AgentError
from anisespool.agent.rollout.errors import RolloutNotPossibleError
from anisespool.agent.store.errors import GenerationConflictError

MAX_DOCUMENT_ERROR_CHARACTERS = 500
MAX_NAME_CHARACTERS = 80  # longer instance names are truncated in an error's text

Context = Any  # grpc.aio.ServicerContext, which has no type stubs


class CallError(AgentError):
    """Base class. The call ends with `status` and the text of the exception."""

    status: ClassVar[grpc.StatusCode] = grpc.StatusCode.UNKNOWN


class InvalidRequestError(CallError):
    """A field of the request has a value that is not allowed."""

    status = grpc.StatusCode.INVALID_ARGUMENT


@dataclass(eq=False)
class InvalidDocumentError(InvalidRequestError):
    """The document can't be applied as a live change."""

    reason: str

    def __str__(self) -> str:
        return self.reason[:MAX_DOCUMENT_ERROR_CHARACTERS]


@dataclass(eq=False)
class InvalidFieldError(InvalidRequestError):
    """The value of a field, or of at least one of several fields, is out of range.

    Attributes:
        field: Name of the field, or the names separated by commas.
        accepted: Description of the accepted values.
    """

    field: str
    accepted: str

    def __str__(self) -> str:
        return f"{self.field}: wanted {self.accepted}"


class InvalidEndpointsError(InvalidRequestError):
    """A drain request names no endpoint, or one whose id is empty or too long."""

    def __str__(self) -> str:
        return "wanted endpoints' ids to drain or undrain"


class NotFoundError(CallError):
    """The instance or generation that the request names does not exist."""

    status = grpc.StatusCode.NOT_FOUND


@dataclass(eq=False)
class UnknownGenerationError(NotFoundError):
    """The store holds no change with this generation."""

    generation: int

    def __str__(self) -> str:
        return f"no generation {self.generation} is kept"


@dataclass(eq=False)
class UnknownInstanceError(NotFoundError):
    """No instance has this name."""

    instance: str

    def __str__(self) -> str:
        return f"no instance {self.instance[:MAX_NAME_CHARACTERS]!r} in the folder"


class LimitExceededError(CallError):
    """A limit of the agent is reached."""

    status = grpc.StatusCode.RESOURCE_EXHAUSTED


@dataclass(eq=False)
class TooManyWatchersError(LimitExceededError):
    """The number of open Watch calls has reached `limit`."""

    limit: int

    def __str__(self) -> str:
        return f"{self.limit} watch already (agent.most_watchers)"


class SlowWatcherError(LimitExceededError):
    """The watcher was dropped because its event queue was full."""

    def __str__(self) -> str:
        return "events came faster than they were read"


@dataclass(eq=False)
class TooManyDrainsError(LimitExceededError):
    """The number of endpoints drained on every instance would exceed `limit`."""

    limit: int

    def __str__(self) -> str:
        return f"at most {self.limit} endpoints are drained at a time"


class NotPossibleError(CallError):
    """The state of the change or of an instance does not allow the operation."""

    status = grpc.StatusCode.FAILED_PRECONDITION


@dataclass(eq=False)
class InstanceRejectedError(NotPossibleError):
    """The instance rejected a request that the call depends on.

    Attributes:
        reason: Text of the instance's error.
    """

    instance: str
    reason: str

    def __str__(self) -> str:
        return f"{self.instance}: {self.reason}"


@dataclass(eq=False)
class DrainRejectedError(NotPossibleError):
    """One or more instances rejected a drain that every instance should apply.

    Attributes:
        rejections: One "NAME: reason" for each instance that rejected it; not empty.
    """

    rejections: list[str]

    def __str__(self) -> str:
        others = len(self.rejections) - 1
        return min(self.rejections) + (f" (and {others} more)" if others else "")


@dataclass(eq=False)
class ConflictError(CallError):
    """The change is not based on the newest generation: another operator's change was made first."""

    conflict: GenerationConflictError

    status = grpc.StatusCode.ABORTED

    def __str__(self) -> str:
        return f"{self.conflict}; look at it (status) and apply again"


class UnavailableError(CallError):
    """The store or an instance is currently unavailable."""

    status = grpc.StatusCode.UNAVAILABLE


@dataclass(eq=False)
class InstanceUnavailableError(UnavailableError):
    """The instance gave no usable response."""

    instance: str
    reason: str

    def __str__(self) -> str:
        return f"{self.instance}: {self.reason}"


@dataclass(eq=False)
class StoreUnavailableError(UnavailableError):
    """The store can't be written."""

    error: Exception

    def __str__(self) -> str:
        return f"the agent's store can't be written: {self.error}"


@asynccontextmanager
async def errors_as_status(context: Context) -> AsyncIterator[None]:
    """Abort the call with the status and text of an error that is raised in the block."""
    try:
        yield
    except CallError as error:
        await context.abort(error.status, str(error))
    except RolloutNotPossibleError as error:
        await context.abort(NotPossibleError.status, str(error))
