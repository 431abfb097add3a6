"""Anti-entropy: repairs what gossip missed by comparing bucket digests with a random member.

memberlist's push/pull exchanges the complete state. Here members are divided into buckets by number, and only
a bucket whose digest differs is sent.
"""

from __future__ import annotations

from zlib import crc32

from anisespool.membership.config import BUCKET_MEMBERS
from anisespool.membership.member_state import MemberState, MemberUpdate, Precedence
from anisespool.membership.messages import MAX_UPDATES, BucketStateSequence, Message, MessageKind, Outgoing
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState

# Digests per comparison until each bucket has been compared once after the start.
INITIAL_DIGEST_DATAGRAMS = 4
# Comparisons are this many times as frequent while views change.
UNSETTLED_RATE_FACTOR = 5
# The precedence assumed for a member that a received BUCKET_STATE leaves out.
LOWEST_PRECEDENCE = Precedence(boot=-1, incarnation=0, state=MemberState.ALIVE)


class AntiEntropy:
    """Compares each bucket once after the start, then random buckets. Times are monotonic ns."""

    def __init__(self, state: ProtocolState) -> None:
        self._state = state
        self._bucket_count = (state.fleet_size + BUCKET_MEMBERS - 1) // BUCKET_MEMBERS
        # Buckets not yet compared since the start.
        self._initial_buckets: list[int] = []

    def start(self) -> None:
        """Queue every bucket for comparison, because a member starts without any updates."""
        self._initial_buckets = list(range(self._bucket_count))

    def compare(self, now_ns: int) -> list[Outgoing]:
        """Return bucket digests, each addressed to a random member; called by the timer and after a pause.

        The next comparison is sooner while initial buckets are left or if the view changed recently.
        """
        state = self._state
        initial = self._initial_buckets
        buckets = [initial.pop() for _ in range(min(INITIAL_DIGEST_DATAGRAMS, len(initial)))]
        buckets = buckets or [state.random_below(self._bucket_count)]
        outgoing = []
        for bucket in buckets:
            for recipient in state.choose_members(1):
                message = state.compose(now_ns, MessageKind.BUCKET_DIGEST, target=bucket)
                outgoing.append(Outgoing(recipient, message._replace(digest=self.digest(bucket))))
        if initial or now_ns - state.view_cache.changed_at_ns < state.config.unsettled_period_ns:
            interval_ns = state.config.anti_entropy_interval_ns // UNSETTLED_RATE_FACTOR
            state.schedule.set(Timer.ANTI_ENTROPY, now_ns + interval_ns)
        return outgoing

    def receive_digest(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Return the bucket's states for the sender if the digests differ, in as many messages as needed."""
        bucket = message.target
        if not self._is_bucket(bucket) or message.digest == self.digest(bucket):
            return []
        updates = self._updates(bucket)
        reply = self._state.compose(now_ns, MessageKind.BUCKET_STATE, BucketStateSequence.FIRST, bucket)
        return [
            Outgoing(sender, reply._replace(updates=tuple(updates[start : start + MAX_UPDATES])))
            for start in range(0, len(updates), MAX_UPDATES)
        ]

    def receive_states(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Return the local states that supersede those in the message; none if it is itself an answer.

        Args:
            message: A BUCKET_STATE message whose updates have already been applied.
        """
        bucket = message.target
        if not self._is_bucket(bucket) or message.sequence != BucketStateSequence.FIRST:
            return []
        received = {update.member: update.precedence for update in message.updates}
        newer = [
            update
            for update in self._updates(bucket)
            if update.precedence > received.get(update.member, LOWEST_PRECEDENCE)
        ]
        if not newer:
            return []
        reply = self._state.compose(now_ns, MessageKind.BUCKET_STATE, BucketStateSequence.ANSWER, bucket)
        return [Outgoing(sender, reply._replace(updates=tuple(newer[:MAX_UPDATES])))]

    def digest(self, bucket: int) -> int:
        """Return the CRC-32 of a bucket's states, including this member's but without reporters."""
        text = ";".join(
            f"{update.member},{update.boot},{update.incarnation},{update.state:d}"
            for update in self._updates(bucket)
        )
        return crc32(text.encode())

    def _is_bucket(self, bucket: int) -> bool:
        return 0 <= bucket * BUCKET_MEMBERS < self._state.fleet_size

    def _updates(self, bucket: int) -> list[MemberUpdate]:
        state = self._state
        end = min(state.fleet_size, (bucket + 1) * BUCKET_MEMBERS)
        numbers = range(bucket * BUCKET_MEMBERS, end)
        current = (
            state.local if number == state.local.member else state.members.get(number) for number in numbers
        )
        return [update for update in current if update is not None]
