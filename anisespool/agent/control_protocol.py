"""Messages that the agent exchanges with the control socket of an instance (docs/fleet.md).

The field names of the request bodies are their JSON keys.
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
    """Base class for the errors of a control request."""


@dataclass(eq=False)
class RequestRejectedError(ControlClientError):
    """The instance rejected the request.

    Attributes:
        code: Machine-readable code: one of docs/fleet.md, or the HTTP status.
    """

    code: str
    text: str

    def __str__(self) -> str:
        return self.text

    @property
    def decision(self) -> ApplyDecision | None:
        """The instance's decision about an update; None if it rejected the request for another reason."""
        return DECISIONS_BY_CODE.get(self.code)


@dataclass(eq=False)
class InvalidStateError(ControlClientError):
    """A report of an instance's state has no `key`, or a value of the wrong type for it."""

    key: str

    def __str__(self) -> str:
        return f"its state has no {self.key}"


class RequestBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base class for the bodies of requests."""


class ValidateBody(RequestBody, frozen=True):
    """Body of `routes.VALIDATE_CONFIG`."""

    content: JsonObject
    force: bool


class ApplyBody(RequestBody, frozen=True):
    """Body of `routes.APPLY_CONFIG`."""

    generation: int
    base: str  # digest of the configuration that `content` replaces
    digest: str
    content: JsonObject
    force: bool


class FleetDrainsBody(RequestBody, frozen=True):
    """Body of `routes.SET_FLEET_DRAINS`."""

    revision: int
    ids: list[str]
    force: bool = False
    check: bool = False  # validate the drains without applying them


class EndpointBody(RequestBody, frozen=True):
    """Body of `routes.DRAIN_ENDPOINT` and `routes.UNDRAIN_ENDPOINT`."""

    id: str
    force: bool


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """HTTP status and JSON object of a response."""

    status: int
    body: JsonObject

    def rejection(self) -> RequestRejectedError:
        """Return the error that the response reports, or an error with the HTTP status if it reports none."""
        error = self.body.get("error")
        if not isinstance(error, dict):
            error = {}
        code = str(error.get("code", self.status))
        return RequestRejectedError(code, str(error.get("text", f"status {self.status}")))


def parse_state(report: JsonObject) -> InstanceState:
    """Return the state that an instance's report holds; unknown keys are ignored.

    Raises:
        InvalidStateError: a key is missing, or its value has the wrong type.
    """
    return InstanceState(
        name=_value(report, "name", str),
        boot=_value(report, "boot", str),
        phase=_value(report, "phase", str),
        generation=_value(report, "generation", int),
        digest=_value(report, "digest", str),
        pid=_value(report, "pid", int),
        uptime_s=_value(report, "uptime_s", int, float),
        build=_value(report, "build", str),
        drained=_value(report, "drained", list),
        drains_revision=_value(report, "drains_revision", int),
        drained_by_fleet=tuple(_value(report, "drained_fleet", list)) if "drained_fleet" in report else None,
    )


def _value(report: JsonObject, key: str, *types: type) -> Any:
    """Return the value of `key`. Raises InvalidStateError if it is missing or has none of `types`."""
    value = report.get(key)
    if not isinstance(value, types):
        raise InvalidStateError(key)
    return value
