"""Estimates how many requests each endpoint serves at a time, from latencies and load reports."""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint

MAX_CONCURRENCY_REQUESTS = 64.0
# An attempt of up to this many uncontended latencies did not queue; above 1, as requests differ in work.
MAX_UNCONTENDED_LATENCIES = 2.0
UNCONTENDED_FALL_SMOOTHING_FACTOR = 0.3
# Slower than a fall: a longer answer may have queued behind requests of other sidecars.
UNCONTENDED_RISE_SMOOTHING_FACTOR = 0.1
OBSERVED_CONCURRENCY_SMOOTHING_FACTOR = 0.5
REPORTED_CONCURRENCY_SMOOTHING_FACTOR = 0.3  # load reports are noisy
MIN_BUSY_QUEUE_REQUESTS = 0.5  # an endpoint with at least this queue serves as many as it can
MAX_BUSY_QUEUE_REQUESTS = 12.0  # longer queues are reported too imprecisely


class ConcurrencyEstimator:
    """Estimates each endpoint's concurrency.

    An attempt that did not queue was served concurrently with all others in flight at the endpoint. If a load
    report has queued requests, its requests in service are as many as the endpoint serves at a time.
    """

    def __init__(self, class_count: int) -> None:
        # Mean latency, by class, of attempts that were this sidecar's only one at the endpoint; 0: none yet.
        self.uncontended_latency_ns = [0.0] * class_count

    def record_answer(self, endpoint: Endpoint, class_index: int, latency_ns: int, in_flight: int) -> None:
        """Update the estimate with an answer to one of this sidecar's `in_flight` attempts there."""
        observed = self._observe(class_index, latency_ns, in_flight, endpoint.observed_concurrency)
        endpoint.observed_concurrency = min(observed, MAX_CONCURRENCY_REQUESTS)

    def _observe(self, class_index: int, latency_ns: int, in_flight: int, observed: float) -> float:
        uncontended_ns = self.uncontended_latency_ns[class_index]
        if in_flight == 1:
            is_shorter = latency_ns < uncontended_ns
            alpha = UNCONTENDED_FALL_SMOOTHING_FACTOR if is_shorter else UNCONTENDED_RISE_SMOOTHING_FACTOR
            updated_ns = uncontended_ns + alpha * (latency_ns - uncontended_ns)
            self.uncontended_latency_ns[class_index] = updated_ns if uncontended_ns else float(latency_ns)
        elif latency_ns <= MAX_UNCONTENDED_LATENCIES * uncontended_ns and in_flight > observed:
            return observed + OBSERVED_CONCURRENCY_SMOOTHING_FACTOR * (in_flight - observed)
        return observed

    def record_report(self, endpoint: Endpoint, queue: float, in_flight: float) -> None:
        """Update the estimate with a load report: `queue` requests wait among `in_flight` at the endpoint."""
        if MIN_BUSY_QUEUE_REQUESTS <= queue <= MAX_BUSY_QUEUE_REQUESTS:
            in_service = max(1.0, min(in_flight - queue, MAX_CONCURRENCY_REQUESTS))
            previous = endpoint.reported_concurrency or in_service
            step = REPORTED_CONCURRENCY_SMOOTHING_FACTOR * (in_service - previous)
            endpoint.reported_concurrency = previous + step
        elif queue < MIN_BUSY_QUEUE_REQUESTS:
            observed = endpoint.observed_concurrency
            endpoint.observed_concurrency = max(observed, min(in_flight, MAX_CONCURRENCY_REQUESTS))
