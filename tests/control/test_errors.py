"""Texts of errors as scripts read them, and whose fault each is."""

from __future__ import annotations

import pytest

from anisespool.control import errors
from anisespool.control.answers import ERROR_CODES, error_answer
from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate

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
def test_a_rejected_update_has_the_text_and_the_code_of_its_reason(
    decision: ApplyDecision, text: str
) -> None:
    error = errors.UpdateRejectedError(decision, APPLIED, UPDATE)
    assert str(error) == text
    answer = error_answer(error)
    assert (answer.status, answer.body["error"]) == (409, {"code": decision.value, "text": text})


def test_a_damaged_update_is_the_senders_fault() -> None:
    error = errors.DamagedUpdateError(UPDATE)
    assert str(error) == "the content does not match its digest aaaabbbb"
    answer = error_answer(error)
    assert (answer.status, answer.body["error"]["code"]) == (400, "damaged")


def test_a_directory_error_names_its_key() -> None:
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
def test_the_status_shows_whose_fault_it_is(group: type[errors.RequestError], statuses: set[int]) -> None:
    found = {code.status for kind, code in ERROR_CODES.items() if issubclass(kind, group)}
    assert found <= statuses
    assert found
