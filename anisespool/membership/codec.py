"""Encodes messages as datagrams and decodes them: at most 256 bytes, versioned, with a checksum.

Layout by byte offset; numbers are big-endian:

    0 magic  1 version  2 kind  3 number of updates  4-8 boot  9-10 incarnation  11-12 sequence  13-14 target
    15-18 digest  19 payload length  then updates of 13 bytes each, payload, CRC-32 of all bytes before it

An update has, by length in bytes: member (2), boot (5), incarnation (2), state (1), reporter (2; 65535 for
none), suspicion age (1). A boot is packed as its highest byte and its four lower bytes.
"""

from __future__ import annotations

import struct
from enum import Enum, IntEnum
from zlib import crc32

from anisespool.membership.member_state import NO_REPORTER, MemberState, MemberUpdate
from anisespool.membership.messages import Message, MessageKind

MAX_BYTES = 256
HEADER = struct.Struct("!BBBBBIHHHIB")
UPDATE = struct.Struct("!HBIHBHB")
CHECKSUM = struct.Struct("!I")
KINDS = frozenset(MessageKind)
STATES = frozenset(MemberState)


class FixedValue(IntEnum):
    """Constants of the datagram format."""

    MAGIC = 0xA5
    VERSION = 1
    NO_REPORTER = 0xFFFF


# A module-level int avoids an enum lookup for each update of a datagram.
_ENCODED_NO_REPORTER = int(FixedValue.NO_REPORTER)


class InvalidReason(Enum):
    """Reasons for rejecting a datagram; the values are the names of counters on the control socket."""

    TOO_LONG = "too long"
    FOREIGN = "not ours"
    VERSION = "version"
    CHECKSUM = "checksum"
    MALFORMED = "malformed"


class InvalidDatagramError(ValueError):
    """The received bytes are not a valid datagram of this version, which is the sender's fault.

    Attributes:
        reason: The first check that failed.
    """

    def __init__(self, reason: InvalidReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def max_updates(payload_bytes: int) -> int:
    """Return how many updates fit into a datagram together with a payload of this length."""
    return (MAX_BYTES - HEADER.size - CHECKSUM.size - payload_bytes) // UPDATE.size


def encode(message: Message) -> bytes:
    """Return a message's datagram; a payload that does not fit together with the updates is left out.

    Args:
        message: The message, whose numbers must fit into their fields.

    Raises:
        ValueError: The updates do not fit even without the payload, which is the caller's fault.
    """
    payload = message.payload if max_updates(len(message.payload)) >= len(message.updates) else b""
    count = len(message.updates)
    if count > max_updates(len(payload)):
        raise ValueError(f"{count} updates and {len(payload)} payload bytes exceed a datagram of 256 bytes")
    header = HEADER.pack(
        FixedValue.MAGIC,
        FixedValue.VERSION,
        message.kind,
        count,
        message.boot >> 32,
        message.boot & 0xFFFFFFFF,
        message.incarnation,
        message.sequence,
        message.target,
        message.digest,
        len(payload),
    )
    data = b"".join((header, *map(_encode_update, message.updates), payload))
    return data + CHECKSUM.pack(crc32(data))


def _encode_update(update: MemberUpdate) -> bytes:
    reporter = update.reporter if update.reporter >= 0 else _ENCODED_NO_REPORTER
    return UPDATE.pack(
        update.member,
        update.boot >> 32,
        update.boot & 0xFFFFFFFF,
        update.incarnation,
        update.state,
        reporter,
        update.suspicion_age_units,
    )


def decode(data: bytes) -> Message:
    """Return the message of a datagram, without checking members, targets or boots against the fleet.

    Args:
        data: The complete datagram.

    Raises:
        InvalidDatagramError: The datagram is invalid; the error's reason is the first check that failed.
    """
    _check_envelope(data)
    fields = HEADER.unpack_from(data)
    _, _, kind, count, boot_high, boot_low, incarnation, sequence, target, digest, payload_bytes = fields
    updates_end = HEADER.size + count * UPDATE.size
    if kind not in KINDS or updates_end + payload_bytes + CHECKSUM.size != len(data):
        raise InvalidDatagramError(InvalidReason.MALFORMED)
    return Message(
        kind=MessageKind(kind),
        boot=boot_high << 32 | boot_low,
        incarnation=incarnation,
        sequence=sequence,
        target=target,
        digest=digest,
        updates=tuple(_decode_update(row) for row in UPDATE.iter_unpack(data[HEADER.size : updates_end])),
        payload=data[updates_end : updates_end + payload_bytes],
    )


def _check_envelope(data: bytes) -> None:
    """Check length, magic, version and checksum, in this order."""
    if len(data) > MAX_BYTES:
        raise InvalidDatagramError(InvalidReason.TOO_LONG)
    if len(data) < HEADER.size + CHECKSUM.size or data[0] != FixedValue.MAGIC:
        raise InvalidDatagramError(InvalidReason.FOREIGN)
    if data[1] != FixedValue.VERSION:
        raise InvalidDatagramError(InvalidReason.VERSION)
    if CHECKSUM.unpack(data[-CHECKSUM.size :])[0] != crc32(data[: -CHECKSUM.size]):
        raise InvalidDatagramError(InvalidReason.CHECKSUM)


def _decode_update(packed: tuple[int, ...]) -> MemberUpdate:
    member, boot_high, boot_low, incarnation, state, reporter, age_units = packed
    if state not in STATES:
        raise InvalidDatagramError(InvalidReason.MALFORMED)
    return MemberUpdate(
        member=member,
        boot=boot_high << 32 | boot_low,
        incarnation=incarnation,
        state=MemberState(state),
        reporter=NO_REPORTER if reporter == _ENCODED_NO_REPORTER else reporter,
        suspicion_age_units=age_units,
    )
