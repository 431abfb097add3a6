"""The retry budget: a token bucket, so that retries can't feed an overload."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.2  # retries are at most a fifth of the requests in the long run
MAX_RETRY_TOKENS = 50.0
INITIAL_RETRY_TOKENS = 10.0


class RetryBudget:
    """Tokens: each new request adds a part of one, each retry takes one."""

    def __init__(self) -> None:
        self.tokens = INITIAL_RETRY_TOKENS

    def record_request(self) -> None:
        """Add the tokens of a new request."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has_token(self) -> bool:
        """Return whether a retry can be afforded now."""
        return self.tokens >= 1

    def consume(self) -> None:
        """Take the token of a retry."""
        self.tokens -= 1
