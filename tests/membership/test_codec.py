"""Encoding and decoding of datagrams, and the protocol's bounds under random messages."""

from __future__ import annotations

from random import Random
from zlib import crc32

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anisespool.membership import codec
from anisespool.membership.codec import InvalidDatagramError, InvalidReason
from anisespool.membership.config import NS_PER_S
from anisespool.membership.member_state import IncarnationKey, MemberState, MemberUpdate
from anisespool.membership.messages import MAX_UPDATES, Message, MessageKind
from anisespool.membership.protocol import MembershipProtocol

U16 = st.integers(0, 2**16 - 1)
U40 = st.integers(0, 2**40 - 1)
UPDATES = st.builds(
    MemberUpdate,
    member=U16,
    boot=U40,
    incarnation=U16,
    state=st.sampled_from(MemberState),
    reporter=st.integers(-1, 2**16 - 2),
    suspicion_age_units=st.integers(0, 255),
)
MESSAGES = st.builds(
    Message,
    kind=st.sampled_from(MessageKind),
    boot=U40,
    incarnation=U16,
    sequence=U16,
    target=U16,
    digest=st.integers(0, 2**32 - 1),
    updates=st.lists(UPDATES, max_size=MAX_UPDATES).map(tuple),
    payload=st.binary(max_size=5),
)
# The names of the counters on the control socket.
REASONS = {"too long", "not ours", "version", "checksum", "malformed"}
FULL = Message(
    MessageKind.GOSSIP,
    2**40 - 1,
    3,
    updates=tuple(MemberUpdate(n, n, 0, MemberState.SUSPECT, 1, 9) for n in range(MAX_UPDATES)),
)


@given(MESSAGES)
def test_a_message_fits_into_256_bytes_and_is_decoded_unchanged(message: Message) -> None:
    data = codec.encode(message)
    assert len(data) <= codec.MAX_BYTES
    assert codec.decode(data) == message


def test_a_full_datagram_drops_the_payload_and_rejects_more_updates() -> None:
    assert codec.max_updates(0) == MAX_UPDATES == len(FULL.updates)
    assert len(codec.encode(FULL)) > 256 - 13  # An update takes 13 bytes.
    # Updates have priority over the payload.
    assert codec.decode(codec.encode(FULL._replace(payload=bytes(40)))).payload == b""
    with pytest.raises(ValueError, match="exceed a datagram of 256 bytes"):
        codec.encode(FULL._replace(updates=FULL.updates * 2))


@settings(max_examples=300)
@given(MESSAGES, st.integers(0, 255), st.integers(1, 255))
def test_a_corrupted_byte_is_always_detected(message: Message, offset: int, change: int) -> None:
    data = bytearray(codec.encode(message))
    data[offset % len(data)] ^= change
    with pytest.raises(InvalidDatagramError) as error:
        codec.decode(bytes(data))
    assert error.value.reason.value in REASONS


@settings(max_examples=300)
@given(st.binary(max_size=300))
def test_random_bytes_are_rejected_with_a_reason(data: bytes) -> None:
    with pytest.raises(InvalidDatagramError) as error:
        codec.decode(data)
    assert error.value.reason.value in REASONS


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({1: 2}, InvalidReason.VERSION),
        ({2: 9}, InvalidReason.MALFORMED),
        ({2: 0}, InvalidReason.MALFORMED),
        ({3: 5}, InvalidReason.MALFORMED),
        ({19: 3}, InvalidReason.MALFORMED),
        ({0: 1}, InvalidReason.FOREIGN),
    ],
)
def test_an_invalid_header_with_a_valid_checksum_is_rejected_with_its_reason(
    changes: dict[int, int], reason: InvalidReason
) -> None:
    """`changes` has the new value of a byte by its offset in the header."""
    data = bytearray(codec.encode(FULL)[:-4])
    for offset, value in changes.items():
        data[offset] = value
    datagram = bytes(data) + codec.CHECKSUM.pack(crc32(bytes(data)))
    with pytest.raises(InvalidDatagramError, match=reason.value) as error:
        codec.decode(datagram)
    assert error.value.reason is reason
    assert len(datagram + b"x") <= 257
    with pytest.raises(InvalidDatagramError, match="too long"):
        codec.decode(datagram + bytes(257 - len(datagram)))


@settings(max_examples=80, deadline=None)
@given(st.lists(st.tuples(st.integers(-1, 12), MESSAGES, st.integers(0, 3)), max_size=60), st.integers(0, 9))
def test_random_messages_violate_no_bound(conversation: list[tuple[int, Message, int]], seed: int) -> None:
    """No error is raised, incarnations never decrease, and the numbers of members and replies are bounded."""
    protocol = MembershipProtocol(3, 10, 10, Random(seed).randrange)
    now_ns = NS_PER_S
    protocol.start(now_ns)
    previous: dict[int, IncarnationKey] = {}
    for sender, message, pause_fifths_of_s in conversation:
        now_ns += pause_fifths_of_s * NS_PER_S // 5
        replies = protocol.receive(now_ns, sender, message)
        assert len(replies) <= 4
        assert all(0 <= reply.recipient < 10 and reply.recipient != 3 for reply in replies)
        for outgoing in (*replies, *protocol.tick(now_ns)):
            assert len(codec.encode(outgoing.message)) <= 256
        for member, update in protocol.members.items():
            assert update.incarnation_key >= previous.get(member, IncarnationKey(0, 0))
            previous[member] = update.incarnation_key
        assert protocol.local.incarnation_key >= previous.get(3, IncarnationKey(0, 0))
        assert len(protocol.members) <= 9
        assert protocol.next_tick_at_ns >= 0
        previous[3] = protocol.local.incarnation_key
