"""Gossip: queued updates to a few random members each round, sooner while an update is urgent."""

from __future__ import annotations

from anisespool.membership.messages import MAX_UPDATES, Outgoing
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState

LONG_QUEUE_INTERVAL_FACTOR = 2  # rounds of a long queue, relative to those of an urgent one


def gossip(state: ProtocolState, now_ns: int) -> list[Outgoing]:
    """One round."""
    queue = state.broadcasts
    if not queue:
        return []
    # Where many die at once their updates wait for one another, longer than suspicions take to expire.
    is_long = len(queue) > MAX_UPDATES
    if queue.is_urgent or is_long:
        interval_ns = state.config.urgent_gossip_interval_ns * (LONG_QUEUE_INTERVAL_FACTOR if is_long else 1)
        state.schedule.set(Timer.GOSSIP, now_ns + min(state.config.gossip_interval_ns, interval_ns))
    out = []
    for recipient in state.choose_members(state.config.fanout):
        updates = queue.take(MAX_UPDATES, state.fleet_size, now_ns)
        if updates:
            out.append(Outgoing(recipient, state.compose_gossip(now_ns, updates)))
    return out
