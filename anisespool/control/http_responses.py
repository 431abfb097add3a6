"""HTTP responses of the control socket: the status and JSON body of a success or of an error.

A body is `{"version": 1, ...}` or `{"version": 1, "error": {"code", "text"}}`.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from anisespool.control.errors import (
    DamagedUpdateError,
    DrainedElsewhereError,
    HandlerFailedError,
    InvalidDocumentError,
    InvalidFieldError,
    LastEndpointError,
    MalformedBodyError,
    RequestError,
    RequestFramingError,
    StaleDrainRevisionError,
    TooManyDrainsError,
    UnknownRouteError,
    UpdateRejectedError,
)
from anisespool.control.generations import ApplyDecision
from anisespool.control.responses import JsonObject

PROTOCOL_VERSION = 1


class HttpResponse(NamedTuple):
    """HTTP status and JSON body of a response."""

    status: int
    body: JsonObject


class ErrorCode(NamedTuple):
    """HTTP status of one kind of error, and the code that clients compare."""

    status: int
    code: str


ERROR_CODES: dict[type[RequestError], ErrorCode] = {
    MalformedBodyError: ErrorCode(HTTPStatus.BAD_REQUEST, "bad-json"),
    UnknownRouteError: ErrorCode(HTTPStatus.NOT_FOUND, "unknown-verb"),
    InvalidFieldError: ErrorCode(HTTPStatus.BAD_REQUEST, "invalid"),
    InvalidDocumentError: ErrorCode(HTTPStatus.BAD_REQUEST, "invalid"),
    DamagedUpdateError: ErrorCode(HTTPStatus.BAD_REQUEST, ApplyDecision.DIGEST_MISMATCH.value),
    StaleDrainRevisionError: ErrorCode(HTTPStatus.CONFLICT, "older"),
    LastEndpointError: ErrorCode(HTTPStatus.CONFLICT, "last-endpoint"),
    TooManyDrainsError: ErrorCode(HTTPStatus.CONFLICT, "too-many"),
    DrainedElsewhereError: ErrorCode(HTTPStatus.CONFLICT, "not-here"),
    HandlerFailedError: ErrorCode(HTTPStatus.INTERNAL_SERVER_ERROR, "fault"),
}


def success_response(body: JsonObject) -> HttpResponse:
    """Return the response to a successful request."""
    return HttpResponse(HTTPStatus.OK, {"version": PROTOCOL_VERSION} | body)


def error_response(error: RequestError) -> HttpResponse:
    """Return the response that reports `error` to a client."""
    status, code = _error_code(error)
    return HttpResponse(status, {"version": PROTOCOL_VERSION, "error": {"code": code, "text": str(error)}})


def _error_code(error: RequestError) -> ErrorCode:
    match error:
        case RequestFramingError():
            return ErrorCode(error.status, "bad-request")
        case UpdateRejectedError():
            return ErrorCode(HTTPStatus.CONFLICT, error.decision.value)
        case _:
            return ERROR_CODES[type(error)]
