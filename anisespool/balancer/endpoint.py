"""A listed endpoint and this sidecar's estimates of it. Instants (`*_at`) are monotonic ns."""

# Plain classes are used here, in attempt.py and in request.py: dataclasses with slots delay program start.

from typing import NamedTuple, Protocol

from anisespool.balancer import interface as api
from anisespool.balancer.selection.warmup_limiter import WarmupLimiter

MAX_CONFIGURED_WEIGHT = 1e9  # a weight at or above this is invalid and counts as 1


class MachineGroup(NamedTuple):
    """A machine type in one zone: its endpoints are expected to perform alike."""

    machine_type: int
    zone: int


# Request id and attempt number; a plain tuple, as it is built twice for each attempt.
AttemptKey = tuple[int, int]


class AttemptInFlight(Protocol):
    """The part of an attempt (attempt.py) that the estimates read."""

    sent_at: int
    expected_latency_ns: float


class ClassSlowdown:
    """An endpoint's slowdown in one request class, updated in place."""

    __slots__ = ("sampled_at", "slowdown")

    def __init__(self, slowdown: float, sampled_at: int) -> None:
        self.slowdown = slowdown
        self.sampled_at = sampled_at


class Endpoint:
    """One listed server process; a restart under the same id makes a new Endpoint.

    Attributes:
        rank: Salted hash of the id, by which this sidecar orders the endpoints.
        in_flight: This sidecar's attempts in flight, oldest first.
        idle_connections: Estimated number of idle connections; above 0, the next attempt needs no handshake.
        slowdown: Ratio of response time to the request's expected latency, over all classes.
        slowdown_at: Instant of the last sample; 0: none yet.
        slowdown_by_class: Slowdown by class index.
        reported_queue: Queue length in the last load report.
        sent_since_report: This sidecar's attempts since that report.
        reported_concurrency: Requests served at a time, estimated from load reports; 0: unknown.
        observed_concurrency: Requests served at a time, observed while hardly any queued; a lower bound.
        slow_start_factor: Share of full capacity that the settings guarantee during the warm-up.
        warm_at: End of the warm-up; 0: the endpoint started long ago.
        warmup_limiter: Limits the work sent during the warm-up; None: the endpoint started long ago.
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
