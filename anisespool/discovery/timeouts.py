"""Timeouts and backoff limits of the endpoint watch. Pure: no I/O, no clock.

The platform's protocol counts an update as delivered 6 s after the watch last received anything from
discovery, even if the update did not arrive. Within that time the watch has to detect a silent connection,
abandon a second connection that is silent too, and receive the update over a third one.
"""

from __future__ import annotations

from typing import NamedTuple

from anisespool.balancer.interface import DiscoveryMode, Settings

# Discovery sends an empty line every 2 s; TCP alone does not detect a peer that is cut off.
SILENCE_TIMEOUT_S = 2.5
INITIAL_BACKOFF_S = 0.05
# Longest backoff after an attempt with a fault, and pause after an error in the handling of an attempt. The
# next attempt may fail in the same way.
MAX_FAULT_BACKOFF_S = 2.0
PUSH_RESPONSE_TIMEOUT_S = 1.0
# Share of the drain grace period for connecting. The pause before it takes up to the same share, and both
# together fit into the period.
DRAIN_GRACE_SHARE = 0.4
MIN_TIMEOUT_S = 0.05


class WatchTiming(NamedTuple):
    """Time limits for one attempt, and the longest pause between two attempts.

    Attributes:
        connect_timeout_s: Time limit for establishing the connection.
        response_timeout_s: Time limit from the established connection to the head of the response.
        max_backoff_s: Longest pause between two attempts.
    """

    connect_timeout_s: float
    response_timeout_s: float
    max_backoff_s: float


# A discovery service shared by the fleet handles its calls in turn and ends each after 2 s itself. With a
# shorter response timeout, calls would be abandoned while they wait, and repeated.
POLL_TIMING = WatchTiming(connect_timeout_s=0.5, response_timeout_s=2.2, max_backoff_s=2.0)


def watch_timing(settings: Settings) -> WatchTiming:
    """Return the timing for the platform's discovery mode.

    With `push` an agent on this machine responds at once and at no cost. Its list counts as delivered whether
    or not a watch is open, so after an outage the watch reconnects within the drain grace period.
    """
    if settings.discovery_mode is DiscoveryMode.POLL:
        return POLL_TIMING
    retry_s = max(MIN_TIMEOUT_S, DRAIN_GRACE_SHARE * settings.drain_grace_ns / 1e9)
    return WatchTiming(retry_s, PUSH_RESPONSE_TIMEOUT_S, retry_s)
