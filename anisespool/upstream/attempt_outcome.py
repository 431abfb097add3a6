"""Which status an attempt ends with, and whether it may have been executed.

An endpoint has executed a request at the latest when its response arrives, and may have from the moment when
the last byte was handed to the kernel. In doubt a request may have been executed:

| what happened | the request was sent completely | part of it is still here |
| --- | --- | --- |
| response 200 | `OK` | `OK` |
| response 503 or 504 with `X-Never-Ran: 1` | `FULL`: not executed | `FULL`: not executed |
| other response | `ERROR`: may have been executed | `ERROR`: may have been executed |
| connection lost, or invalid response | `RESET`: may have been executed | `CONNECT_FAILED`: not executed |
| time-out of the attempt | `TIMEOUT`: may have been executed | `CONNECT_FAILED`: not executed |

Pure: no I/O and no clock.
"""

from __future__ import annotations

from anisespool.balancer.interface import AttemptStatus

# Bound once: Python 3.11 looks an enum's members up through a property, and each response needs one.
_OK = AttemptStatus.OK
_FULL = AttemptStatus.FULL
_ERROR = AttemptStatus.ERROR


def status_of_response(http_status: int, headers: dict[bytes, bytes]) -> AttemptStatus:
    """Return the status of an attempt that has a complete response.

    Args:
        http_status: Of the response.
        headers: Of the response, names in lower case.
    """
    if http_status == 200:
        return _OK
    if http_status in (503, 504) and headers.get(b"x-never-ran", b"").strip() == b"1":
        return _FULL
    return _ERROR


def status_of_loss(has_unsent_bytes: bool) -> AttemptStatus:
    """Return the status of an attempt whose connection ended, or whose response is invalid."""
    return AttemptStatus.CONNECT_FAILED if has_unsent_bytes else AttemptStatus.RESET


def status_of_timeout(has_unsent_bytes: bool) -> AttemptStatus:
    """Return the status of an attempt that did not end in time."""
    return AttemptStatus.CONNECT_FAILED if has_unsent_bytes else AttemptStatus.TIMEOUT
