"""Errors of the control socket: one exception class for each kind, grouped by whose fault it is.

`str(error)` is the text for the operator; scripts read these texts. `answers.error_answer` gives each kind of
RequestError its HTTP status and its code.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from anisespool.config.platform import ConfigError
from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate
from anisespool.control.routes import Route

MAX_TEXT_CHARACTERS = 200  # of an error that quotes its sender
MAX_PATH_CHARACTERS = 80
MAX_NAMED_ENDPOINTS = 4
SHORT_DIGEST_CHARACTERS = 8


class ControlError(Exception):
    """Base of the errors of this package."""


@dataclass(eq=False)
class DirectoryError(ConfigError):
    """The operator's fault: a directory that the operator's file names can't hold what it is for.

    Attributes:
        key: The file's key that names it.
        problem: What is wrong.
    """

    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


@dataclass(eq=False)
class AlreadyLockedError(ControlError):
    """Another living process holds the lock of the file `path`."""

    path: Path

    def __str__(self) -> str:
        return str(self.path)


@dataclass(eq=False)
class InstanceNameInUseError(AlreadyLockedError):
    """Another living process serves the control socket of `instance`."""

    instance: str

    def __str__(self) -> str:
        return f"another process named {self.instance} is alive in {self.path.parent}"


class RequestError(ControlError):
    """A control request that is answered with an error. Raised by its subclasses only."""


class InvalidRequestError(RequestError):
    """The client's fault: the request is wrong, whatever state the instance is in."""


class StateConflictError(RequestError):
    """Nobody's fault: the request is valid, and contradicts the state that the instance is in."""


class InstanceFaultError(RequestError):
    """The instance's fault: the request may be valid, and could not be carried out."""


@dataclass(eq=False)
class RequestFramingError(InvalidRequestError):
    """The bytes received are no HTTP request, or one over the limits.

    Attributes:
        status: 400, or 413 for a body over the limit.
        max_body_bytes: Largest body of a request.
    """

    status: int
    max_body_bytes: int

    def __str__(self) -> str:
        return f"no request of this protocol, or over {self.max_body_bytes} bytes"


@dataclass(eq=False)
class MalformedBodyError(InvalidRequestError):
    """The body is not a JSON object."""

    reason: str

    def __str__(self) -> str:
        return self.reason[:MAX_TEXT_CHARACTERS]


@dataclass(eq=False)
class UnknownVerbError(InvalidRequestError):
    """No handler for this method and path."""

    route: Route
    known: list[str]

    def __str__(self) -> str:
        method, path = self.route
        return f"no verb {method} {path[:MAX_PATH_CHARACTERS]}; there are {', '.join(self.known)}"


@dataclass(eq=False)
class InvalidFieldError(InvalidRequestError):
    """A field of the body is missing, of the wrong type or out of range.

    Attributes:
        field: Its name, or names.
        wanted: What is accepted there.
        found: What was received, as `repr`; empty where it is not quoted.
    """

    field: str
    wanted: str
    found: str = ""

    def __str__(self) -> str:
        if not self.found:
            return f"{self.field}: wanted {self.wanted}"
        return f"{self.field}: found {self.found}, wanted {self.wanted}"[:MAX_TEXT_CHARACTERS]


@dataclass(eq=False)
class InvalidDocumentError(InvalidRequestError):
    """The content of an update is no valid configuration for this instance."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclass(eq=False)
class DamagedUpdateError(InvalidRequestError):
    """The content of an update does not have the digest that its sender computed."""

    update: ConfigUpdate

    def __str__(self) -> str:
        return f"the content does not match its digest {_short(self.update.digest)}"


@dataclass(eq=False)
class UpdateRejectedError(StateConflictError):
    """A valid update that does not follow on the applied configuration.

    Attributes:
        decision: STALE, CONFLICT or BASE_MISMATCH.
        applied: The configuration in force, which stays.
        update: The rejected update.
    """

    decision: ApplyDecision
    applied: AppliedConfig
    update: ConfigUpdate

    def __str__(self) -> str:
        current = f"has generation {self.applied.generation} ({_short(self.applied.digest)})"
        match self.decision:
            case ApplyDecision.STALE:
                return f"{current}, generation {self.update.generation} is older"
            case ApplyDecision.CONFLICT:
                return f"{current}, another document of that generation was offered"
            case _:
                return f"{current}, the document was made for {_short(self.update.base)}"


@dataclass(eq=False)
class StaleDrainRevisionError(StateConflictError):
    """The fleet's drains with a revision that is not newer than the applied one.

    Attributes:
        revision: The applied one.
    """

    revision: int

    def __str__(self) -> str:
        return f"has revision {self.revision} of the fleet's drains"


@dataclass(eq=False)
class LastEndpointError(StateConflictError):
    """Draining `endpoints` would leave none to send to, and `force` is not set."""

    endpoints: frozenset[str]

    def __str__(self) -> str:
        named = ", ".join(sorted(self.endpoints)[:MAX_NAMED_ENDPOINTS])
        return f"draining {named} would leave no endpoint; add force to mean it"


@dataclass(eq=False)
class TooManyDrainsError(StateConflictError):
    """More endpoints drained by hand than `limit`."""

    limit: int

    def __str__(self) -> str:
        return f"at most {self.limit} endpoints are drained by hand"


@dataclass(eq=False)
class DrainedElsewhereError(StateConflictError):
    """The endpoint can't be undrained by hand: the agent or the configuration drains it.

    Attributes:
        endpoint: Its id.
        source: What drains it, in words for the operator.
    """

    endpoint: str
    source: str

    def __str__(self) -> str:
        return f"{self.endpoint} is drained by {self.source}, not by hand here: end it there"


class HandlerFailedError(InstanceFaultError):
    """A handler raised an unexpected exception, which is in the log."""

    def __str__(self) -> str:
        return "see the instance's log"


def _short(digest: str) -> str:
    """Return the part of a digest that error texts have."""
    return digest[:SHORT_DIGEST_CHARACTERS]
