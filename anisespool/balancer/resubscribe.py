"""When is a call to discovery that failed repeated?"""

from __future__ import annotations

from random import Random

MIN_RESUBSCRIBE_DELAY_SHARE = 0.1  # of the time allowed without a subscription
MAX_RESUBSCRIBE_DELAY_SHARE = 0.4


def resubscribe_delay_ns(allowed_ns: int, random: Random) -> int:
    """Return the delay before the endpoint list is watched again, random so that sidecars are spread.

    Without a subscription this sidecar would be judged by lists that it never received.

    Args:
        allowed_ns: The settings' `resubscribe_within_ns`.
        random: Of this sidecar.
    """
    share = random.uniform(MIN_RESUBSCRIBE_DELAY_SHARE, MAX_RESUBSCRIBE_DELAY_SHARE)
    return int(allowed_ns * share)
