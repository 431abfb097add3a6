"""Effective load of each endpoint: its reported queue, and attempts sent since."""

from __future__ import annotations

from math import exp2

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.concurrency import ConcurrencyEstimator

MEAN_QUEUE_SMOOTHING_FACTOR = 0.3
MAX_REPORTED_REQUESTS = 1e9  # reported queues of this length or more are invalid
QUEUE_COLUMN = "queue"  # column names of load reports are the platform's
IN_FLIGHT_COLUMN = "inflight"


class LoadEstimates:
    """Effective loads, from load reports and gossip."""

    def __init__(self, settings: api.Settings, half_life_ns: int, concurrency: ConcurrencyEstimator) -> None:
        columns = settings.load_report_columns
        has_queue = QUEUE_COLUMN in columns
        # An index past the reported columns stands for a missing column. Without a queue column, the requests
        # in flight are used in its place.
        names = [*columns, QUEUE_COLUMN, IN_FLIGHT_COLUMN]
        self._queue_column = names.index(QUEUE_COLUMN if has_queue else IN_FLIGHT_COLUMN)
        self._in_flight_column = names.index(IN_FLIGHT_COLUMN) if has_queue else len(names)
        self._half_life_ns = half_life_ns
        self._concurrency = concurrency
        self.mean_queue = 0.0  # exponentially weighted moving average over all reports

    def effective_load(self, endpoint: Endpoint, now: int) -> float:
        """Return L_i in requests: the reported queue, decayed toward the mean, plus attempts sent since.

        The result is at least the number of this sidecar's attempts in flight.
        """
        in_flight = len(endpoint.in_flight)
        decay = exp2((endpoint.reported_at - now) / self._half_life_ns)
        sent = endpoint.sent_since_report
        load = self.mean_queue + (endpoint.reported_queue - self.mean_queue) * decay
        load += sent if sent < in_flight else in_flight
        return load if load > in_flight else in_flight

    def record_report(self, endpoint: Endpoint, report: tuple[float, ...], now: int) -> None:
        """Apply a load report; one without a valid queue is ignored."""
        queue = report[self._queue_column] if self._queue_column < len(report) else -1.0
        if not 0 <= queue < MAX_REPORTED_REQUESTS:  # NaN is invalid too
            return
        self._set_queue(endpoint, queue, now)
        if self._in_flight_column < len(report):
            self._concurrency.record_report(endpoint, queue, report[self._in_flight_column])
        self.mean_queue += MEAN_QUEUE_SMOOTHING_FACTOR * (queue - self.mean_queue)

    def record_observation(
        self, endpoint: Endpoint, observation: api.EndpointObservation, observed_at: int
    ) -> None:
        """Apply another sidecar's observation if it is newer than the last report and of the same process."""
        is_newer = observed_at > max(endpoint.reported_at, endpoint.listing.started_ns)
        if is_newer and 0 <= observation.queue < MAX_REPORTED_REQUESTS:
            self._set_queue(endpoint, observation.queue, observed_at)

    @staticmethod
    def _set_queue(endpoint: Endpoint, queue: float, reported_at: int) -> None:
        endpoint.reported_queue = queue
        endpoint.reported_at = reported_at
        endpoint.sent_since_report = 0
