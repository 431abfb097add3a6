"""One endpoint of the list, and what this sidecar learned of it. Instants (`*_at`) are monotonic ns."""

# Plain classes here, in attempt.py and in request.py: dataclasses with slots make the program's start longer.

from typing import NamedTuple, Protocol

from anisespool.balancer import interface as api
from anisespool.balancer.selection.warmup_limiter import WarmupLimiter

MAX_CONFIGURED_WEIGHT = 1e9  # at or above it a weight is invalid, and counts as 1


class MachineGroup(NamedTuple):
    """Endpoints that are expected to be alike."""

    machine_type: int
    zone: int


# Request id and number of the attempt; a plain tuple, as it is built twice for each attempt.
AttemptKey = tuple[int, int]


class AttemptInFlight(Protocol):
    """What the estimates need of an attempt (attempt.py)."""

    sent_at: int
    expected_latency_ns: float


class ClassSlowdown:
    """An endpoint's slowdown in one request class, updated in place."""

    __slots__ = ("sampled_at", "slowdown")

    def __init__(self, slowdown: float, sampled_at: int) -> None:
        self.slowdown = slowdown
        self.sampled_at = sampled_at


class Endpoint:
    """A listed endpoint; another start of the same id is another endpoint.

    Attributes:
        rank: Place in this sidecar's own order of the endpoints.
        in_flight: Attempts of this sidecar there, the oldest first.
        idle_connections: Estimated; above 0 the next attempt needs no handshake.
        slowdown: Response times over the typical latency of their requests (x_i), over all classes.
        slowdown_at: When that was last sampled; 0: never.
        slowdown_by_class: The same by class index.
        reported_queue: Requests queued there by the last load report.
        sent_since_report: Attempts of this sidecar.
        reported_concurrency: Requests it serves at a time, by load reports; 0: not known.
        observed_concurrency: A lower bound of that: with so many in flight, none queued.
        slow_start_factor: Guaranteed share of its capacity while it is warming up.
        warm_at: End of the warm-up; 0: long ago.
        warmup_limiter: None: it never was warming up while this sidecar watched.
    """

    def __init__(self, listing: api.EndpointListing, rank: int, settings: api.Settings) -> None:
        self.rank = rank
        self.in_flight: dict[AttemptKey, AttemptInFlight] = {}
        self.idle_connections = 0

        self.slowdown = 1.0
        self.slowdown_at = 0
        self.slowdown_by_class: dict[int, ClassSlowdown] = {}

        self.reported_queue = 0.0
        self.reported_at = 0
        self.sent_since_report = 0
        self.reported_concurrency = 0.0
        self.observed_concurrency = 1.0

        self.slow_start_factor = 1.0
        self.warm_at = listing.started_ns + settings.warmup_ns if listing.started_ns else 0
        self.warmup_limiter = WarmupLimiter(settings) if listing.started_ns else None
        self.update(listing)

    def update(self, listing: api.EndpointListing) -> None:
        """Adopt a newer listing of the same process."""
        self.listing = listing
        self.id = listing.endpoint
        self.zone = listing.zone
        self.machine_group = MachineGroup(listing.machine_type, listing.zone)
        self.weight = listing.weight if 0 < listing.weight < MAX_CONFIGURED_WEIGHT else 1.0
        self.ready = listing.state == api.EndpointState.READY
