"""Which handler answers a control request. No sockets here."""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable, Mapping

from anisespool.codec import http1
from anisespool.control.answers import Answer, error_answer, success_answer
from anisespool.control.errors import (
    HandlerFailedError,
    MalformedBodyError,
    RequestError,
    UnknownVerbError,
)
from anisespool.control.requests import RequestBody
from anisespool.control.responses import JsonObject
from anisespool.control.routes import Route
from anisespool.log import log_event

Handler = Callable[[RequestBody], JsonObject]
Routes = Mapping[Route, Handler]


def respond(routes: Routes, request: http1.Request) -> Answer:
    """Run the handler of `request` and return its answer."""
    try:
        return success_answer(_handle(routes, request))
    except RequestError as error:
        return error_answer(error)


def _handle(routes: Routes, request: http1.Request) -> JsonObject:
    path = request.target.partition(b"?")[0]  # a query is ignored
    route = Route(request.method.decode("latin-1"), path.decode("latin-1"))
    handler = routes.get(route)
    if handler is None:
        raise UnknownVerbError(route, sorted(map(str, routes)))
    try:
        return handler(_decode_body(request))
    except RequestError:
        raise
    except Exception as error:
        # A bug in a handler costs the client its answer, and must not end the instance.
        log_event("control_handler_failed", verb=str(route), error=repr(error))
        traceback.print_exc()
        raise HandlerFailedError from error


def _decode_body(request: http1.Request) -> RequestBody:
    if not request.body:
        return {}
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        raise MalformedBodyError(f"the body is no JSON: {error}") from None
    if not isinstance(body, dict):
        raise MalformedBodyError("the body is no JSON object")
    return body
