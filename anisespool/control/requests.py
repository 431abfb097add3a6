"""Types for the bodies of control requests, and functions that decode them.

The functions don't use `msgspec.convert`, whose error texts would differ from those that scripts parse. They
ignore unknown fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from anisespool.config import operator
from anisespool.control.errors import InvalidFieldError
from anisespool.control.generations import ConfigUpdate

INTEGER_LIMIT = 2**53  # Below this limit, integers are exact in every JSON implementation.
MAX_ENDPOINT_ID_CHARACTERS = 200

RequestBody = Mapping[str, Any]


class EventsRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/events`, which returns the events with a number above `after`."""

    after: int


class ValidateRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/validate`. `config.operator.parse_live_config` validates `content`."""

    content: object
    force: bool


class ApplyRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/apply`. `force` allows an update that drains the last endpoint."""

    update: ConfigUpdate
    content: object
    force: bool


class FleetDrainsRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/endpoints/drained`: all endpoints that the agent drains, as of `revision`."""

    revision: int
    endpoints: frozenset[str]
    force: bool
    dry_run: bool  # The key on the socket is `check`.


class EndpointRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/endpoints/drain` and `/v1/endpoints/undrain`."""

    endpoint: str
    force: bool


def decode_events(body: RequestBody) -> EventsRequest:
    """Decode the body of `/v1/events`. Like all `decode_` functions, it raises InvalidFieldError."""
    after = body.get("after", 0)
    if isinstance(after, bool) or not isinstance(after, int) or after < 0:
        raise InvalidFieldError("after", "the number of an event", repr(after))
    return EventsRequest(after)


def decode_validate(body: RequestBody) -> ValidateRequest:
    """Decode the body of `/v1/validate`."""
    return ValidateRequest(body.get("content"), _decode_flag(body, "force"))


def decode_apply(body: RequestBody) -> ApplyRequest:
    """Decode the body of `/v1/apply`."""
    generation = _decode_positive_integer(body, "generation")
    base = body.get("base")
    digest = body.get("digest")
    if not isinstance(base, str) or not isinstance(digest, str):
        raise InvalidFieldError("base, digest", "the digests as text")
    return ApplyRequest(
        ConfigUpdate(generation, base, digest), body.get("content"), _decode_flag(body, "force")
    )


def decode_fleet_drains(body: RequestBody) -> FleetDrainsRequest:
    """Decode the body of `/v1/endpoints/drained`."""
    revision = _decode_positive_integer(body, "revision")
    ids = body.get("ids")
    if not isinstance(ids, list) or len(ids) > operator.MAX_DRAINED_ENDPOINTS:
        raise InvalidFieldError("ids", f"a list of at most {operator.MAX_DRAINED_ENDPOINTS} ids")
    endpoints = frozenset(_decode_endpoint_id(value) for value in ids)
    return FleetDrainsRequest(revision, endpoints, _decode_flag(body, "force"), _decode_flag(body, "check"))


def decode_endpoint(body: RequestBody) -> EndpointRequest:
    """Decode the body of `/v1/endpoints/drain` and `/v1/endpoints/undrain`."""
    return EndpointRequest(_decode_endpoint_id(body.get("id")), _decode_flag(body, "force"))


def _decode_flag(body: RequestBody, key: str) -> bool:
    """Return the flag under `key`. Any truthy value sets it, so that clients may also send 1."""
    return bool(body.get(key))


def _decode_positive_integer(body: RequestBody, key: str) -> int:
    value = body.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 < value < INTEGER_LIMIT:
        raise InvalidFieldError(key, "1 to 2**53", repr(value))
    return value


def _decode_endpoint_id(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_ENDPOINT_ID_CHARACTERS:
        raise InvalidFieldError("id", "an endpoint's id", repr(value))
    return value
