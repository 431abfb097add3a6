"""The arrival time of input that is read after a pause: never later than it was."""

from __future__ import annotations

from anisespool.listener.input_arrival import BACKLOG_READ_NS, InputArrival

PAUSED_AT = 1_000 * BACKLOG_READ_NS
RESUMED_AT = 2_000 * BACKLOG_READ_NS


def paused_and_resumed() -> InputArrival:
    arrival = InputArrival(PAUSED_AT)
    arrival.reading_resumed(RESUMED_AT)
    return arrival


def test_input_after_a_pause_counts_from_the_last_read_before_it() -> None:
    """Requests that had lain unread for a second got their whole time anew."""
    assert paused_and_resumed().input_read(RESUMED_AT + 1) == PAUSED_AT


def test_a_process_that_is_held_up_after_a_pause_does_not_take_unread_input_for_new() -> None:
    assert paused_and_resumed().input_read(RESUMED_AT + 20 * BACKLOG_READ_NS) == PAUSED_AT


def test_input_that_follows_from_the_clients_kernel_counts_as_arrived_too() -> None:
    """The client's kernel holds what does not fit into the sidecar's, and sends it once there is space."""
    arrival = paused_and_resumed()
    arrival.input_read(RESUMED_AT + 1)
    arrival.read_finished(is_empty=True)
    assert arrival.input_read(RESUMED_AT + BACKLOG_READ_NS) == PAUSED_AT


def test_a_second_pause_before_the_rest_was_read_does_not_make_it_newer() -> None:
    arrival = paused_and_resumed()
    arrival.input_read(RESUMED_AT + 1)
    arrival.reading_paused(RESUMED_AT + 1)
    arrival.reading_resumed(RESUMED_AT + 100 * BACKLOG_READ_NS)
    assert arrival.input_read(RESUMED_AT + 101 * BACKLOG_READ_NS) == PAUSED_AT


def test_input_that_arrives_during_a_pause_counts_from_the_last_look_at_an_empty_socket() -> None:
    arrival = InputArrival(PAUSED_AT)
    arrival.input_empty(PAUSED_AT + 5)
    arrival.reading_resumed(RESUMED_AT)
    assert arrival.input_read(RESUMED_AT + 1) == PAUSED_AT + 5


def test_a_client_that_goes_on_sending_catches_up() -> None:
    """Otherwise each request of a connection that was paused once would get less time than the one before."""
    arrival = paused_and_resumed()
    read_at = RESUMED_AT
    for _ in range(3):
        read_at += BACKLOG_READ_NS // 2
        assert arrival.input_read(read_at) == (
            read_at if read_at > RESUMED_AT + BACKLOG_READ_NS else PAUSED_AT
        )
        arrival.read_finished(is_empty=True)
    assert not arrival.is_behind


def test_a_later_pause_begins_anew() -> None:
    arrival = InputArrival(PAUSED_AT)
    arrival.input_empty(PAUSED_AT + 5)
    arrival.reading_resumed(PAUSED_AT + 5)
    assert arrival.input_read(RESUMED_AT) == RESUMED_AT
    arrival.reading_paused(RESUMED_AT)
    assert arrival.input_read(RESUMED_AT + 50 * BACKLOG_READ_NS) == RESUMED_AT
