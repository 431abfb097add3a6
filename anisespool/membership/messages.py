"""Messages between members as plain values; `codec.py` encodes them as datagrams."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from anisespool.membership.member_state import MemberUpdate

# Number of updates that fit into one datagram without a payload, as `codec.max_updates(0)` computes it.
MAX_UPDATES = 17


class MessageKind(IntEnum):
    """Kinds of messages; the values are those used in datagrams."""

    # The receiver `target` answers with an ACK that has the same `sequence`.
    PING = 1
    # `target` has acknowledged the ping with this `sequence`.
    ACK = 2
    # The receiver pings `target` and relays its ACK; this is SWIM's indirect probe.
    PING_REQ = 3
    # A helper has pinged `target` for the receiver and has received no ACK yet (Lifeguard).
    NACK = 4
    # The message carries updates only.
    GOSSIP = 5
    # The message carries the digest of bucket `target`; a receiver whose digest differs answers with its
    # states.
    BUCKET_DIGEST = 6
    # The message carries the sender's states in bucket `target`; `sequence` is a BucketStateSequence.
    BUCKET_STATE = 7


class BucketStateSequence(IntEnum):
    """Meanings of `sequence` in a BUCKET_STATE, which belongs to no probe."""

    FIRST = 0  # The receiver answers with its states that supersede these.
    ANSWER = 1  # The receiver does not answer.


class Message(NamedTuple):
    """The content of one datagram; its boot and incarnation show that the sender is alive.

    Attributes:
        kind: Purpose of the message.
        boot: The sender's boot.
        incarnation: The sender's incarnation.
        sequence: Matches an ACK or a NACK with its probe; a BucketStateSequence in a BUCKET_STATE.
        target: A member's number or a bucket's index.
        digest: CRC-32 of the bucket's states in a BUCKET_DIGEST.
        updates: Updates about any members.
        payload: Opaque bytes of the balancer; left out if the updates leave no space for them.
    """

    kind: MessageKind
    boot: int
    incarnation: int
    sequence: int = 0
    target: int = 0
    digest: int = 0
    updates: tuple[MemberUpdate, ...] = ()
    payload: bytes = b""


class Outgoing(NamedTuple):
    """A message to send to the member with the number `recipient`."""

    recipient: int
    message: Message
