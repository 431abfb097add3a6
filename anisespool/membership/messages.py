"""Messages between members, as values; `codec.py` turns them into datagrams."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from anisespool.membership.member_state import MemberUpdate

MAX_UPDATES = 17  # that fit into one datagram


class MessageKind(IntEnum):
    """Values as on the wire."""

    PING = 1  # answer with an ACK
    ACK = 2  # `target` has answered the ping `sequence`
    PING_REQ = 3  # ping `target` on my behalf
    NACK = 4  # I have pinged `target` on your behalf and have no answer so far
    GOSSIP = 5  # updates alone
    BUCKET_DIGEST = 6  # digest of my states in bucket `target`: send yours if it differs
    BUCKET_STATE = 7  # my states in bucket `target`; `sequence` is a BucketStateSequence


class BucketStateSequence(IntEnum):
    """What the `sequence` of a BUCKET_STATE means, as it matches no probe."""

    FIRST = 0  # the receiver answers with the states that are newer there
    ANSWER = 1  # not answered again


class Message(NamedTuple):
    """One datagram's content.

    Attributes:
        kind: What the message is for.
        boot: The sender's, so that each datagram shows who is alive.
        incarnation: The sender's.
        sequence: Matches an ACK or a NACK with its probe.
        target: A member's number, or a bucket's.
        digest: Of the bucket, in a BUCKET_DIGEST.
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
    """A message to be sent."""

    recipient: int
    message: Message
