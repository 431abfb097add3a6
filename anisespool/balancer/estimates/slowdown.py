"""Slowdown of each endpoint: response times over the typical latency of their requests (1.0: as expected)."""

from __future__ import annotations

from math import exp2

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import ClassSlowdown, Endpoint, MachineGroup

SUCCESS_SMOOTHING_FACTOR = 0.3
FAILURE_SMOOTHING_FACTOR = 0.6  # applies within a class; higher, as failures are rarer than answers
GROUP_SMOOTHING_FACTOR = 0.1  # a machine group's mean averages over about 10 answers
CLASS_HALF_LIFE_DEADLINES = 8  # times the one over all classes, as answers of one class are rarer
MAX_SLOWDOWN_RATIO = 50.0  # bounds a sample, so that a single stall does not starve an endpoint
MIN_SLOWDOWN_RATIO = 1e-9  # slowdowns are divisors
MAX_GOSSIPED_RATIO = 1e9  # slowdowns of this size or more from other sidecars are invalid


class SlowdownEstimates:
    """The slowdown of each endpoint, of each endpoint in one class, and the mean of each machine group.

    An estimate decays toward its machine group's mean, so that one bad sample starves no endpoint.
    """

    def __init__(self, half_life_ns: int) -> None:
        self._half_life_ns = half_life_ns
        self._class_half_life_ns = CLASS_HALF_LIFE_DEADLINES * half_life_ns
        self.mean_weight = 1.0  # mean of the ready endpoints' configured weights
        self.group_slowdown: dict[MachineGroup, float] = {}

    def slowdown(self, endpoint: Endpoint, now: int, class_index: int | None = None) -> float:
        """Return an endpoint's slowdown as of `now`, in one class if `class_index` is given.

        Samples of the class take precedence: the mean hides that an endpoint fails one class if it serves the
        others. An endpoint that stalls yields no samples, so the age of its oldest attempt is a lower bound.
        """
        # `typical_slowdown` is inlined: this runs for every candidate of every attempt.
        slowdown = self.group_slowdown.get(endpoint.machine_group) or self.mean_weight / endpoint.weight
        if endpoint.slowdown_at:
            decay = exp2((endpoint.slowdown_at - now) / self._half_life_ns)
            slowdown += (endpoint.slowdown - slowdown) * decay
        if class_index in endpoint.slowdown_by_class:
            class_slowdown = endpoint.slowdown_by_class[class_index]
            decay = exp2((class_slowdown.sampled_at - now) / self._class_half_life_ns)
            slowdown += (class_slowdown.slowdown - slowdown) * decay
        if endpoint.in_flight:
            oldest = next(iter(endpoint.in_flight.values()))
            age_ratio = (now - oldest.sent_at) / oldest.expected_latency_ns
            slowdown = max(slowdown, min(age_ratio, MAX_SLOWDOWN_RATIO))
        return slowdown

    def typical_slowdown(self, endpoint: Endpoint) -> float:
        """Return the slowdown expected without samples: the group's mean, or one by configured weight."""
        return self.group_slowdown.get(endpoint.machine_group) or self.mean_weight / endpoint.weight

    def fleet_slowdown(self) -> float:
        """Return the mean slowdown of the machine groups, at least 1."""
        groups = self.group_slowdown
        return max(1.0, sum(groups.values()) / max(1, len(groups)))

    @staticmethod
    def sample(latency_ns: float, expected_latency_ns: float) -> float:
        """Return one attempt's slowdown, within bounds."""
        return max(MIN_SLOWDOWN_RATIO, min(latency_ns / expected_latency_ns, MAX_SLOWDOWN_RATIO))

    def record_sample(
        self, endpoint: Endpoint, class_index: int, sample: float, previous: float, succeeded: bool, now: int
    ) -> None:
        """Move an endpoint's slowdowns, in one class and over all (`previous`), toward one sample."""
        previous_in_class = self.slowdown(endpoint, now, class_index)
        alpha = SUCCESS_SMOOTHING_FACTOR if succeeded else FAILURE_SMOOTHING_FACTOR
        class_slowdown = endpoint.slowdown_by_class.get(class_index)
        if class_slowdown is None:
            class_slowdown = endpoint.slowdown_by_class[class_index] = ClassSlowdown(previous_in_class, now)
        class_slowdown.slowdown = previous_in_class + alpha * (sample - previous_in_class)
        class_slowdown.sampled_at = now
        self._set_slowdown(endpoint, previous + SUCCESS_SMOOTHING_FACTOR * (sample - previous), now)

    def record_observation(
        self, endpoint: Endpoint, observation: api.EndpointObservation, observed_at: int
    ) -> None:
        """Apply another sidecar's observation if it is newer than the last sample and of the same process."""
        is_newer = observed_at > max(endpoint.slowdown_at, endpoint.listing.started_ns)
        if is_newer and 0 < observation.slowdown < MAX_GOSSIPED_RATIO:
            self._set_slowdown(endpoint, min(observation.slowdown, MAX_SLOWDOWN_RATIO), observed_at)

    def _set_slowdown(self, endpoint: Endpoint, slowdown: float, sampled_at: int) -> None:
        """Set an endpoint's slowdown as of `sampled_at`, and move its machine group's mean toward it."""
        endpoint.slowdown = slowdown
        endpoint.slowdown_at = sampled_at
        mean = self.typical_slowdown(endpoint)
        self.group_slowdown[endpoint.machine_group] = mean + GROUP_SMOOTHING_FACTOR * (slowdown - mean)
