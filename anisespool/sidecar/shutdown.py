"""How long a graceful shutdown may take; proxy/deadlines.py gives the order of all instants.

The figures are the platform's protocol: after SIGTERM clients open new connections for up to 0.4 s, and
SIGKILL comes no sooner than the longest deadline of a request class (3 s at most) and 0.7 s more.
"""

from __future__ import annotations

from anisespool.balancer.interface import Settings
from anisespool.listener.server import Server
from anisespool.listener.shutdown import shut_down

ACCEPT_AFTER_SIGTERM_S = 0.5  # longer than clients open new connections
SIGKILL_MARGIN_S = 0.7  # the platform's, after the longest deadline
MAX_SIGKILL_DEADLINE_S = 3.0  # longer deadlines count as this one
EXIT_RESERVE_S = 0.1  # between the end of the shutdown and SIGKILL


def sigkill_after_s(settings: Settings) -> float:
    """Seconds from SIGTERM to the earliest moment at which SIGKILL may come."""
    longest_deadline_s = max(request_class.deadline_ns for request_class in settings.classes) / 1e9
    return min(longest_deadline_s, MAX_SIGKILL_DEADLINE_S) + SIGKILL_MARGIN_S


async def stop_listener(server: Server, settings: Settings) -> None:
    """Accept until clients have noticed the shutdown, close, and return once all requests are responded to.

    Args:
        server: The listener.
        settings: The platform's, with the deadlines of the request classes.
    """
    await shut_down(server, ACCEPT_AFTER_SIGTERM_S, sigkill_after_s(settings) - EXIT_RESERVE_S)
