"""The retry budget, which limits the load that retries add during an overload."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.2  # limits retries to a fifth of the requests in the long run
MAX_RETRY_TOKENS = 50.0
INITIAL_RETRY_TOKENS = 10.0


class RetryBudget:
    """A token bucket: each new request adds a fraction of a token, and each retry consumes one."""

    def __init__(self) -> None:
        self.tokens = INITIAL_RETRY_TOKENS

    def record_request(self) -> None:
        """Add a new request's fraction of a token."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has_token(self) -> bool:
        """Return whether the budget allows a retry now."""
        return self.tokens >= 1

    def consume(self) -> None:
        """Consume the token of a retry."""
        self.tokens -= 1
