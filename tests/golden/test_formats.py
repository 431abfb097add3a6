"""Formats that other programs read and write: records, datagrams, the operator's file, document digests."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.golden import adapters

DATA = Path(__file__).parent / "data"
OPERATOR = json.loads((DATA / "operator" / "expected.json").read_text())
GOSSIP = json.loads((DATA / "gossip.json").read_text())


def test_records_are_encoded_to_the_same_bytes() -> None:
    head, *inputs = json.loads((DATA / "record_inputs.json").read_text())
    records = (DATA / "records.log").read_bytes().splitlines()
    assert {row["msgid"] for row in inputs} == {"path", "gap", "account"}
    for row, record in zip(inputs, records, strict=True):
        assert adapters.encode_record(row, head["classes"]) == record
        assert adapters.frame_record(record, "octets") == str(len(record)).encode() + b" " + record
        assert adapters.frame_record(record, "newline") == record + b"\n"


@pytest.mark.parametrize("message", GOSSIP["messages"], ids=lambda message: str(message["name"]))
def test_datagrams_are_encoded_to_and_decoded_from_the_same_bytes(message: dict[str, Any]) -> None:
    datagram = bytes.fromhex(message["datagram"])
    assert adapters.encode_datagram(message["values"]) == datagram
    payload = message.get("decoded_payload", message["values"]["payload"])
    assert adapters.decode_datagram(datagram) == message["values"] | {"payload": payload}


def test_invalid_datagrams_are_rejected_for_the_same_reasons() -> None:
    assert {row["values"]["kind"] for row in GOSSIP["messages"]} == set(range(1, 8))
    for row in GOSSIP["rejected"]:
        assert adapters.decode_datagram(bytes.fromhex(row["datagram"])) == {"reason": row["reason"]}


@pytest.mark.parametrize("name", OPERATOR["files"])
def test_the_operators_file_is_read_to_the_same_values(name: str) -> None:
    assert adapters.read_operator_file(DATA / "operator" / name) == OPERATOR["files"][name]


def test_documents_keep_their_digests() -> None:
    for row in OPERATOR["documents"]:
        assert adapters.digest_document(row["document"]) == (row["canonical"], row["digest"])
