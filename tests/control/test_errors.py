"""Error texts that scripts parse, and the HTTP status and code of each kind of error."""

from __future__ import annotations

import pytest

from anisespool.control import errors
from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate
from anisespool.control.http_responses import ERROR_CODES, error_response

APPLIED = AppliedConfig(4, "0123456789abcdef")
UPDATE = ConfigUpdate(5, "fedcba9876543210", "aaaabbbbccccdddd")


@pytest.mark.parametrize(
    ("decision", "text"),
    [
        (ApplyDecision.STALE, "has generation 4 (01234567), generation 5 is older"),
        (
            ApplyDecision.CONFLICT,
            "has generation 4 (01234567), another document of that generation was offered",
        ),
        (ApplyDecision.BASE_MISMATCH, "has generation 4 (01234567), the document was made for fedcba98"),
    ],
)
def test_a_rejected_update_has_the_error_text_and_code_of_its_decision(
    decision: ApplyDecision, text: str
) -> None:
    error = errors.UpdateRejectedError(decision, APPLIED, UPDATE)
    assert str(error) == text
    response = error_response(error)
    assert (response.status, response.body["error"]) == (409, {"code": decision.value, "text": text})


def test_a_digest_mismatch_is_a_client_error() -> None:
    error = errors.DamagedUpdateError(UPDATE)
    assert str(error) == "the content does not match its digest aaaabbbb"
    response = error_response(error)
    assert (response.status, response.body["error"]["code"]) == (400, "damaged")


def test_a_directory_error_names_the_key_of_the_directory() -> None:
    error = errors.DirectoryError("agent.state", "/x is no folder")
    assert str(error) == "agent.state: /x is no folder"


@pytest.mark.parametrize(
    ("group", "statuses"),
    [
        (errors.InvalidRequestError, {400, 404, 413}),
        (errors.StateConflictError, {409}),
        (errors.InstanceFaultError, {500}),
    ],
)
def test_each_group_of_errors_has_its_own_statuses(
    group: type[errors.RequestError], statuses: set[int]
) -> None:
    used = {code.status for kind, code in ERROR_CODES.items() if issubclass(kind, group)}
    assert used <= statuses
    assert used
