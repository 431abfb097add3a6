"""The responses that the listener itself gives to requests that it does not pass to the proxy."""

from __future__ import annotations

from http import HTTPStatus

from anisespool.proxy.call import FinalResponse

OVERLOADED = FinalResponse(503, b"too many connections\n")
OUT_OF_MEMORY = FinalResponse(503, b"out of memory\n")
NOT_KEPT = FinalResponse(503, b"too much input\n")
NO_TIME = FinalResponse(503, b"no time left\n")


def response_to_error(status: int) -> FinalResponse:
    """Return the response to input that the parser rejected, or that was given up for lack of memory."""
    return OUT_OF_MEMORY if status == HTTPStatus.SERVICE_UNAVAILABLE else FinalResponse(status)


def reason_of(response: FinalResponse) -> str:
    """Return why the listener gave this response, for the log."""
    return response.body.decode().strip() or HTTPStatus(response.status).phrase
