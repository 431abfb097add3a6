"""How many requests an endpoint serves at a time, as latencies and load reports show it."""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint

MAX_CONCURRENCY_REQUESTS = 64.0
MAX_UNCONTENDED_LATENCIES = 2.0  # an answer that took no longer has not queued; requests differ in work
UNCONTENDED_FALL_SMOOTHING_FACTOR = 0.3
UNCONTENDED_RISE_SMOOTHING_FACTOR = 0.1  # a longer one may have queued behind other sidecars' requests
OBSERVED_CONCURRENCY_SMOOTHING_FACTOR = 0.5
REPORTED_CONCURRENCY_SMOOTHING_FACTOR = 0.3  # load reports are noisy
MIN_BUSY_QUEUE_REQUESTS = 0.5  # from this reported queue on, the endpoint serves as many as it can
MAX_BUSY_QUEUE_REQUESTS = 12.0  # longer queues are reported too roughly


class ConcurrencyEstimator:
    """Estimates each endpoint's concurrency.

    By latency: an answer that took no longer than an uncontended one was served beside all that were in
    flight with it. By load report: while requests queue, those in service are all that the endpoint serves at
    a time.
    """

    def __init__(self, class_count: int) -> None:
        # Mean latency of requests sent to an endpoint with none of this sidecar's in flight; 0: none yet.
        self.uncontended_latency_ns = [0.0] * class_count

    def record_answer(self, endpoint: Endpoint, class_index: int, latency_ns: int, in_flight: int) -> None:
        """Learn from an answer that was sent as one of `in_flight` attempts of this sidecar there."""
        observed = self._observe(class_index, latency_ns, in_flight, endpoint.observed_concurrency)
        endpoint.observed_concurrency = min(observed, MAX_CONCURRENCY_REQUESTS)

    def _observe(self, class_index: int, latency_ns: int, in_flight: int, observed: float) -> float:
        uncontended_ns = self.uncontended_latency_ns[class_index]
        if in_flight == 1:
            is_shorter = latency_ns < uncontended_ns
            alpha = UNCONTENDED_FALL_SMOOTHING_FACTOR if is_shorter else UNCONTENDED_RISE_SMOOTHING_FACTOR
            learned_ns = uncontended_ns + alpha * (latency_ns - uncontended_ns)
            self.uncontended_latency_ns[class_index] = learned_ns if uncontended_ns else float(latency_ns)
        elif latency_ns <= MAX_UNCONTENDED_LATENCIES * uncontended_ns and in_flight > observed:
            return observed + OBSERVED_CONCURRENCY_SMOOTHING_FACTOR * (in_flight - observed)
        return observed

    def record_report(self, endpoint: Endpoint, queue: float, in_flight: float) -> None:
        """Learn from a load report: requests queued there, and requests there in all."""
        if MIN_BUSY_QUEUE_REQUESTS <= queue <= MAX_BUSY_QUEUE_REQUESTS:
            in_service = max(1.0, min(in_flight - queue, MAX_CONCURRENCY_REQUESTS))
            known = endpoint.reported_concurrency or in_service
            step = REPORTED_CONCURRENCY_SMOOTHING_FACTOR * (in_service - known)
            endpoint.reported_concurrency = known + step
        elif queue < MIN_BUSY_QUEUE_REQUESTS:
            observed = endpoint.observed_concurrency
            endpoint.observed_concurrency = max(observed, min(in_flight, MAX_CONCURRENCY_REQUESTS))
