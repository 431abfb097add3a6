"""The operations of the control socket, each identified by its HTTP method and path (docs/fleet.md)."""

from __future__ import annotations

from typing import NamedTuple


class Route(NamedTuple):
    """HTTP method and path of one operation."""

    method: str
    path: str

    def __str__(self) -> str:
        return f"{self.method} {self.path}"


GET_STATE = Route("GET", "/v1/state")
DESCRIBE = Route("GET", "/v1/describe")
LIST_MEMBERS = Route("GET", "/v1/peers")  # Available only if the instance runs the membership protocol.
GET_EVENTS = Route("POST", "/v1/events")
VALIDATE_CONFIG = Route("POST", "/v1/validate")
APPLY_CONFIG = Route("POST", "/v1/apply")
SHUT_DOWN = Route("POST", "/v1/drain")
SET_FLEET_DRAINS = Route("POST", "/v1/endpoints/drained")
DRAIN_ENDPOINT = Route("POST", "/v1/endpoints/drain")
UNDRAIN_ENDPOINT = Route("POST", "/v1/endpoints/undrain")
