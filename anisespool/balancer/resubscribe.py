"""The delay before the next subscription to the endpoint list, after a call to discovery has failed."""

from __future__ import annotations

from random import Random

MIN_RESUBSCRIBE_DELAY_SHARE = 0.1  # bounds on the delay, as shares of the time allowed without a subscription
MAX_RESUBSCRIBE_DELAY_SHARE = 0.4


def resubscribe_delay_ns(allowed_ns: int, random: Random) -> int:
    """Return the delay before the next subscription; it is random, to spread sidecars' subscriptions.

    Without a subscription, this sidecar misses changes. It may then send requests to removed endpoints, which
    breaks a rule.

    `allowed_ns` is the setting `resubscribe_within_ns`.
    """
    share = random.uniform(MIN_RESUBSCRIBE_DELAY_SHARE, MAX_RESUBSCRIBE_DELAY_SHARE)
    return int(allowed_ns * share)
