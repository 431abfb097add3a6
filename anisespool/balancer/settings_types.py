"""The types of the decision module's settings; durations are integer nanoseconds.

The values of the enums are the platform's names.
"""

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "repeatable"  # any number of times
    WITH_KEY = "by_key"  # repeats of a key are dropped inside a deduplication scope and window
    NOT_IDEMPOTENT = "once"  # never more than once


class DedupScope(Enum):
    """The endpoints, relative to one that executed a request, that drop repeats of its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How changes of the endpoint list reach a sidecar."""

    PUSH = "push"  # changes are delivered unprompted
    POLL = "ask"  # changes are delivered only to a sidecar that watches the list


class LoadReportMode(Enum):
    """The messages that carry the endpoints' load reports."""

    PIGGYBACK = "piggyback"  # responses and results of health checks
    PULL = "pull"  # results of health checks only
    NONE = "silent"


class RequestClass(NamedTuple):
    """Settings of a request class."""

    target_ns: int  # the latency objective
    deadline_ns: int
    idempotency: Idempotency
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # above 0: an answer after the objective still has value
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ns: int = 0
    stream: bool = False
    objective_stretch: float = 0.0  # addition to the objective per ns of the work hint, in ns
    in_order: bool = False  # requests with the same key run one at a time, in order of arrival


class Tenant(NamedTuple):
    """A tenant's fair share of the capacity, 0 to 1, and its quota."""

    share: float
    quota_per_s: float
