"""How many requests each endpoint holds: its reported queue, and what this sidecar sent it since."""

from __future__ import annotations

from math import exp2

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.concurrency import ConcurrencyEstimator

MEAN_QUEUE_SMOOTHING_FACTOR = 0.3
MAX_REPORTED_REQUESTS = 1e9  # at or above it a reported queue is invalid
QUEUE_COLUMN = "queue"  # columns of load reports, as the platform names them
IN_FLIGHT_COLUMN = "inflight"


class LoadEstimates:
    """The effective load of each endpoint, from load reports and gossip."""

    def __init__(self, settings: api.Settings, half_life_ns: int, concurrency: ConcurrencyEstimator) -> None:
        columns = settings.load_report_columns
        has_queue = QUEUE_COLUMN in columns
        # A column past the reported ones is one that no report has. Without a queue, the requests in flight
        # stand for it.
        names = [*columns, QUEUE_COLUMN, IN_FLIGHT_COLUMN]
        self._queue_column = names.index(QUEUE_COLUMN if has_queue else IN_FLIGHT_COLUMN)
        self._in_flight_column = names.index(IN_FLIGHT_COLUMN) if has_queue else len(names)
        self._half_life_ns = half_life_ns
        self._concurrency = concurrency
        self.mean_queue = 0.0  # exponentially weighted moving average over all reports

    def effective_load(self, endpoint: Endpoint, now: int) -> float:
        """Return L_i in requests: the reported queue faded toward the mean, plus attempts sent since."""
        in_flight = len(endpoint.in_flight)
        fade = exp2((endpoint.reported_at - now) / self._half_life_ns)
        sent = endpoint.sent_since_report
        load = self.mean_queue + (endpoint.reported_queue - self.mean_queue) * fade
        load += sent if sent < in_flight else in_flight
        return load if load > in_flight else in_flight

    def record_report(self, endpoint: Endpoint, report: tuple[float, ...], now: int) -> None:
        """Adopt a load report; one without a valid queue is ignored."""
        queue = report[self._queue_column] if self._queue_column < len(report) else -1.0
        if not 0 <= queue < MAX_REPORTED_REQUESTS:  # nor nan
            return
        self._set_queue(endpoint, queue, now)
        if self._in_flight_column < len(report):
            self._concurrency.record_report(endpoint, queue, report[self._in_flight_column])
        self.mean_queue += MEAN_QUEUE_SMOOTHING_FACTOR * (queue - self.mean_queue)

    def record_observation(self, endpoint: Endpoint, observation: api.EndpointObservation, at: int) -> None:
        """Adopt what another sidecar observed at `at`, where newer and of the same process."""
        is_newer = at > max(endpoint.reported_at, endpoint.listing.started_ns)
        if is_newer and 0 <= observation.queue < MAX_REPORTED_REQUESTS:
            self._set_queue(endpoint, observation.queue, at)

    @staticmethod
    def _set_queue(endpoint: Endpoint, queue: float, at: int) -> None:
        endpoint.reported_queue = queue
        endpoint.reported_at = at
        endpoint.sent_since_report = 0
