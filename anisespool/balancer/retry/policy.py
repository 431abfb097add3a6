"""Does a failed attempt get another one, and how long may an attempt take before another begins?"""

from __future__ import annotations

from anisespool.balancer.interface import Settings
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.retry.budget import RetryBudget
from anisespool.balancer.retry.idempotency import may_retry

ATTEMPT_TIMEOUT_LATENCIES = (
    4.0  # shorter wastes answers that are on their way, longer leaves no time for another
)
MIN_REMAINING_LATENCIES = 3.0  # left for the next attempt; with less, waiting for this one is as good


class RetryPolicy:
    """Retries of one sidecar."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self.budget = RetryBudget()

    def try_consume_retry(self, request: PendingRequest) -> bool:
        """Return whether a request whose last attempt has ended gets another; if so, take its token.

        It does not where a repeat could have a second effect, where its response is being forwarded already,
        where it had all attempts that the settings allow, or where the budget is empty.
        """
        if request.streaming or not may_retry(request.request_class, request.may_have_executed()):
            return False
        if len(request.attempts) >= self._max_attempts or not self.budget.has_token():
            return False
        self.budget.consume()
        return True

    def attempt_timeout_ns(self, request: PendingRequest, expected_latency_ns: float, now: int) -> int:
        """Return how long the next attempt may take before another is made; 0: no limit.

        Only where another could follow: it may be repeated, it is not the last one allowed, the budget has a
        token, and enough time is left before the latency objective.
        """
        timeout_ns = int(ATTEMPT_TIMEOUT_LATENCIES * expected_latency_ns)
        request_class = request.request_class
        next_needs_ns = MIN_REMAINING_LATENCIES * expected_latency_ns
        leaves_time = now + timeout_ns + next_needs_ns < request.deadlines.objective_at
        is_last = len(request.attempts) + 1 >= self._max_attempts
        # An attempt that was given up may have executed, so an idempotent class is needed.
        is_repeatable = may_retry(request_class, may_have_executed=True) and not request_class.stream
        if leaves_time and not is_last and is_repeatable and self.budget.has_token():
            return timeout_ns
        return 0
