"""Validation of client requests: turns a parsed HTTP/1.1 request into a `Call` or an error."""

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

MAX_CLIENT_TIMEOUT_MS = 3_600_000  # one hour; clients may send any number, but timers have a limited range
MAX_NUMBER_CHARACTERS = 18  # limit for a numeric header, so that its value fits 64 bits

HEALTH_CHECK_PATH = b"/healthz"

# The headers of a request that are read, besides those that frame a message.
REQUEST_HEADERS = frozenset(
    (
        b"x-trace-id",
        b"x-customer",
        b"x-expires-in-ms",
        b"x-size-hint",
        b"x-second-try",
        b"idempotency-key",
        b"content-type",
    )
)

# The syntax of trace ids and idempotency keys, which are forwarded in the request head to an endpoint.
PRINTABLE_TOKEN = re.compile(rb"[!-~]{1,200}")


class InvalidRequest(ValueError):
    """A well-formed HTTP request that the platform's protocol does not allow. No such request is forwarded.

    The exception's text is the body of the response.

    Attributes:
        status: Status code of the response.
    """

    status: ClassVar[HTTPStatus] = HTTPStatus.BAD_REQUEST


class MethodNotAllowed(InvalidRequest):
    """The method is neither GET nor POST, or is not the method of the request's class."""

    status = HTTPStatus.METHOD_NOT_ALLOWED


class UnknownRequestClass(InvalidRequest):
    """The path does not name a request class of the platform's settings."""

    status = HTTPStatus.NOT_FOUND


class DuplicateTraceId(InvalidRequest):
    """Another request has the same X-Trace-Id, which is open or may have been executed."""

    status = HTTPStatus.CONFLICT


def validate_request(request: Request, names: NameIndex, settings: Settings) -> Call:
    """Check a request against the platform's protocol and describe it for the proxy.

    Raises:
        InvalidRequest: The protocol does not allow the request.
    """
    if request.method not in (b"GET", b"POST"):
        raise MethodNotAllowed("GET and POST are served")
    segments = _path_segments(request)
    request_class = _request_class(segments, names)
    class_settings = settings.classes[request_class]
    headers = request.headers
    _check_trace_id_and_idempotency(request, class_settings.idempotency)
    size_hint_us = _number(headers, b"x-size-hint")
    tenant = names.index_of(names.tenants, headers.get(b"x-customer", b""))
    has_affinity = len(segments) > 1 and (settings.key_affinity or class_settings.in_order)
    return Call(
        request=request,
        request_class=request_class,
        tenant=len(names.tenants) if tenant is None else tenant,
        timeout_ns=_timeout_ns(headers, class_settings.deadline_ns),
        size_hint_ns=None if size_hint_us is None else size_hint_us * 1000,
        # The key is computed only if the class or the settings use it, to save CPU.
        affinity_key=_affinity_key(segments[-1]) if has_affinity else 0,
        is_retry=headers.get(b"x-second-try") == b"1",
    )


def timeout_ns_of(request: Request, names: NameIndex, settings: Settings) -> int | None:
    """Return how long the client of a request waits for its response; None if the request has no timeout.

    A health check has none, nor has a request that will be rejected as invalid.
    """
    try:
        request_class = _request_class(_path_segments(request), names)
        return _timeout_ns(request.headers, settings.classes[request_class].deadline_ns)
    except InvalidRequest:
        return None


def _path_segments(request: Request) -> list[bytes]:
    return [segment for segment in request.target.partition(b"?")[0].split(b"/") if segment]


def _request_class(segments: list[bytes], names: NameIndex) -> int:
    """Return the index of the request class that the first segment of the path names.

    Raises:
        UnknownRequestClass: There is no class with this name.
    """
    name = segments[0] if segments else b""
    request_class = names.index_of(names.classes, _percent_decoded(name) if b"%" in name else name)
    if request_class is None:
        raise UnknownRequestClass("no such class of requests")
    return request_class


def _percent_decoded(name: bytes) -> bytes:
    """Return the name that a path segment encodes.

    `urllib.parse` is imported here, because it takes 0.4 MB of memory and only percent-encoded names need it.
    """
    from urllib.parse import unquote_to_bytes

    return unquote_to_bytes(name)


def _check_trace_id_and_idempotency(request: Request, idempotency: Idempotency) -> None:
    """Check the trace id, and that method, body and idempotency key fit the request's class.

    Raises:
        InvalidRequest: A check failed. The order of the checks determines the status that the client gets.
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
        mismatch = (key is None) is (idempotency is Idempotency.WITH_KEY)
        if mismatch or key is not None and not PRINTABLE_TOKEN.fullmatch(key):
            raise InvalidRequest("Idempotency-Key does not fit the class")


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    """Return the value of a numeric header, or None if the request does not have it.

    Raises:
        InvalidRequest: The value is not a non-negative integer, or is too long.
    """
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_NUMBER_CHARACTERS:
        raise InvalidRequest(f"{name.decode()} is no whole number")
    return int(value)


def _timeout_ns(headers: dict[bytes, bytes], deadline_ns: int) -> int:
    """Return the client's timeout, at most `MAX_CLIENT_TIMEOUT_MS`; without one its class's deadline.

    Raises:
        InvalidRequest: The client's timeout is no number.
    """
    timeout_ms = _number(headers, b"x-expires-in-ms")
    if timeout_ms is None:
        return deadline_ns
    return min(timeout_ms, MAX_CLIENT_TIMEOUT_MS) * 1_000_000


def _affinity_key(segment: bytes) -> int:
    """Return a digest of the key that is the same at every sidecar, and never 0, which stands for no key."""
    return int.from_bytes(hashlib.blake2b(segment, digest_size=8).digest(), "big") or 1
