"""All estimates of one sidecar, each in its own module."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.attempt import Attempt
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.class_latency import ClassLatencies
from anisespool.balancer.estimates.concurrency import ConcurrencyEstimator
from anisespool.balancer.estimates.load import LoadEstimates
from anisespool.balancer.estimates.slowdown import SlowdownEstimates


class Estimates:
    """Passes each observation to the estimates that use it."""

    def __init__(self, settings: api.Settings) -> None:
        longest_deadline_ns = max(c.deadline_ns for c in settings.classes)
        self.class_latencies = ClassLatencies(settings.classes)
        self.concurrency = ConcurrencyEstimator(len(settings.classes))
        self.slowdowns = SlowdownEstimates(longest_deadline_ns)
        self.loads = LoadEstimates(settings, longest_deadline_ns, self.concurrency)

    def record_answer(self, attempt: Attempt, event: api.RequestArrived, latency_ns: int) -> None:
        """Update the estimates with a successful attempt's latency."""
        class_index = event.class_index
        self.concurrency.record_answer(attempt.endpoint, class_index, latency_ns, attempt.in_flight_when_sent)
        self.class_latencies.record_answer(event, latency_ns)

    def record_observation(self, endpoint: Endpoint, observation: api.EndpointObservation, now: int) -> None:
        """Update the estimates with another sidecar's observation."""
        observed_at = now - max(0, observation.age_ns)
        self.slowdowns.record_observation(endpoint, observation, observed_at)
        self.loads.record_observation(endpoint, observation, observed_at)
