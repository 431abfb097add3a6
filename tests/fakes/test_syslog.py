"""The fake syslog receiver accepts what the RFCs allow, and nothing else."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import pytest

from anisespool.fakes.syslog import FrameDecoder, Message, Receiver, ReceiverOptions, SyslogError, parse
from tests.harness.waiting import wait_until

BOM = b"\xef\xbb\xbf"
MESSAGE = b"<134>1 - - - - - -"

# RFC 5424, 6.5, examples 1 to 4.
EXAMPLES = [
    (
        b"<34>1 2003-10-11T22:14:15.003Z mymachine.example.com su - ID47 - "
        + BOM
        + b"'su root' failed for lonvick on /dev/pts/8",
        Message(
            4,
            2,
            "2003-10-11T22:14:15.003Z",
            "mymachine.example.com",
            "su",
            "-",
            "ID47",
            {},
            b"'su root' failed for lonvick on /dev/pts/8",
            True,
        ),
    ),
    (
        b"<165>1 2003-08-24T05:14:15.000003-07:00 192.0.2.1 myproc 8710 - - "
        b"%% It's time to make the do-nuts.",
        Message(
            20,
            5,
            "2003-08-24T05:14:15.000003-07:00",
            "192.0.2.1",
            "myproc",
            "8710",
            "-",
            {},
            b"%% It's time to make the do-nuts.",
            False,
        ),
    ),
    (
        b"<165>1 2003-10-11T22:14:15.003Z mymachine.example.com evntslog - ID47 "
        b'[exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"] '
        + BOM
        + b"An application event log entry...",
        Message(
            20,
            5,
            "2003-10-11T22:14:15.003Z",
            "mymachine.example.com",
            "evntslog",
            "-",
            "ID47",
            {"exampleSDID@32473": [("iut", "3"), ("eventSource", "Application"), ("eventID", "1011")]},
            b"An application event log entry...",
            True,
        ),
    ),
    (
        b"<165>1 2003-10-11T22:14:15.003Z mymachine.example.com evntslog - ID47 "
        b'[exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"]'
        b'[examplePriority@32473 class="high"]',
        Message(
            20,
            5,
            "2003-10-11T22:14:15.003Z",
            "mymachine.example.com",
            "evntslog",
            "-",
            "ID47",
            {
                "exampleSDID@32473": [("iut", "3"), ("eventSource", "Application"), ("eventID", "1011")],
                "examplePriority@32473": [("class", "high")],
            },
            None,
            False,
        ),
    ),
]


@pytest.mark.parametrize(("data", "expected"), EXAMPLES)
def test_the_examples_of_the_rfc_are_parsed(data: bytes, expected: Message) -> None:
    assert parse(data) == expected


@pytest.mark.parametrize(
    ("timestamp", "is_valid"),
    [  # RFC 5424, 6.2.3.1
        ("1985-04-12T23:20:50.52Z", True),
        ("1985-04-12T19:20:50.52-04:00", True),
        ("2003-08-24T05:14:15.000003-07:00", True),
        ("2003-08-24T05:14:15.000000003-07:00", False),
        ("2000-02-29T00:00:00Z", True),
        ("1900-02-29T00:00:00Z", False),
        ("2003-04-31T00:00:00Z", False),
        ("2003-12-31T24:00:00Z", False),
        ("2003-12-31t00:00:00Z", False),
    ],
)
def test_timestamps_follow_the_rfc(timestamp: str, is_valid: bool) -> None:
    data = f"<34>1 {timestamp} - - - - -".encode()
    if is_valid:
        assert parse(data).timestamp == timestamp
    else:
        with pytest.raises(SyslogError):
            parse(data)


@pytest.mark.parametrize(
    ("element", "is_valid"),
    [  # RFC 5424, 6.3.5
        (b'[exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"]', True),
        (b'[exampleSDID@32473 iut="3"][examplePriority@32473 class="high"]', True),
        (b'[exampleSDID@32473 iut="3"] [examplePriority@32473 class="high"]', True),  # the second is in MSG
        (b'[ exampleSDID@32473 iut="3"][examplePriority@32473 class="high"]', False),
        (b"[sigSig@32473]", True),
        (b'[a@1 b="\xff"]', False),
        (b'[a@1 b=""]', True),
        (b"[a@1 b=c]", False),
    ],
)
def test_structured_data_follows_the_rfc(element: bytes, is_valid: bool) -> None:
    data = b"<34>1 - - - - - " + element
    if is_valid:
        assert parse(data).structured_data
    else:
        with pytest.raises(SyslogError):
            parse(data)


def test_escapes_in_a_parameter_are_removed() -> None:
    message = parse(rb'<34>1 - - - - - [a@1 b="\"\\\]"]')
    assert message.params("a@1") == {"b": '"\\]'}
    assert message.params("none@1") == {}


def test_text_with_a_byte_order_mark_has_to_be_utf_8() -> None:
    assert parse(MESSAGE + b" \xff").text == b"\xff"
    with pytest.raises(SyslogError, match="after a BOM"):
        parse(MESSAGE + b" " + BOM + b"\xff")


@pytest.mark.parametrize("data", [b"x", b"0 ", b"012 abc", b" abc", b"1234567890", b"1234567890 a", b"-1 a"])
def test_an_invalid_or_too_long_length_is_an_error(data: bytes) -> None:
    with pytest.raises(SyslogError, match="MSG-LEN"):
        FrameDecoder(is_octet_counted=True).feed(data)


def test_an_incomplete_frame_is_no_message() -> None:
    counted = FrameDecoder(is_octet_counted=True)
    assert counted.feed(b"3 abc2 d") == [b"abc"]
    assert counted.incomplete == b"2 d"
    lines = FrameDecoder(is_octet_counted=False)
    assert lines.feed(b"abc\n\nd") == [b"abc", b""]
    assert lines.incomplete == b"d"


async def test_the_receiver_counts_messages_errors_and_truncated_streams() -> None:
    async with Receiver().stream() as receiver:
        _, writer = await asyncio.open_connection(*receiver.address)
        writer.write(b"%d %s1 x5 <1" % (len(MESSAGE), MESSAGE))
        writer.close()
        await wait_until(lambda: receiver.connection_count == 1)
        await receiver.wait_until_disconnected()
        assert receiver.message_count == len(receiver.messages) == 1
        assert len(receiver.errors) == 1
        assert receiver.truncated_streams == 1


async def test_a_stalled_receiver_that_disconnects_counts_unread_messages() -> None:
    frame = b"%d %s" % (len(MESSAGE), MESSAGE)
    async with Receiver(ReceiverOptions(is_reading=False)).stream() as receiver:
        reader, writer = await asyncio.open_connection(*receiver.address)
        await wait_until(lambda: receiver.connection_count == 1)
        writer.write(3 * frame + frame[:-1])
        await writer.drain()
        await asyncio.sleep(0.05)  # loopback delivers at once, but nothing signals the arrival
        receiver.disconnect()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()
        assert (receiver.message_count, receiver.unread_messages) == (0, 3)
        assert not receiver.is_listening
        address = receiver.address
        await receiver.listen()
        assert receiver.address == address


async def test_the_receiver_process_prints_its_address_and_its_counts() -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "anisespool.fakes.syslog",
        "tcp",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin
    assert process.stdout
    host, port = json.loads(await process.stdout.readline())
    _, writer = await asyncio.open_connection(host, port)
    gap = b'<134>1 - - - - gap [gap@32473 first="1" last="4" dropped="4" reason="full"]'
    writer.write(b"%d %s" % (len(MESSAGE), MESSAGE) + b"%d %s" % (len(gap), gap))
    counts: dict[str, Any] = {"count": 0}
    while counts["count"] < 2:
        process.stdin.write(b"stall\ngo on\ncount\n")
        counts = json.loads(await process.stdout.readline())
    assert counts.pop("cpu_s") > 0
    assert counts == {
        "count": 2,
        "faults": [],
        "seen": {"-": 1, "gap": 1, "gap.first": 1, "gap.last": 4, "gap.dropped": 4},
    }
    writer.close()
    process.stdin.close()
    assert await process.wait() == 0
