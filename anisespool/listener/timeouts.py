"""What a client has to do in time, and what happens to its connection where it does not.

The platform has no setting for these times, as its deadlines begin with the last byte of a request. Correct
clients may be slow; connections of others have to be closed within 3 s.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from enum import Enum

FIRST_REQUEST_TIMEOUT_S = 2.1  # from the opening of a connection
PARTIAL_REQUEST_TIMEOUT_S = 2.6  # for the rest of a request
IDLE_TIMEOUT_S = 10.0  # after a response; a client whose connection was closed opens another
WRITE_TIMEOUT_S = 10.0  # for a response that the client does not read
LINGER_TIMEOUT_S = 1.0  # for the client to read why its connection ends


class TimeoutAction(Enum):
    """What happens to a connection without an open request."""

    ABORT = "abort"
    """Close at once: the client does not read its last response, or does not close its side."""
    REJECT = "reject"
    """Respond 408 and close: the rest of a request is missing."""
    CLOSE_IF_IDLE = "close_if_idle"
    """Close, unless the next request waits unread: there is none, or no first one."""


def write_action(inactive_s: float, has_unsent_output: bool) -> TimeoutAction | None:
    """Decide on a connection that is closing, or whose last response has not been sent completely.

    A client that reads slowly still gets its response. None: it is in time.

    Args:
        inactive_s: Time since its last request ended, in seconds.
        has_unsent_output: Whether a response waits for the client to read.
    """
    timeout_s = WRITE_TIMEOUT_S if has_unsent_output else LINGER_TIMEOUT_S
    return TimeoutAction.ABORT if inactive_s > timeout_s else None


def read_action(inactive_s: float, is_partial: bool, idle_timeout_s: float) -> TimeoutAction | None:
    """Decide on a connection whose client may send a request. None: it is in time.

    Args:
        inactive_s: Time without a request, or since the first byte of one, in seconds.
        is_partial: Whether part of a request has been received.
        idle_timeout_s: For the first byte of a request.
    """
    if is_partial:
        return TimeoutAction.REJECT if inactive_s > PARTIAL_REQUEST_TIMEOUT_S else None
    return TimeoutAction.CLOSE_IF_IDLE if inactive_s > idle_timeout_s else None
