"""Dispatches control requests to their handlers and converts errors to responses. Uses no sockets."""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable, Mapping

from anisespool.codec import http1
from anisespool.control.errors import (
    HandlerFailedError,
    MalformedBodyError,
    RequestError,
    UnknownRouteError,
)
from anisespool.control.http_responses import HttpResponse, error_response, success_response
from anisespool.control.requests import RequestBody
from anisespool.control.responses import JsonObject
from anisespool.control.routes import Route
from anisespool.log import log_event

Handler = Callable[[RequestBody], JsonObject]
Routes = Mapping[Route, Handler]


def respond(routes: Routes, request: http1.Request) -> HttpResponse:
    """Run the handler of `request` and return the response."""
    try:
        return success_response(_handle(routes, request))
    except RequestError as error:
        return error_response(error)


def _handle(routes: Routes, request: http1.Request) -> JsonObject:
    path = request.target.partition(b"?")[0]  # The query is ignored.
    route = Route(request.method.decode("latin-1"), path.decode("latin-1"))
    handler = routes.get(route)
    if handler is None:
        raise UnknownRouteError(route, sorted(map(str, routes)))
    try:
        return handler(_decode_body(request))
    except RequestError:
        raise
    except Exception as error:
        # A bug in a handler fails only this control request, and the instance keeps running.
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
