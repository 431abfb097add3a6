"""Receivers for each transport, and recorders that send to them."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trustme

from anisespool.backoff import Backoff
from anisespool.config import operator
from anisespool.config.operator import RecordOptions
from anisespool.fakes.record_soak import create_recorder
from anisespool.fakes.syslog import Receiver, ReceiverOptions
from anisespool.records.factory import channel_opener
from anisespool.records.recorder import Recorder

TRANSPORTS = ("udp", "unix", "tcp", "tcp-newline", "tls")


@asynccontextmanager
async def run_receiver(
    transport: str, folder: Path, **options: Any
) -> AsyncIterator[tuple[Receiver, dict[str, Any]]]:
    """Run a receiver, and yield it with a section `records` of an operator's file for sending to it."""
    receiver = Receiver(ReceiverOptions(is_octet_counted=transport != "tcp-newline", **options))
    if transport == "unix":
        async with receiver.datagrams(folder / "log"):
            yield receiver, {"to": f"unix://{folder / 'log'}"}
        return
    section = {}
    tls = None
    if transport == "tls":
        authority = trustme.CA()
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        authority.issue_cert("records.lima").configure_cert(tls)
        authority.cert_pem.write_to_path(folder / "ca.pem")
        section = {"ca": str(folder / "ca.pem"), "name": "records.lima"}
    elif transport == "tcp-newline":
        section = {"framing": "newline"}
    async with receiver.datagrams() if transport == "udp" else receiver.stream(tls):
        yield receiver, {"to": f"{transport[:3]}://127.0.0.1:{receiver.address.port}"} | section


def parse_options(section: dict[str, Any], **fields: Any) -> RecordOptions:
    """Parse a section `records` of an operator's file, and replace some of the options."""
    options = operator.parse_operator_config({"records": section}, "file").records
    assert options
    return msgspec.structs.replace(options, **fields)


def start_recorder(options: RecordOptions) -> Recorder:
    """Start a recorder that reconnects after a very short backoff."""
    recorder = create_recorder(1, options)
    recorder.start(channel_opener(options), Backoff(0.001, 0.02, Random(1)))
    return recorder


def received_numbers(receiver: Receiver) -> list[int]:
    """Return the sequenceIds of the received request records."""
    requests = [message for message in receiver.messages if message.msgid == "path"]
    return [int(message.first("meta")["sequenceId"]) for message in requests]
