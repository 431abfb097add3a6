"""The revision requested next, after updates that were applied, failed once or failed twice."""

from __future__ import annotations

from anisespool.discovery.update_progress import NO_FAULT, UpdateProgress


def attempt(progress: UpdateProgress, *updates: tuple[int | None, str]) -> int:
    """Return the revision after an attempt with these updates, given as pairs of revision and fault."""
    progress.begin_attempt()
    for revision, fault in updates:
        progress.record_update(revision, fault)
    progress.end_attempt()
    return progress.revision


def test_applied_updates_advance_the_revision() -> None:
    assert attempt(UpdateProgress(1), (2, NO_FAULT), (5, NO_FAULT)) == 5


def test_the_revision_does_not_advance_past_an_update_that_failed_for_the_first_time() -> None:
    progress = UpdateProgress(1)
    assert attempt(progress, (2, NO_FAULT), (3, "bad"), (4, NO_FAULT)) == 2
    assert progress.fault == "bad"


def test_an_update_that_fails_twice_in_the_same_way_is_skipped() -> None:
    progress = UpdateProgress(1)
    attempt(progress, (3, "bad"))
    assert attempt(progress, (3, "bad"), (4, NO_FAULT)) == 4
    assert progress.fault == NO_FAULT


def test_an_update_that_fails_in_another_way_is_requested_once_more() -> None:
    progress = UpdateProgress(1)
    attempt(progress, (3, "bad"))
    assert attempt(progress, (3, "worse"), (4, NO_FAULT)) == 1
    assert progress.fault == "worse"


def test_an_update_without_a_revision_is_skipped_with_the_next_one_that_has_one() -> None:
    progress = UpdateProgress(1)
    attempt(progress, (None, "bad"))
    assert attempt(progress, (None, "bad")) == 1
    attempt(progress, (None, "bad"))
    assert attempt(progress, (None, "bad"), (6, NO_FAULT)) == 6


def test_a_stream_that_cannot_be_parsed_is_a_fault_of_its_attempt() -> None:
    progress = UpdateProgress(1)
    progress.begin_attempt()
    progress.record_invalid_stream("no JSON")
    progress.end_attempt()
    assert progress.fault == "no JSON"
    assert attempt(progress, (2, NO_FAULT)) == 2


def test_a_cancelled_attempt_does_not_change_which_update_is_skipped() -> None:
    progress = UpdateProgress(1)
    attempt(progress, (3, "bad"))
    progress.begin_attempt()
    progress.record_update(3, "worse")  # The attempt is cancelled here, so it does not end.
    assert attempt(progress, (3, "bad"), (4, NO_FAULT)) == 4


def test_the_complete_list_is_requested_from_another_service() -> None:
    progress = UpdateProgress(7)
    progress.request_complete_list()
    assert progress.revision == 0
