"""Records sent over real sockets: each transport, and receivers that stall, reset or are absent."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from pathlib import Path
from random import Random

import pytest

from anisespool.config.operator import RecordOptions
from anisespool.fakes.record_soak import PEN, random_request, run_soak
from anisespool.records.outcome import Outcome
from anisespool.records.rfc5424 import unescape_value
from anisespool.records.transports import MAX_WRITE_BYTES
from tests.harness.log_lines import without_time
from tests.harness.waiting import wait_until
from tests.records.support import (
    TRANSPORTS,
    parse_options,
    received_numbers,
    run_receiver,
    start_recorder,
)


@pytest.mark.parametrize("transport", TRANSPORTS)
async def test_each_transport_delivers_every_record_once_and_in_order(transport: str, tmp_path: Path) -> None:
    async with run_receiver(transport, tmp_path) as (receiver, section):
        recorder = start_recorder(parse_options(section))
        names = ['a]"\\\n' * 40, "ñandú-界" * 20, "\0" * 200]
        for number in range(300):
            recorder.record(random_request(Random(number), number, names[number % 3].encode()))
        await wait_until(lambda: receiver.message_count >= 300)
        await recorder.close()
        await wait_until(lambda: receiver.message_count >= 301)
        assert not receiver.errors
        assert not receiver.truncated_streams
        assert received_numbers(receiver) == list(range(1, 301))
        tenant, is_truncated = unescape_value(receiver.messages[1].params(f"req@{PEN}")["member"])
        assert tenant == names[1].encode()
        assert not is_truncated
        # 200 times %00 exceeds the maximum length of a value.
        assert unescape_value(receiver.messages[2].params(f"req@{PEN}")["member"]).is_truncated
        counts = receiver.messages[-1].params(f"account@{PEN}")
        assert (counts["answered"], counts["sent"], counts["dropped"]) == ("300", "300", "0")


@pytest.mark.parametrize("seed", range(1, 7))
def test_counts_match_the_received_records_despite_stalls_resets_and_restarts(seed: int) -> None:
    result = asyncio.run(asyncio.wait_for(run_soak(seed, boots=2, steps=25), 60))
    assert not result.failures
    assert result.answered > 500


@pytest.mark.parametrize("transport", ["unix", "tcp", "tls"])
async def test_a_stalled_receiver_leaves_the_queue_bounded_and_failed_requests_are_not_dropped(
    transport: str, tmp_path: Path
) -> None:
    async with run_receiver(transport, tmp_path, receive_buffer_bytes=8192, is_reading=False) as (
        receiver,
        section,
    ):
        options = parse_options(section, max_buffered_records=100, flush_interval_ms=0, shutdown_flush_s=5)
        recorder = start_recorder(options)
        queue = recorder.queue
        for number in range(1, 20_001):
            outcome = Outcome.FAILED if number % 400 == 0 else Outcome.SERVED
            recorder.record(random_request(Random(number), number)._replace(outcome=outcome))
            if number % 200 == 0:
                await asyncio.sleep(0)
            assert len(queue) <= 100 + 64
            assert queue.size_bytes <= 2**20 + MAX_WRITE_BYTES
        assert queue.dropped[Outcome.SERVED] > 15_000
        assert not queue.dropped[Outcome.FAILED]
        receiver.set_reading(True)
        await recorder.close()
        await wait_until(lambda: receiver.messages[-1].msgid == "account")
        gaps = [message.params(f"gap@{PEN}") for message in receiver.messages if message.msgid == "gap"]
        assert sum(int(gap["dropped"]) for gap in gaps) == sum(queue.dropped)
        assert all(gap["from"] <= gap["to"] and gap["reason"] == "full" for gap in gaps)
        outcomes = [message.params(f"req@{PEN}").get("outcome") for message in receiver.messages]
        assert outcomes.count("failed") == 50
        assert not receiver.errors


@pytest.mark.parametrize("transport", ["unix", "tcp", "tcp-newline", "tls"])
async def test_a_record_that_was_dropped_at_the_end_is_not_delivered_by_the_closed_socket(
    transport: str, tmp_path: Path
) -> None:
    """The kernel goes on sending after the close: only records that count as sent may arrive."""
    async with run_receiver(transport, tmp_path, receive_buffer_bytes=8192, is_reading=False) as (
        receiver,
        section,
    ):
        options = parse_options(
            section,
            max_buffered_records=10_000,
            max_buffered_bytes=2**24,
            flush_interval_ms=0,
            shutdown_flush_s=0.1,
        )
        recorder = start_recorder(options)
        for number in range(1, 3001):
            recorder.record(random_request(Random(number), number)._replace(outcome=Outcome.SERVED))
        await recorder.close()
        sent = sum(recorder.counts.sent)
        assert sent + sum(recorder.queue.dropped) == 3000
        receiver.set_reading(True)
        if transport == "unix":
            await wait_until(lambda: len(received_numbers(receiver)) == sent)
        else:
            await receiver.wait_until_disconnected()
        received = received_numbers(receiver)
        assert received == list(range(1, len(received) + 1))
        assert len(received) <= sent < 3000


async def test_a_partially_sent_record_is_sent_completely_on_the_next_connection(tmp_path: Path) -> None:
    async with run_receiver(
        "tcp", tmp_path, reset_after_bytes=300, max_read_bytes=50, receive_buffer_bytes=4096
    ) as (receiver, section):
        recorder = start_recorder(parse_options(section, flush_interval_ms=0))
        for number in range(3000):
            recorder.record(random_request(Random(number), number))
        await wait_until(lambda: receiver.connection_count >= 2)
        receiver.options.reset_after_bytes = 0
        await recorder.close()
        await receiver.wait_until_disconnected()
        assert receiver.truncated_streams
        assert not receiver.errors
        received = received_numbers(receiver)
        assert len(set(received)) == len(received)  # No record arrived twice.
        assert recorder.counts.unconfirmed >= sum(recorder.counts.sent) - len(received) >= 0


async def test_a_long_queue_of_datagrams_larger_than_the_mtu_is_sent_in_batches(tmp_path: Path) -> None:
    async with run_receiver("udp", tmp_path) as (receiver, section):
        options = parse_options(section, max_record_bytes=4000, max_value_bytes=2500, flush_interval_ms=0)
        recorder = start_recorder(options)
        for number in range(4000):
            recorder.record(random_request(Random(number), number, b"m" * 2400))
        iterations = 0
        while sum(recorder.counts.sent) < 4000 - sum(recorder.queue.dropped):
            await asyncio.sleep(0)
            iterations += 1
        assert iterations >= 60  # A batch has at most 64 records.
        assert recorder.queue.size_bytes == 0
        await wait_until(lambda: receiver.message_count >= sum(recorder.counts.sent))
        await recorder.close()


async def test_a_datagram_too_long_for_the_kernel_is_reported_as_dropped_by_size(tmp_path: Path) -> None:
    async with run_receiver("udp", tmp_path) as (receiver, section):
        recorder = start_recorder(parse_options(section, max_record_bytes=65_000, max_value_bytes=65_000))
        assert recorder.sender
        # Replaces a private attribute, as no option allows a record that the kernel rejects.
        recorder.sender._encoder = dataclasses.replace(
            recorder.encoder, max_record_bytes=200_000, max_value_bytes=200_000
        )
        for number in range(3):
            recorder.record(
                random_request(Random(number), number, b"m" * (70_000 if number == 1 else 30_000))
            )
        await wait_until(lambda: receiver.message_count >= 3)
        assert received_numbers(receiver) == [1, 3]  # These exceed the MTU, but not the datagram limit.
        gap = next(message for message in receiver.messages if message.msgid == "gap").params(f"gap@{PEN}")
        assert (gap["dropped"], gap["reason"], gap["first"], gap["last"]) == ("1", "size", "2", "2")
        await recorder.close()


@pytest.mark.parametrize("transport", ["tcp", "unix", "udp"])
async def test_closing_ends_soon_after_the_configured_time_if_the_receiver_is_absent(
    transport: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    kind = socket.SOCK_DGRAM if transport == "udp" else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as unused:
        unused.bind(("127.0.0.1", 0))  # No process listens on this port.
        destination = f"{transport}://127.0.0.1:{unused.getsockname()[1]}"
        if transport == "unix":
            destination = f"unix://{tmp_path / 'none'}"
        recorder = start_recorder(RecordOptions(destination=destination, shutdown_flush_s=0.2))
        for number in range(50):
            recorder.record(random_request(Random(number), number))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await recorder.close()
        assert loop.time() - started_s < 2.0
    assert sum(recorder.counts.sent) + sum(recorder.queue.dropped) == 50
    if transport != "udp":  # For UDP, the kernel accepts datagrams without a receiver.
        assert recorder.queue.gap.total == 50
        lines = [without_time(line) for line in capsys.readouterr().err.splitlines()]
        assert "record_delivery_incomplete sent=0 unconfirmed=0 dropped=50" in lines


async def test_nothing_is_sent_to_a_receiver_with_a_certificate_for_another_name(tmp_path: Path) -> None:
    async with run_receiver("tls", tmp_path) as (receiver, section):
        options = parse_options(section | {"name": "other.lima"}, shutdown_flush_s=0.1)
        recorder = start_recorder(options)
        recorder.record(random_request(Random(1), 1))
        await asyncio.sleep(0)
        await recorder.close()
        assert not receiver.message_count
        assert recorder.queue.dropped != [0] * len(Outcome)
