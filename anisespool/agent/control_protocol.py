"""What the agent sends to an instance's control socket and reads from it (docs/fleet.md).

The field names of the bodies are the keys on the socket.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from anisespool.agent.errors import AgentError
from anisespool.agent.instance_state import InstanceState
from anisespool.control.generations import ApplyDecision
from anisespool.control.responses import JsonObject

PROTOCOL_VERSION = 1
DECISIONS_BY_CODE = {decision.value: decision for decision in ApplyDecision}


class ControlClientError(AgentError):
    """Base of the errors of a control request."""


@dataclass(eq=False)
class RequestRejectedError(ControlClientError):
    """The instance rejected the request.

    Attributes:
        code: For programs: a code of docs/fleet.md, or the HTTP status.
        text: For people.
    """

    code: str
    text: str

    def __str__(self) -> str:
        return self.text

    @property
    def decision(self) -> ApplyDecision | None:
        """What the instance decided about an update; None if it rejected the request for another reason."""
        return DECISIONS_BY_CODE.get(self.code)


@dataclass(eq=False)
class InvalidStateError(ControlClientError):
    """An answer lacks the key `key` of the instance's state, or has a value of another type there."""

    key: str

    def __str__(self) -> str:
        return f"its state has no {self.key}"


class RequestBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of the bodies of requests."""


class ValidateBody(RequestBody, frozen=True):
    """Body of `routes.VALIDATE_CONFIG`."""

    content: JsonObject
    force: bool


class ApplyBody(RequestBody, frozen=True):
    """Body of `routes.APPLY_CONFIG`."""

    generation: int
    base: str  # digest of the configuration that the content is to replace
    digest: str
    content: JsonObject
    force: bool


class FleetDrainsBody(RequestBody, frozen=True):
    """Body of `routes.SET_FLEET_DRAINS`."""

    revision: int
    ids: list[str]
    force: bool = False
    check: bool = False  # change nothing


class EndpointBody(RequestBody, frozen=True):
    """Body of `routes.DRAIN_ENDPOINT` and `routes.UNDRAIN_ENDPOINT`."""

    id: str
    force: bool


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status and JSON object of an answer."""

    status: int
    body: JsonObject

    def rejection(self) -> RequestRejectedError:
        """Return the error that the answer reports, or one with its status where it reports none."""
        error = self.body.get("error")
        if not isinstance(error, dict):
            error = {}
        code = str(error.get("code", self.status))
        return RequestRejectedError(code, str(error.get("text", f"status {self.status}")))


def parse_state(answer: JsonObject) -> InstanceState:
    """Return the state that an answer holds; further keys are ignored.

    Raises:
        InvalidStateError: a key is missing or has a value of another type.
    """
    return InstanceState(
        name=_value(answer, "name", str),
        boot=_value(answer, "boot", str),
        phase=_value(answer, "phase", str),
        generation=_value(answer, "generation", int),
        digest=_value(answer, "digest", str),
        pid=_value(answer, "pid", int),
        uptime_s=_value(answer, "uptime_s", int, float),
        build=_value(answer, "build", str),
        drained=_value(answer, "drained", list),
        drains_revision=_value(answer, "drains_revision", int),
    )


def _value(answer: JsonObject, key: str, *types: type) -> Any:
    """Return the value of `key`, which has one of `types`."""
    value = answer.get(key)
    if not isinstance(value, types):
        raise InvalidStateError(key)
    return value
