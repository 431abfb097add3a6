"""From a request to a handler, and from an error to a status and JSON."""

from __future__ import annotations

import pytest

from anisespool.codec import http1
from anisespool.control import errors
from anisespool.control.answers import ERROR_CODES
from anisespool.control.requests import RequestBody
from anisespool.control.responses import JsonObject
from anisespool.control.router import respond
from anisespool.control.routes import Route

REQUEST = http1.Request(b"POST", b"/v1/verb?ignored=1", {}, b'{"key": 1}', keep_alive=True)


def test_a_handler_gets_the_decoded_body_and_its_answer_starts_with_the_version() -> None:
    status, answer = respond({Route("POST", "/v1/verb"): lambda body: {"body": body}}, REQUEST)
    assert (status, list(answer.items())) == (200, [("version", 1), ("body", {"key": 1})])


def test_a_failed_handler_is_answered_500_and_logged(capsys: pytest.CaptureFixture[str]) -> None:
    def fail(body: RequestBody) -> JsonObject:
        raise KeyError("key")

    status, answer = respond({Route("POST", "/v1/verb"): fail}, REQUEST)
    assert status == 500
    assert answer == {"version": 1, "error": {"code": "fault", "text": "see the instance's log"}}
    lines = capsys.readouterr().err.splitlines()
    assert lines[0] == """control_handler_failed verb="POST /v1/verb" error=KeyError('key')"""
    assert lines[-1] == "KeyError: 'key'"


def raised_kinds(base: type[Exception]) -> set[type[Exception]]:
    """The classes below `base` that are no groups of others."""
    kinds = base.__subclasses__()
    return set().union(*(raised_kinds(kind) for kind in kinds)) if kinds else {base}


def test_every_error_has_a_status_and_a_code() -> None:
    by_instance = {errors.RequestFramingError, errors.UpdateRejectedError}  # depend on their fields
    assert set(ERROR_CODES) | by_instance == raised_kinds(errors.RequestError)
