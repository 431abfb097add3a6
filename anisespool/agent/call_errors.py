"""Errors that end a gRPC call, and the one place that turns them into a status.

The direct subclasses of CallError differ by whose fault it is, which the status shows: the caller's
request (INVALID_ARGUMENT, NOT_FOUND), a bound of the agent (RESOURCE_EXHAUSTED), the state of a change or an
instance (FAILED_PRECONDITION), another operator's change (ABORTED), or a store or instance that can't be used
now (UNAVAILABLE). Scripts read the texts.
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
MAX_NAME_CHARACTERS = 80  # of an instance's name in an error

Context = Any  # grpc.aio.ServicerContext, which has no type stubs


class CallError(AgentError):
    """Base: the call ends with `status` and the exception's text."""

    status: ClassVar[grpc.StatusCode] = grpc.StatusCode.UNKNOWN


# The caller's fault ---------------------------------------------------------------------------------


class InvalidRequestError(CallError):
    """A field of the request has a value that is not allowed."""

    status = grpc.StatusCode.INVALID_ARGUMENT


@dataclass(eq=False)
class InvalidDocumentError(InvalidRequestError):
    """The document is not one that can change live."""

    reason: str

    def __str__(self) -> str:
        return self.reason[:MAX_DOCUMENT_ERROR_CHARACTERS]


@dataclass(eq=False)
class InvalidFieldError(InvalidRequestError):
    """A field, or one of several, is out of range.

    Attributes:
        field: Its name, or names.
        wanted: What is accepted there.
    """

    field: str
    wanted: str

    def __str__(self) -> str:
        return f"{self.field}: wanted {self.wanted}"


class InvalidEndpointsError(InvalidRequestError):
    """A drain names no endpoints, or one whose id is empty or too long."""

    def __str__(self) -> str:
        return "wanted endpoints' ids to drain or undrain"


class NotFoundError(CallError):
    """The instance or generation that the request names does not exist."""

    status = grpc.StatusCode.NOT_FOUND


@dataclass(eq=False)
class UnknownGenerationError(NotFoundError):
    """The store has no change with this generation."""

    generation: int

    def __str__(self) -> str:
        return f"no generation {self.generation} is kept"


@dataclass(eq=False)
class UnknownInstanceError(NotFoundError):
    """No instance has this name."""

    instance: str

    def __str__(self) -> str:
        return f"no instance {self.instance[:MAX_NAME_CHARACTERS]!r} in the folder"


# A bound of the agent -------------------------------------------------------------------------------


class LimitExceededError(CallError):
    """A bound of the agent is reached."""

    status = grpc.StatusCode.RESOURCE_EXHAUSTED


@dataclass(eq=False)
class TooManyWatchersError(LimitExceededError):
    """As many calls of Watch are open as `limit` allows."""

    limit: int

    def __str__(self) -> str:
        return f"{self.limit} watch already (agent.most_watchers)"


class SlowWatcherError(LimitExceededError):
    """The watcher's queue is full: it was dropped."""

    def __str__(self) -> str:
        return "events came faster than they were read"


@dataclass(eq=False)
class TooManyDrainsError(LimitExceededError):
    """More endpoints than `limit` would be drained on every instance."""

    limit: int

    def __str__(self) -> str:
        return f"at most {self.limit} endpoints are drained at a time"


# The state of a change or of an instance ------------------------------------------------------------


class NotPossibleError(CallError):
    """The state of the change or of an instance does not allow the operation."""

    status = grpc.StatusCode.FAILED_PRECONDITION


@dataclass(eq=False)
class InstanceRejectedError(NotPossibleError):
    """The instance rejected a request that the call needs.

    Attributes:
        instance: Its name.
        reason: Its own text.
    """

    instance: str
    reason: str

    def __str__(self) -> str:
        return f"{self.instance}: {self.reason}"


@dataclass(eq=False)
class DrainRejectedError(NotPossibleError):
    """At least one instance rejected a drain on every instance.

    Attributes:
        rejections: "NAME: reason" of each, at least one.
    """

    rejections: list[str]

    def __str__(self) -> str:
        others = len(self.rejections) - 1
        return min(self.rejections) + (f" (and {others} more)" if others else "")


# Another operator's change, or what can't be used now -----------------------------------------------


@dataclass(eq=False)
class ConflictError(CallError):
    """Another operator's change came first."""

    conflict: GenerationConflictError

    status = grpc.StatusCode.ABORTED

    def __str__(self) -> str:
        return f"{self.conflict}; look at it (status) and apply again"


class UnavailableError(CallError):
    """The store or an instance can't be used now."""

    status = grpc.StatusCode.UNAVAILABLE


@dataclass(eq=False)
class InstanceUnavailableError(UnavailableError):
    """The instance gave no answer that can be used.

    Attributes:
        instance: Its name.
        reason: Why there is none.
    """

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
    """End the call with the status of an error that is raised inside."""
    try:
        yield
    except CallError as error:
        await context.abort(error.status, str(error))
    except RolloutNotPossibleError as error:
        await context.abort(NotPossibleError.status, str(error))
