"""Members' messages as datagrams and back."""

from __future__ import annotations

from anisespool.rules.members.claims import Claim, Word
from anisespool.rules.members.messages import Kind, Message
from anisespool.wire import gossip


def encode(message: Message) -> bytes:
    """At most 256 bytes; tell that does not fit beside the claims stays behind."""
    tell = message.tell if gossip.room(len(message.tell)) >= len(message.claims) else b""
    rows = tuple(gossip.Row(*claim) for claim in message.claims)
    return gossip.encode(gossip.Frame(*message[:6], rows, tell))


def decode(data: bytes) -> Message:
    """GossipError with its reason."""
    frame = gossip.decode(data)
    claims = tuple(Claim(*row[:3], Word(row.word), row.accuser, row.age) for row in frame.claims)
    return Message(Kind(frame.kind), *frame[1:6], claims, frame.tell)
