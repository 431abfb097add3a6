"""The status that an attempt ends with, and whether its request may have been executed.

An endpoint may execute a request any time after its last byte is handed to the kernel and before the response
arrives. A request counts as possibly executed unless the contrary is proven:

| event | request sent completely | part of the request unsent |
| --- | --- | --- |
| response 200 | `OK` | `OK` |
| response 503 or 504 with `X-Never-Ran: 1` | `FULL`: not executed | `FULL`: not executed |
| other response | `ERROR`: may have been executed | `ERROR`: may have been executed |
| connection lost, or invalid response | `RESET`: may have been executed | `CONNECT_FAILED`: not executed |
| timeout of the attempt | `TIMEOUT`: may have been executed | `CONNECT_FAILED`: not executed |

The functions are pure: they use no I/O and no clock.
"""

from __future__ import annotations

from anisespool.balancer.interface import AttemptStatus

NEVER_RAN_HEADER = b"x-never-ran"

# Constants avoid the lookup of an enum member for each response: Python 3.11 does it through a property.
_OK = AttemptStatus.OK
_FULL = AttemptStatus.FULL
_ERROR = AttemptStatus.ERROR


def status_of_response(http_status: int, headers: dict[bytes, bytes]) -> AttemptStatus:
    """Return the status of an attempt that has a complete response.

    Args:
        http_status: Status code of the response.
        headers: Response headers by lower-case name.
    """
    if http_status == 200:
        return _OK
    if http_status in (503, 504) and headers.get(NEVER_RAN_HEADER, b"").strip() == b"1":
        return _FULL
    return _ERROR


def status_of_loss(has_unsent_bytes: bool) -> AttemptStatus:
    """Return the status of an attempt whose connection was lost or whose response is invalid."""
    return AttemptStatus.CONNECT_FAILED if has_unsent_bytes else AttemptStatus.RESET


def status_of_timeout(has_unsent_bytes: bool) -> AttemptStatus:
    """Return the status of an attempt that timed out."""
    return AttemptStatus.CONNECT_FAILED if has_unsent_bytes else AttemptStatus.TIMEOUT
