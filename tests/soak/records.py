"""What clients and endpoints saw in one run. Times are monotonic seconds, which all processes share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ClientEnd(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    LEFT = "left"
    NO_ANSWER = "no answer"
    CLOSED = "closed"
    """The connection ended without an answer: a close may cross a request that was not read."""
    NOT_CONNECTED = "not connected"


@dataclass(slots=True)
class SentRequest:
    """One request of a client."""

    trace_id: str
    task: str
    """What it is about: a client's retry has another trace id and the same task."""
    effect: str
    sidecar: int
    sent_s: float
    wait_s: float
    end: ClientEnd = ClientEnd.NO_ANSWER
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""

    @property
    def gives_up_s(self) -> float:
        """When the client's time is over."""
        return self.sent_s + self.wait_s


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that an endpoint received."""

    trace_id: str
    task: str
    endpoint: int
    sidecar: int
    at_s: float
    told_s: float
    executed: bool
    is_repeat: bool = False
    """Whether the client sent the id once more after it had left."""


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """A drain that discovery wrote to its open watches, and the time when it wrote that it is over."""

    endpoint: int
    at_s: float
    sidecars: frozenset[int]


@dataclass(slots=True)
class Usage:
    """The most that one process of a sidecar used, and its limits."""

    sidecar: int
    max_memory_mb: float
    max_descriptors: int
    memory_mb: float = 0.0
    descriptors: int = 0


@dataclass(slots=True)
class RunRecord:
    """All records of a run.

    Attributes:
        usage: What each process used, also those that have ended.
        stalls_s: Times at which the event loop of the run itself was late, which proves nothing of sidecars.
    """

    requests: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[DrainNotice] = field(default_factory=list)
    drain_ends: list[DrainNotice] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)
    stalls_s: list[float] = field(default_factory=list)
