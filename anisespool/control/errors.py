"""Errors of the control socket: one exception class for each kind, grouped by who caused the error.

`str(error)` is the text for the operator, and scripts parse these texts.
`http_responses.error_response` maps each kind of RequestError to an HTTP status and an error code.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from anisespool.config.platform import ConfigError
from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate
from anisespool.control.routes import Route

MAX_ERROR_TEXT_CHARACTERS = 200  # Limit for texts that quote received data.
MAX_PATH_CHARACTERS = 80
MAX_NAMED_ENDPOINTS = 4
DIGEST_PREFIX_CHARACTERS = 8


class ControlError(Exception):
    """Base of the errors of this package."""


@dataclass(eq=False)
class DirectoryError(ConfigError):
    """A directory that the operator's file sets can't be used.

    Attributes:
        key: The key of the file that sets the directory.
    """

    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


@dataclass(eq=False)
class AlreadyLockedError(ControlError):
    """Another descriptor, of this or another process, holds the lock on the file `path`."""

    path: Path

    def __str__(self) -> str:
        return str(self.path)


@dataclass(eq=False)
class InstanceNameInUseError(AlreadyLockedError):
    """The lock on the instance name `instance` is held, usually by another process of that name."""

    instance: str

    def __str__(self) -> str:
        return f"another process named {self.instance} is alive in {self.path.parent}"


class RequestError(ControlError):
    """Base of the errors that are reported to a client in an error response."""


class InvalidRequestError(RequestError):
    """Base of client errors: the request is invalid in any state of the instance."""


class StateConflictError(RequestError):
    """Base of conflicts: the request is valid, but not in the current state of the instance."""


class InstanceFaultError(RequestError):
    """Base of internal errors: the request may be valid, but the instance failed to process it."""


@dataclass(eq=False)
class RequestFramingError(InvalidRequestError):
    """The received bytes are not an HTTP request, or the request exceeds a size limit.

    Attributes:
        status: HTTP status: 413 for a body over the limit, else 400.
        max_body_bytes: Maximum size of a request body.
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
        return self.reason[:MAX_ERROR_TEXT_CHARACTERS]


@dataclass(eq=False)
class UnknownRouteError(InvalidRequestError):
    """No handler exists for this method and path."""

    route: Route
    known_routes: list[str]

    def __str__(self) -> str:
        method, path = self.route
        return f"no verb {method} {path[:MAX_PATH_CHARACTERS]}; there are {', '.join(self.known_routes)}"


@dataclass(eq=False)
class InvalidFieldError(InvalidRequestError):
    """A field of the body is missing, of the wrong type or out of range.

    Attributes:
        field: Name of the field, or names of several separated by commas.
        expected: Description of the accepted values.
        received: `repr` of the received value; empty if it is not quoted.
    """

    field: str
    expected: str
    received: str = ""

    def __str__(self) -> str:
        if not self.received:
            return f"{self.field}: wanted {self.expected}"
        return f"{self.field}: found {self.received}, wanted {self.expected}"[:MAX_ERROR_TEXT_CHARACTERS]


@dataclass(eq=False)
class InvalidDocumentError(InvalidRequestError):
    """The content of an update is not a valid configuration for this instance."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclass(eq=False)
class DamagedUpdateError(InvalidRequestError):
    """The digest of an update's content differs from the digest that the sender computed."""

    update: ConfigUpdate

    def __str__(self) -> str:
        return f"the content does not match its digest {_digest_prefix(self.update.digest)}"


@dataclass(eq=False)
class UpdateRejectedError(StateConflictError):
    """The update is valid, but not a successor of the applied configuration, which stays in force.

    Attributes:
        decision: STALE, CONFLICT or BASE_MISMATCH.
    """

    decision: ApplyDecision
    applied: AppliedConfig
    update: ConfigUpdate

    def __str__(self) -> str:
        current = f"has generation {self.applied.generation} ({_digest_prefix(self.applied.digest)})"
        match self.decision:
            case ApplyDecision.STALE:
                return f"{current}, generation {self.update.generation} is older"
            case ApplyDecision.CONFLICT:
                return f"{current}, another document of that generation was offered"
            case _:
                return f"{current}, the document was made for {_digest_prefix(self.update.base)}"


@dataclass(eq=False)
class StaleDrainRevisionError(StateConflictError):
    """Requested fleet drains have an older revision than the applied ones, or the same with other endpoints.

    Attributes:
        revision: Revision of the fleet drains that are applied.
    """

    revision: int

    def __str__(self) -> str:
        return f"has revision {self.revision} of the fleet's drains"


@dataclass(eq=False)
class LastEndpointError(StateConflictError):
    """Draining `endpoints` would leave no endpoint to send to, and `force` is not set."""

    endpoints: frozenset[str]

    def __str__(self) -> str:
        named = ", ".join(sorted(self.endpoints)[:MAX_NAMED_ENDPOINTS])
        return f"draining {named} would leave no endpoint; add force to mean it"


@dataclass(eq=False)
class TooManyDrainsError(StateConflictError):
    """The request would drain more than `limit` endpoints by hand."""

    limit: int

    def __str__(self) -> str:
        return f"at most {self.limit} endpoints are drained by hand"


@dataclass(eq=False)
class DrainedElsewhereError(StateConflictError):
    """An endpoint that the agent or the configuration drains can't be undrained by hand.

    Attributes:
        source: What drains the endpoint, as text for the operator.
    """

    endpoint: str
    source: str

    def __str__(self) -> str:
        return f"{self.endpoint} is drained by {self.source}, not by hand here: end it there"


class HandlerFailedError(InstanceFaultError):
    """A handler raised an unexpected exception, which the instance has logged."""

    def __str__(self) -> str:
        return "see the instance's log"


def _digest_prefix(digest: str) -> str:
    """Return the shortened form of a digest that error texts show."""
    return digest[:DIGEST_PREFIX_CHARACTERS]
