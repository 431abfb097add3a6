"""The delay before a failed call to discovery is repeated."""

from __future__ import annotations

from random import Random

MIN_RESUBSCRIBE_DELAY_SHARE = 0.1  # bounds on the delay, as shares of the time allowed without a subscription
MAX_RESUBSCRIBE_DELAY_SHARE = 0.4


def resubscribe_delay_ns(allowed_ns: int, random: Random) -> int:
    """Return the delay before the next subscription; it is random, so that sidecars don't retry together.

    Without a subscription, endpoint lists that this sidecar never received would still count against it.

    Args:
        allowed_ns: The setting `resubscribe_within_ns`.
        random: This sidecar's random number generator.
    """
    share = random.uniform(MIN_RESUBSCRIBE_DELAY_SHARE, MAX_RESUBSCRIBE_DELAY_SHARE)
    return int(allowed_ns * share)
