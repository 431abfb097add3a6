"""How slow each endpoint is: response times over the typical latency of their requests (1.0: as expected)."""

from __future__ import annotations

from math import exp2

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import ClassSlowdown, Endpoint, MachineGroup

SUCCESS_SMOOTHING_FACTOR = 0.3
FAILURE_SMOOTHING_FACTOR = 0.6  # of one class; failures are rarer than answers
GROUP_SMOOTHING_FACTOR = 0.1  # a machine group's mean moves over some 10 answers
CLASS_HALF_LIFE_DEADLINES = 8  # longer than over all classes: answers of one class are rarer
MAX_SLOWDOWN_RATIO = 50.0  # of one sample: a single stall must not starve an endpoint
MIN_SLOWDOWN_RATIO = 1e-9
MAX_GOSSIPED_RATIO = 1e9  # at or above it a peer's figure is invalid


class SlowdownEstimates:
    """The slowdown of each endpoint, of each endpoint in one class, and the mean of each machine group.

    An estimate fades with age toward its machine group's mean, so that one bad sample starves no endpoint.
    """

    def __init__(self, half_life_ns: int) -> None:
        self._half_life_ns = half_life_ns
        self._class_half_life_ns = CLASS_HALF_LIFE_DEADLINES * half_life_ns
        self.mean_weight = 1.0  # configured, of the ready endpoints
        self.group_slowdown: dict[MachineGroup, float] = {}

    def slowdown(self, endpoint: Endpoint, now: int, class_index: int | None = None) -> float:
        """Return an endpoint's slowdown as of `now`, of one class where it is given.

        A class's own samples count first: an endpoint that fails one class and serves the others looks well
        by its mean. One that stalls yields no samples, so the age of its oldest attempt counts as one.
        """
        # As `typical_slowdown`, without a call: this runs for every candidate of every choice.
        slowdown = self.group_slowdown.get(endpoint.machine_group) or self.mean_weight / endpoint.weight
        if endpoint.slowdown_at:
            fade = exp2((endpoint.slowdown_at - now) / self._half_life_ns)
            slowdown += (endpoint.slowdown - slowdown) * fade
        if class_index in endpoint.slowdown_by_class:
            in_class = endpoint.slowdown_by_class[class_index]
            fade = exp2((in_class.sampled_at - now) / self._class_half_life_ns)
            slowdown += (in_class.slowdown - slowdown) * fade
        if endpoint.in_flight:
            oldest = next(iter(endpoint.in_flight.values()))
            age_ratio = (now - oldest.sent_at) / oldest.expected_latency_ns
            slowdown = max(slowdown, min(age_ratio, MAX_SLOWDOWN_RATIO))
        return slowdown

    def typical_slowdown(self, endpoint: Endpoint) -> float:
        """Return the slowdown expected without samples: the machine group's mean, or by configured weight."""
        return self.group_slowdown.get(endpoint.machine_group) or self.mean_weight / endpoint.weight

    def fleet_slowdown(self) -> float:
        """Return the mean over the machine groups, at least 1."""
        groups = self.group_slowdown
        return max(1.0, sum(groups.values()) / max(1, len(groups)))

    @staticmethod
    def sample(latency_ns: float, expected_latency_ns: float) -> float:
        """Return one attempt's slowdown."""
        return max(MIN_SLOWDOWN_RATIO, min(latency_ns / expected_latency_ns, MAX_SLOWDOWN_RATIO))

    def record_sample(
        self, endpoint: Endpoint, class_index: int, sample: float, before: float, succeeded: bool, now: int
    ) -> None:
        """Move an endpoint's slowdown, `before` over all classes, toward the sample of one attempt."""
        in_class = self.slowdown(endpoint, now, class_index)
        alpha = SUCCESS_SMOOTHING_FACTOR if succeeded else FAILURE_SMOOTHING_FACTOR
        known = endpoint.slowdown_by_class.get(class_index)
        if known is None:
            known = endpoint.slowdown_by_class[class_index] = ClassSlowdown(in_class, now)
        known.slowdown = in_class + alpha * (sample - in_class)
        known.sampled_at = now
        self._set(endpoint, before + SUCCESS_SMOOTHING_FACTOR * (sample - before), now)

    def record_observation(self, endpoint: Endpoint, observation: api.EndpointObservation, at: int) -> None:
        """Adopt what another sidecar observed at `at`, where newer and of the same process."""
        is_newer = at > max(endpoint.slowdown_at, endpoint.listing.started_ns)
        if is_newer and 0 < observation.slowdown < MAX_GOSSIPED_RATIO:
            self._set(endpoint, min(observation.slowdown, MAX_SLOWDOWN_RATIO), at)

    def _set(self, endpoint: Endpoint, slowdown: float, at: int) -> None:
        """Set an endpoint's slowdown as of `at`, and move its machine group's mean toward it."""
        endpoint.slowdown = slowdown
        endpoint.slowdown_at = at
        mean = self.typical_slowdown(endpoint)
        self.group_slowdown[endpoint.machine_group] = mean + GROUP_SMOOTHING_FACTOR * (slowdown - mean)
