"""Timeouts of client connections, and what happens to a connection when one expires.

The platform has no setting for these timeouts, as its deadlines begin with the last byte of a request.
Correct clients may be slow; connections of faulty clients have to be closed within 3 s.

The functions are pure: they use no I/O and no clock.
"""

from __future__ import annotations

from enum import Enum

FIRST_REQUEST_TIMEOUT_S = 2.1  # time from opening a connection to its first request
PARTIAL_REQUEST_TIMEOUT_S = 2.6  # time to send the rest of a request
IDLE_TIMEOUT_S = 10.0  # idle time after a response; a client whose connection was closed opens another
WRITE_TIMEOUT_S = 10.0  # limit for a client that does not read its response
LINGER_TIMEOUT_S = 1.0  # time to read the last response and close the connection


class TimeoutAction(Enum):
    """What happens to a connection without an open request after a timeout."""

    ABORT = "abort"
    """Close immediately: the client does not read its last response, or does not close its side."""
    REJECT = "reject"
    """Respond with 408 and close: the rest of a request is missing."""
    CLOSE_IF_IDLE = "close_if_idle"
    """Close unless there is an unread request: the client has sent no first or no next request."""


def write_action(inactive_s: float, has_unsent_output: bool) -> TimeoutAction | None:
    """Return the action for a connection that is closing, or whose last response is partly unsent.

    A client that reads slowly still gets its response. None means that no timeout has expired.

    Args:
        inactive_s: Time since the last request ended, in seconds.
        has_unsent_output: Whether part of a response is unsent because the client has not read enough.
    """
    timeout_s = WRITE_TIMEOUT_S if has_unsent_output else LINGER_TIMEOUT_S
    return TimeoutAction.ABORT if inactive_s > timeout_s else None


def read_action(inactive_s: float, is_partial: bool, idle_timeout_s: float) -> TimeoutAction | None:
    """Return the action for a connection whose client may send a request; None before a timeout.

    Args:
        inactive_s: Time without a request, or since the first byte of one, in seconds.
        is_partial: Whether part of a request has been received.
        idle_timeout_s: Timeout for the first byte of a request.
    """
    if is_partial:
        return TimeoutAction.REJECT if inactive_s > PARTIAL_REQUEST_TIMEOUT_S else None
    return TimeoutAction.CLOSE_IF_IDLE if inactive_s > idle_timeout_s else None
