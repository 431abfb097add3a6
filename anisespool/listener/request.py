"""Validation of client requests: from a parsed HTTP/1.1 request to a `Call`, or an error response."""

from __future__ import annotations

import hashlib
import re
from http import HTTPStatus
from typing import ClassVar

from anisespool.balancer import Settings
from anisespool.balancer.interface import Idempotency
from anisespool.codec.http1 import Request
from anisespool.config.platform import NameIndex
from anisespool.proxy.call import Call

MAX_CLIENT_TIMEOUT_MS = 3_600_000  # an hour: timers have a range, and the client may send any number
MAX_NUMBER_CHARACTERS = 18  # of a numeric header: its value fits 64 bits

# The only values that are forwarded in a request head to an endpoint.
PRINTABLE_TOKEN = re.compile(rb"[!-~]{1,200}")


class InvalidRequest(ValueError):
    """A well-formed HTTP request that the platform's protocol does not allow; never forwarded.

    Its text is the body of the response.

    Attributes:
        status: Of the response.
    """

    status: ClassVar[HTTPStatus] = HTTPStatus.BAD_REQUEST


class MethodNotAllowed(InvalidRequest):
    """The method is neither GET nor POST, or not the one of the request's class."""

    status = HTTPStatus.METHOD_NOT_ALLOWED


class UnknownRequestClass(InvalidRequest):
    """The path names no request class of the platform's settings."""

    status = HTTPStatus.NOT_FOUND


class DuplicateTraceId(InvalidRequest):
    """Another open request has the same X-Trace-Id."""

    status = HTTPStatus.CONFLICT


def validate_request(request: Request, names: NameIndex, settings: Settings) -> Call:
    """Check a request against the platform's protocol and describe it for the proxy.

    Raises:
        InvalidRequest: The protocol does not allow the request.
    """
    if request.method not in (b"GET", b"POST"):
        raise MethodNotAllowed("GET and POST are served")
    segments = [segment for segment in request.target.partition(b"?")[0].split(b"/") if segment]
    request_class = _request_class(segments, names)
    class_settings = settings.classes[request_class]
    headers = request.headers
    _check_idempotency(request, class_settings.idempotency)
    timeout_ms = _number(headers, b"x-expires-in-ms")
    size_hint_us = _number(headers, b"x-size-hint")
    tenant = names.index_of(names.tenants, headers.get(b"x-customer", b""))
    has_affinity = len(segments) > 1 and (settings.key_affinity or class_settings.in_order)
    return Call(
        request=request,
        request_class=request_class,
        tenant=len(names.tenants) if tenant is None else tenant,
        timeout_ns=class_settings.deadline_ns if timeout_ms is None else _timeout_ns(timeout_ms),
        size_hint_ns=None if size_hint_us is None else size_hint_us * 1000,
        # Computed only where the class or the settings use the key, to save CPU.
        affinity_key=_affinity_key(segments[-1]) if has_affinity else 0,
        is_retry=headers.get(b"x-second-try") == b"1",
    )


def _request_class(segments: list[bytes], names: NameIndex) -> int:
    """Index of the class that the first segment of the path names.

    Raises:
        UnknownRequestClass: It names none.
    """
    name = segments[0] if segments else b""
    request_class = names.index_of(names.classes, _percent_decoded(name) if b"%" in name else name)
    if request_class is None:
        raise UnknownRequestClass("no such class of requests")
    return request_class


def _percent_decoded(name: bytes) -> bytes:
    """The name that a path segment encodes.

    Imported here, as only class names beyond ASCII need it and the module takes 0.4 MB of memory.
    """
    from urllib.parse import unquote_to_bytes

    return unquote_to_bytes(name)


def _check_idempotency(request: Request, idempotency: Idempotency) -> None:
    """Check the trace id, and that method, body and idempotency key fit the request's class.

    Raises:
        InvalidRequest: They do not. The order of the checks decides which status a client gets.
    """
    headers = request.headers
    if not PRINTABLE_TOKEN.fullmatch(headers.get(b"x-trace-id", b"")):
        raise InvalidRequest("X-Trace-Id is missing, or no plain text")
    if (request.method == b"GET") is not (idempotency is Idempotency.IDEMPOTENT):
        raise MethodNotAllowed("this class is asked for in another way")
    if request.method == b"GET" and request.body:
        raise InvalidRequest("GET has no body")
    if idempotency is not Idempotency.IDEMPOTENT:
        key = headers.get(b"idempotency-key")
        unexpected = (key is None) is (idempotency is Idempotency.WITH_KEY)
        if unexpected or key is not None and not PRINTABLE_TOKEN.fullmatch(key):
            raise InvalidRequest("Idempotency-Key does not fit the class")


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    """Value of a numeric header; None: there is none.

    Raises:
        InvalidRequest: It is not a non-negative integer.
    """
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_NUMBER_CHARACTERS:
        raise InvalidRequest(f"{name.decode()} is no whole number")
    return int(value)


def _timeout_ns(timeout_ms: int) -> int:
    """A client's timeout, bounded."""
    return min(timeout_ms, MAX_CLIENT_TIMEOUT_MS) * 1_000_000


def _affinity_key(segment: bytes) -> int:
    """Digest that is the same at every sidecar; never 0, which means none."""
    return int.from_bytes(hashlib.blake2b(segment, digest_size=8).digest(), "big") or 1
