"""Parsing of the URL in `records.to`, the destination of request records."""

from __future__ import annotations

from pathlib import Path

import pytest

from anisespool.config.operator import (
    Destination,
    DestinationError,
    NetworkDestination,
    RecordOptions,
    Transport,
    UnixDestination,
    parse_destination,
)
from anisespool.config.platform import Address

SYSLOG_ADDRESS = Address("127.0.0.1", 514)
LONGEST_PATH = "/" + 106 * "x"  # 107 bytes: `sun_path` without its terminating zero


@pytest.mark.parametrize(
    ("url", "destination"),
    [
        ("udp://127.0.0.1:514", NetworkDestination(Transport.UDP, SYSLOG_ADDRESS)),
        ("tcp://127.0.0.1:514", NetworkDestination(Transport.TCP, SYSLOG_ADDRESS)),
        ("tls://127.0.0.1:514", NetworkDestination(Transport.TLS, SYSLOG_ADDRESS)),
        ("unix:///dev/log", UnixDestination(Path("/dev/log"))),
        (f"unix://{LONGEST_PATH}", UnixDestination(Path(LONGEST_PATH))),
    ],
)
def test_a_destination_is_parsed_by_its_scheme(url: str, destination: Destination) -> None:
    assert parse_destination(url) == destination


@pytest.mark.parametrize(
    "url",
    [
        "",
        "127.0.0.1:514",
        "http://127.0.0.1:514",
        "tcp://logs.lima:514",
        "tcp://127.0.0.1",
        "tcp://127.0.0.1:65536",
        "tls://[::1]:6514",
        "unix://relative",
        f"unix://{LONGEST_PATH}x",
    ],
)
def test_an_invalid_destination_is_rejected(url: str) -> None:
    with pytest.raises(DestinationError) as error:
        parse_destination(url)
    assert error.value.url == url


@pytest.mark.parametrize(
    ("url", "is_stream"),
    [
        ("udp://127.0.0.1:514", False),
        ("tcp://127.0.0.1:514", True),
        ("tls://127.0.0.1:514", True),
        ("unix:///dev/log", False),
    ],
)
def test_only_tcp_and_tls_destinations_are_streams(url: str, is_stream: bool) -> None:
    assert RecordOptions(destination=url).is_stream is is_stream
