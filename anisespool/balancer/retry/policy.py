"""The retry policy: whether a failed attempt is retried, and the time-out of an attempt."""

from __future__ import annotations

from anisespool.balancer.interface import Settings
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.retry.budget import RetryBudget
from anisespool.balancer.retry.idempotency import may_retry

ATTEMPT_TIMEOUT_LATENCIES = (
    4.0  # shorter discards answers that are on their way, longer leaves no time for a retry
)
MIN_REMAINING_LATENCIES = 3.0  # time left for a retry; with less, waiting for the first answer is as good


class RetryPolicy:
    """One sidecar's retry policy."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self.budget = RetryBudget()

    def try_consume_retry(self, request: PendingRequest) -> bool:
        """Return whether a request whose last attempt has ended is retried; if so, consume a token.

        A request is not retried if a retry could have a second effect, if its response is already being
        forwarded, if it has had all attempts that the settings allow, or if the budget is empty.
        """
        if request.streaming or not may_retry(request.request_class, request.may_have_executed()):
            return False
        if len(request.attempts) >= self._max_attempts or not self.budget.has_token():
            return False
        self.budget.consume()
        return True

    def attempt_timeout_ns(self, request: PendingRequest, expected_latency_ns: float, now: int) -> int:
        """Return the time-out of the next attempt; 0: none.

        An attempt has a time-out only if a retry could follow: the request may be repeated, the attempt is
        not the last one allowed, the budget has a token, and the latency objective leaves enough time.
        """
        timeout_ns = int(ATTEMPT_TIMEOUT_LATENCIES * expected_latency_ns)
        request_class = request.request_class
        next_needs_ns = MIN_REMAINING_LATENCIES * expected_latency_ns
        leaves_time = now + timeout_ns + next_needs_ns < request.deadlines.objective_at
        is_last = len(request.attempts) + 1 >= self._max_attempts
        # An attempt that timed out may have been executed, so the class has to allow a repeat.
        is_repeatable = may_retry(request_class, may_have_executed=True) and not request_class.stream
        if leaves_time and not is_last and is_repeatable and self.budget.has_token():
            return timeout_ns
        return 0
