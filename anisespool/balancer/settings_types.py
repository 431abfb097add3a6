"""The types that the decision module's settings consist of; durations are integer nanoseconds.

Enums have the platform's texts as their values.
"""

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "repeatable"  # may run any number of times
    WITH_KEY = "by_key"  # a deduplication scope drops repeats of a key inside a window
    NOT_IDEMPOTENT = "once"  # must never run twice


class DedupScope(Enum):
    """Which endpoints drop a repeat of a request with an idempotency key that one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How a sidecar learns of changes of the endpoint list."""

    PUSH = "push"  # they are delivered unprompted
    POLL = "ask"  # only to a sidecar that watches the list


class LoadReportMode(Enum):
    """What carries the endpoints' load reports."""

    PIGGYBACK = "piggyback"  # answers, and results of health checks
    PULL = "pull"  # only results of health checks
    NONE = "silent"


class RequestClass(NamedTuple):
    """What holds for all requests of one class."""

    target_ns: int  # the latency objective
    deadline_ns: int
    idempotency: Idempotency
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # above 0: an answer past the objective still has value
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ns: int = 0
    stream: bool = False
    objective_stretch: float = 0.0  # ns added to the objective for each ns of the work hint
    in_order: bool = False  # requests with one key run one at a time, in the order of their arrival


class Tenant(NamedTuple):
    """A tenant's fair share of the capacity, 0 to 1, and its quota."""

    share: float
    quota_per_s: float
