"""Timeouts of the endpoint watch, and how long its backoff may grow. Pure: no I/O, no clock.

The platform's protocol counts an update as delivered 6 s after the watch last received anything from
discovery, arrived or not. Within that time a silent connection has to be noticed, a new connection that is
silent as well has to be given up, and a third one has to bring the update.
"""

from __future__ import annotations

from typing import NamedTuple

from anisespool.balancer.interface import DiscoveryMode, Settings

SILENCE_TIMEOUT_S = 2.5  # an empty line is due every 2 s; TCP alone does not notice a peer that is cut off
INITIAL_BACKOFF_S = 0.05
INVALID_UPDATE_BACKOFF_S = 2.0  # at most, while updates can't be applied: the next may be just as bad
PUSH_RESPONSE_TIMEOUT_S = 1.0
DRAIN_GRACE_SHARE = 0.4  # for connecting, and as much for the pause before it
MIN_TIMEOUT_S = 0.05


class WatchTiming(NamedTuple):
    """How long one attempt may take and how far attempts are apart.

    Attributes:
        connect_timeout_s: For the connection to be established, s.
        response_timeout_s: From then to the head of the response or the first update, s.
        max_backoff_s: Longest pause between two attempts, s.
    """

    connect_timeout_s: float
    response_timeout_s: float
    max_backoff_s: float


# A discovery service shared by the fleet works through its calls in turn and ends each after 2 s itself: a
# call given up sooner would have waited for nothing, and come again.
POLL_TIMING = WatchTiming(connect_timeout_s=0.5, response_timeout_s=2.2, max_backoff_s=2.0)


def watch_timing(settings: Settings) -> WatchTiming:
    """Return the timing for the platform's kind of discovery.

    With `push` an agent on this machine responds at once and at no cost, and its list counts as delivered
    whether or not a watch is open, so an agent that was away is found again within the drain grace.
    """
    if settings.discovery_mode is DiscoveryMode.POLL:
        return POLL_TIMING
    retry_s = max(MIN_TIMEOUT_S, DRAIN_GRACE_SHARE * settings.drain_grace_ns / 1e9)
    return WatchTiming(retry_s, PUSH_RESPONSE_TIMEOUT_S, retry_s)
