"""Time limits of the graceful shutdown; proxy/deadlines.py lists all points in time in order.

The limits follow from the platform's protocol. After SIGTERM clients open new connections for up to 0.4 s,
and SIGKILL comes no sooner than the longest deadline of a request class (at most 3 s) plus 0.7 s.
"""

from __future__ import annotations

from anisespool.balancer.interface import Settings
from anisespool.listener.server import Server
from anisespool.listener.shutdown import shut_down

ACCEPT_AFTER_SIGTERM_S = 0.5  # Longer than clients open new connections.
SIGKILL_MARGIN_S = 0.7  # The platform's margin after the longest deadline.
MAX_SIGKILL_DEADLINE_S = 3.0  # The platform counts longer deadlines as this one.
EXIT_RESERVE_S = 0.1  # Time between the end of the shutdown and SIGKILL.


def sigkill_after_s(settings: Settings) -> float:
    """Return the shortest time in seconds from SIGTERM to SIGKILL."""
    longest_deadline_s = max(request_class.deadline_ns for request_class in settings.classes) / 1e9
    return min(longest_deadline_s, MAX_SIGKILL_DEADLINE_S) + SIGKILL_MARGIN_S


async def stop_listener(server: Server, settings: Settings, pending_s: float) -> None:
    """Accept connections until clients have noticed the shutdown, then close the listener.

    Returns once all requests have their responses, at the latest EXIT_RESERVE_S before SIGKILL.

    Args:
        server: The listener.
        settings: The platform's settings.
        pending_s: How long ago SIGTERM was sent, in seconds. The platform counts from there.
    """
    timeout_s = sigkill_after_s(settings) - EXIT_RESERVE_S - pending_s
    await shut_down(server, ACCEPT_AFTER_SIGTERM_S, max(0.0, timeout_s))
