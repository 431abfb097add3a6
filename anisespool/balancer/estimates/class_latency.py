"""Typical latency of each request class, and expected latency of a request by its work hint."""

from __future__ import annotations

from anisespool.balancer import interface as api

CLASS_SMOOTHING_FACTOR = 0.02  # averages over about 50 answers, more than any endpoint's slowdown
INITIAL_LATENCY_OBJECTIVES = 1 / 4  # typical latency before the first answer
# Bounds on a request's expected latency, in typical latencies of its class: a hint may be any number.
MIN_EXPECTED_LATENCIES = 1 / 4
MAX_EXPECTED_LATENCIES = 50.0


class ClassLatencies:
    """Exponentially weighted moving averages of the latencies and work hints of answered requests, by class.

    Attributes:
        typical_latency_ns: Typical latency by class index.
    """

    def __init__(self, classes: tuple[api.RequestClass, ...]) -> None:
        self.typical_latency_ns = [c.target_ns * INITIAL_LATENCY_OBJECTIVES for c in classes]
        self._answers = [0] * len(classes)
        self._mean_hint_ns = [0.0] * len(classes)

    def expected_latency_ns(self, event: api.RequestArrived) -> float:
        """Return the class's typical latency plus the request's hint minus the mean hint, within bounds."""
        class_index = event.class_index
        typical_ns = self.typical_latency_ns[class_index]
        expected_ns = typical_ns
        hint_ns = event.work_hint_ns
        if hint_ns is not None and self._answers[class_index]:
            hinted_ns = expected_ns + hint_ns - self._mean_hint_ns[class_index]
            expected_ns = max(hinted_ns, expected_ns * MIN_EXPECTED_LATENCIES)
        return max(1.0, min(expected_ns, MAX_EXPECTED_LATENCIES * typical_ns))

    def record_answer(self, event: api.RequestArrived, latency_ns: int) -> None:
        """Update the class's averages with a successful attempt."""
        class_index = event.class_index
        self._answers[class_index] += 1
        alpha = max(CLASS_SMOOTHING_FACTOR, 1 / self._answers[class_index])
        typical = self.typical_latency_ns
        typical[class_index] += alpha * (latency_ns - typical[class_index])
        # Hints count for answered requests only, like latencies; otherwise the two means would drift apart.
        if event.work_hint_ns is not None:
            mean_hint = self._mean_hint_ns
            mean_hint[class_index] += alpha * (event.work_hint_ns - mean_hint[class_index])
