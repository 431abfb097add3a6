"""The router dispatches requests to handlers and converts errors to an HTTP status and JSON."""

from __future__ import annotations

import pytest

from anisespool.codec import http1
from anisespool.control import errors
from anisespool.control.http_responses import ERROR_CODES
from anisespool.control.requests import RequestBody
from anisespool.control.responses import JsonObject
from anisespool.control.router import respond
from anisespool.control.routes import Route
from tests.harness.log_lines import without_time

REQUEST = http1.Request(b"POST", b"/v1/verb?ignored=1", {}, b'{"key": 1}', keep_alive=True)


def test_a_handler_gets_the_decoded_body_and_its_response_starts_with_the_version() -> None:
    status, response = respond({Route("POST", "/v1/verb"): lambda body: {"body": body}}, REQUEST)
    assert (status, list(response.items())) == (200, [("version", 1), ("body", {"key": 1})])


def test_an_exception_in_a_handler_returns_500_and_is_logged(capsys: pytest.CaptureFixture[str]) -> None:
    def fail(body: RequestBody) -> JsonObject:
        raise KeyError("key")

    status, response = respond({Route("POST", "/v1/verb"): fail}, REQUEST)
    assert status == 500
    assert response == {"version": 1, "error": {"code": "fault", "text": "see the instance's log"}}
    lines = capsys.readouterr().err.splitlines()
    assert without_time(lines[0]) == """control_handler_failed verb="POST /v1/verb" error=KeyError('key')"""
    assert lines[-1] == "KeyError: 'key'"


def leaf_classes(base: type[Exception]) -> set[type[Exception]]:
    """Return the subclasses of `base`, also indirect ones, that have no subclasses."""
    subclasses = base.__subclasses__()
    return set().union(*(leaf_classes(subclass) for subclass in subclasses)) if subclasses else {base}


def test_every_kind_of_error_has_a_status_and_a_code() -> None:
    # The status or code of these errors depends on their fields.
    depending_on_fields = {errors.RequestFramingError, errors.UpdateRejectedError}
    assert set(ERROR_CODES) | depending_on_fields == leaf_classes(errors.RequestError)
