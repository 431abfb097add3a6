"""Adapters between the golden data and the code, so that only this module changes when code is renamed.

Each function takes and returns bytes, and plain values under the names that they have in the golden data.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from anisespool.balancer.interface import AttemptStatus
from anisespool.config import operator
from anisespool.membership import codec
from anisespool.membership.codec import InvalidDatagramError
from anisespool.membership.member_state import MemberState, MemberUpdate
from anisespool.membership.messages import Message, MessageKind
from anisespool.records.accounting import RecordCounts, UnconfirmedRange
from anisespool.records.buffer import Gap
from anisespool.records.encoder import LengthLimits, RecordEncoder
from anisespool.records.outcome import OUTCOME_NAMES, Outcome
from anisespool.records.request_record import AttemptRecord, RequestRecord
from anisespool.records.rfc5424 import Origin, frame_newline, frame_octet_counted

FRAMINGS = {"octets": frame_octet_counted, "newline": frame_newline}


def encode_record(inputs: dict[str, Any], classes: list[str]) -> bytes:
    """Encode one RFC 5424 record from a row of record_inputs.json."""
    encoder = _record_encoder(inputs, classes)
    unix_ns = inputs["unix_ns"]
    if inputs["msgid"] == "path":
        return encoder.encode_request(inputs["sequence"], _request_record(inputs), unix_ns)
    if inputs["msgid"] == "account":
        counts = RecordCounts(
            answered=inputs["answered"],
            sampled_out=inputs["unchosen"],
            sent=inputs["sent"],
            unconfirmed=inputs["in_doubt"],
        )
        return encoder.encode_counts(counts, inputs["dropped"], inputs["is_last"], unix_ns)
    if "unsure" in inputs:
        unconfirmed = UnconfirmedRange(inputs["unsure"], inputs["first"], inputs["last"])
        return encoder.encode_unconfirmed(unconfirmed, unix_ns)
    gap = Gap(
        counts=inputs["dropped"],
        reasons=inputs["reasons"],
        from_ns=inputs["from_ns"],
        to_ns=inputs["to_ns"],
        first=inputs["first"],
        last=inputs["last"],
    )
    return encoder.encode_gap(gap, inputs["again"], unix_ns)


def frame_record(record: bytes, framing: str) -> bytes:
    """Frame a record for a stream; `framing` is a value of the operator's key `records.framing`."""
    return FRAMINGS[framing](record)


def _record_encoder(inputs: dict[str, Any], classes: list[str]) -> RecordEncoder:
    offset_s = inputs.get("offset_s", -18_000)
    origin = Origin(inputs.get("facility", 16), "lima", "anisespool", inputs.get("procid", "1"))
    return RecordEncoder.create(
        origin,
        inputs.get("enterprise", "32473"),
        inputs.get("node", "n0"),
        tuple(classes),
        LengthLimits(inputs.get("longest", 2048), inputs.get("longest_value", 256)),
        lambda second: offset_s,
    )


def _request_record(inputs: dict[str, Any]) -> RequestRecord:
    attempts = [
        AttemptRecord(
            endpoint=row["endpoint"],
            status=AttemptStatus[row["status"].upper().replace("-", "_")],
            started_ns=row["began_ns"],
            finished_ns=row["ended_ns"],
        )
        for row in inputs["attempts"]
    ]
    return RequestRecord(
        request_class=inputs["class"],
        outcome=Outcome(OUTCOME_NAMES.index(inputs["outcome"])),
        status=inputs["status"],
        trace_id=bytes.fromhex(inputs["trace_hex"]),
        tenant=bytes.fromhex(inputs["member_hex"]),
        fingerprint=inputs["alike"],
        is_retry=inputs["retry"],
        arrived_ns=inputs["came_ns"],
        finished_ns=inputs["ended_ns"],
        retry_after_s=inputs["back_s"],
        attempts=tuple(attempts),
    )


def encode_datagram(values: dict[str, Any]) -> bytes:
    """Encode a membership message from the values in gossip.json."""
    updates = [
        MemberUpdate(number, boot, incarnation, MemberState(state), reporter, age)
        for number, boot, incarnation, state, reporter, age in values["claims"]
    ]
    message = Message(
        MessageKind(values["kind"]),
        values["boot"],
        values["incarnation"],
        values["seq"],
        values["target"],
        values["digest"],
        tuple(updates),
        bytes.fromhex(values["payload"]),
    )
    return codec.encode(message)


def decode_datagram(data: bytes) -> dict[str, Any]:
    """Decode a membership message; for an invalid datagram return `{"reason": ...}`, as it is counted."""
    try:
        kind, boot, incarnation, sequence, target, digest, updates, payload = codec.decode(data)
    except InvalidDatagramError as error:
        return {"reason": error.reason.value}
    return {
        "kind": int(kind),
        "boot": boot,
        "incarnation": incarnation,
        "seq": sequence,
        "target": target,
        "digest": digest,
        "claims": [[int(value) for value in update] for update in updates],
        "payload": payload.hex(),
    }


def read_operator_file(path: Path) -> dict[str, Any]:
    """Read an operator's file, and return its values and the defaults under the file's keys."""
    values: dict[str, Any] = msgspec.to_builtins(operator.read_operator_config(str(path)))
    return values


def digest_document(document: dict[str, Any]) -> tuple[str, str]:
    """Return the canonical JSON and the digest of a live change of the configuration."""
    checked = operator.parse_live_config(document, "document")
    return operator.canonical_json(checked).decode(), operator.digest(checked)
