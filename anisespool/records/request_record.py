"""The data recorded about a request. Pure."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.records.outcome import Outcome

UNKNOWN_CLASS = -1


class AttemptRecord(NamedTuple):
    """An attempt at an endpoint. Times are in monotonic ns."""

    endpoint: str
    status: int
    """The `AttemptStatus` with which the attempt ended."""
    started_ns: int
    finished_ns: int


class RequestRecord(NamedTuple):
    """A request, from its arrival to the end of its last attempt. Times are in monotonic ns."""

    request_class: int
    """Index of the request's class, or UNKNOWN_CLASS."""
    outcome: Outcome
    status: int
    """HTTP status of the response; 0 if the client disconnected before it."""
    trace_id: bytes
    tenant: bytes
    """The customer, as sent by the client."""
    fingerprint: int
    """Equal for all of a client's attempts at one operation, although their trace ids differ."""
    is_retry: bool
    """Whether the client marked the request as a retry."""
    arrived_ns: int
    finished_ns: int
    retry_after_s: float
    """The Retry-After that was sent to the client; 0 if none."""
    attempts: tuple[AttemptRecord, ...]
