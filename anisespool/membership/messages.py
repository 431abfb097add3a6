"""Messages between members as values; `codec.py` encodes them as datagrams."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from anisespool.membership.member_state import MemberUpdate

MAX_UPDATES = 17  # that fit into one datagram


class MessageKind(IntEnum):
    """Kinds of messages; the values are those of the datagram."""

    PING = 1  # the receiver `target` answers with an ACK of the same `sequence`
    ACK = 2  # `target` has acknowledged the ping `sequence`
    PING_REQ = 3  # the receiver pings `target` and relays its ACK: SWIM's indirect probe
    NACK = 4  # a helper has pinged `target` for the receiver, without an ACK so far (Lifeguard)
    GOSSIP = 5  # updates and nothing else
    BUCKET_DIGEST = 6  # of bucket `target`; a receiver whose digest differs answers with its states
    BUCKET_STATE = 7  # the sender's states in bucket `target`; `sequence` is a BucketStateSequence


class BucketStateSequence(IntEnum):
    """What the `sequence` of a BUCKET_STATE means, as it matches no probe."""

    FIRST = 0  # the receiver answers with its states that supersede these
    ANSWER = 1  # not answered again


class Message(NamedTuple):
    """The content of one datagram; each shows by boot and incarnation that its sender is alive.

    Attributes:
        kind: What the message is for.
        boot: The sender's.
        incarnation: The sender's.
        sequence: Matches an ACK or a NACK with its probe.
        target: A member's number or a bucket's index.
        digest: CRC-32 of the bucket's states, in a BUCKET_DIGEST.
        updates: About any members.
        payload: Opaque bytes of the balancer; dropped where the updates leave no room for them.
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
    """A message to be sent to the member with number `recipient`."""

    recipient: int
    message: Message
