"""Gossip rounds: send queued updates to a few random members, more often while an update is urgent.

As in memberlist, gossip complements the updates that probes carry (SWIM's piggybacking), so that an update
spreads faster than one hop per probe interval.
"""

from __future__ import annotations

from anisespool.membership.messages import MAX_UPDATES, Outgoing
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState

# Multiplies the urgent interval while the queue exceeds one datagram.
LONG_QUEUE_INTERVAL_FACTOR = 2


def gossip(state: ProtocolState, now_ns: int) -> list[Outgoing]:
    """Return the messages of one round: when the gossip timer is due, at the start, or after a pause.

    Args:
        state: Holds the queue of updates, and the gossip timer, which is set if another round is urgent.
        now_ns: Monotonic time.
    """
    queue = state.broadcasts
    if not queue:
        return []
    # After many deaths the updates fill several rounds. At the ordinary interval, suspicions would expire
    # before all updates are sent.
    is_long = len(queue) > MAX_UPDATES
    if queue.is_urgent or is_long:
        interval_ns = state.config.urgent_gossip_interval_ns * (LONG_QUEUE_INTERVAL_FACTOR if is_long else 1)
        state.schedule.set(Timer.GOSSIP, now_ns + min(state.config.gossip_interval_ns, interval_ns))
    outgoing = []
    for recipient in state.choose_members(state.config.fanout):
        updates = queue.take(MAX_UPDATES, state.fleet_size, now_ns)
        if updates:
            outgoing.append(Outgoing(recipient, state.compose_gossip(now_ns, updates)))
    return outgoing
