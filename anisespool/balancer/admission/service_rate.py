"""Rate at which the fleet serves this sidecar, relative to what its endpoints could do.

Answers take long for two reasons. Queueing behind this sidecar's own burst is expected, and is no reason to
shed requests that can still be answered in time. The rest is external: requests of other sidecars, or a fleet
that has slowed down.
"""

from math import exp2
from typing import NamedTuple

from anisespool.balancer.admission.fleet_capacity import EXPLORATION_FACTOR
from anisespool.balancer.admission.latency_limit import LIMIT_MARGIN_SHARE, LatencyLimit
from anisespool.balancer.admission.peak_rate import PeakRate

SERVICE_RATE_SMOOTHING_FACTOR = 0.05  # applies while requests queue
RECOVERY_SMOOTHING_FACTOR = 0.1  # applies while requests don't queue
NO_EXPLORATION_RATIO = 0.2  # external queueing ratio from which on the peak rate is not exceeded


class QueueingSample(NamedTuple):
    """Latency of one attempt, as a sample for admission control."""

    objective_share: float
    """Share of the request's latency objective that the attempt took, 0 to 1."""
    smoothing_factor: float
    """Weight of this sample."""
    target_ns: int
    """The request's latency objective."""
    open_before: int
    """Other open requests of this sidecar when the request arrived."""


class ServiceRate:
    """Estimates the rate at which this sidecar's requests are served.

    Attributes:
        service_rate_ratio: Rate at which endpoints serve this sidecar, relative to what they could, 0 to 1.
        external_queueing_ratio: Part of the queueing ratio not explained by this sidecar's own requests.
    """

    def __init__(self, longest_deadline_ns: int, latency: LatencyLimit, peak: PeakRate) -> None:
        self.service_rate_ratio = 1.0
        self.external_queueing_ratio = 0.0
        self._updated_at = 0
        self._longest_deadline_ns = longest_deadline_ns
        self._latency = latency
        self._peak = peak

    def rate(self, now: int, concurrency: float) -> float:
        """Return how many requests per ns the fleet can serve.

        This is the higher of two rates: one from the endpoints' concurrency and the typical latency (Little's
        law), and the peak rate. A peak reached without queueing may be exceeded by up to EXPLORATION_FACTOR;
        external queueing lowers this factor.
        """
        expected_rate = self.service_rate_ratio * concurrency / max(self._latency.typical_latency_ns, 1.0)
        peak = self._peak.rate.read(now)
        external = min(max(self.external_queueing_ratio / NO_EXPLORATION_RATIO, 0.0), 1.0)
        factor = 1.0 if self._peak.is_saturated else EXPLORATION_FACTOR - external * (EXPLORATION_FACTOR - 1)
        return max(expected_rate, peak * factor)

    def record(self, now: int, sample: QueueingSample, queueing_ratio: float, concurrency: float) -> None:
        """Update the estimates with the latency of an attempt.

        Args:
            queueing_ratio: Queueing ratio, this sample included.
            concurrency: Requests that the fleet serves at a time, by the last snapshot; 0: not known.
        """
        typical_ns = self._latency.typical_latency_ns
        nominal_rate = concurrency / max(typical_ns, 1.0)
        self._recover_with_time(now)
        self._record_external_queueing(sample, nominal_rate)
        is_queueing = queueing_ratio > (1 + self._latency.uncontended_ratio) * LIMIT_MARGIN_SHARE
        if nominal_rate and is_queueing and sample.open_before > concurrency / 2:
            # The fleet has slowed down, or other sidecars have bursts too.
            wait_ns = sample.objective_share * sample.target_ns - typical_ns
            observed_ratio = min(1.0, sample.open_before / nominal_rate / wait_ns) if wait_ns > 0 else 1.0
            step = observed_ratio - self.service_rate_ratio
            self.service_rate_ratio += SERVICE_RATE_SMOOTHING_FACTOR * step
        elif queueing_ratio < self._latency.limit / 2:
            self.service_rate_ratio += RECOVERY_SMOOTHING_FACTOR * (1.0 - self.service_rate_ratio)

    def _recover_with_time(self, now: int) -> None:
        """Move the service rate ratio toward 1, as a burst of others that is not observed again has ended."""
        decay = exp2((self._updated_at - now) / self._longest_deadline_ns)
        self.service_rate_ratio = 1.0 - (1.0 - self.service_rate_ratio) * decay
        self._updated_at = now

    def _record_external_queueing(self, sample: QueueingSample, nominal_rate: float) -> None:
        """Update the external queueing ratio: latency beyond the typical one and this sidecar's backlog."""
        rate = max(self._peak.rate.value, nominal_rate * self.service_rate_ratio)
        backlog_ns = sample.open_before / rate if rate else 0.0
        expected_share = (self._latency.typical_latency_ns + backlog_ns) / sample.target_ns
        external = sample.objective_share - min(expected_share, 1.0)
        self.external_queueing_ratio += sample.smoothing_factor * (external - self.external_queueing_ratio)
